//! Admission of requests to the local target, combining concurrency limit, class queue, admission level and entry
//! limits.

use {
    crate::{
        ExchangeEnd,
        admission::{
            AdmissionLevel, CallLevels, Claimant, ClassQueue, ConcurrencyLimit, DrainRate,
            EntryLimit, EntrySlot, Level, RateChange, RateLimit, TargetPace, Ticket, WorkspaceHash,
        },
        routing::{ExpectedCompletion, LoadReport},
    },
    jujubeline_core::{Class, EntryName, RefusalReason, RootId, StatedRate},
    std::time::{Duration, Instant},
};

/// Longest expected wait for the limit that the target states, where no other target can be tried. A request that would
/// wait for longer is refused at once, so that its caller learns early.
const MAX_RATE_WAIT: Duration = Duration::from_millis(100);
/// The same bound for calls, because their refusal wastes the work above them.
const MAX_CALL_RATE_WAIT: Duration = Duration::from_millis(400);
/// The same bound in requests of the limit, for targets that take only a few requests per second.
const MAX_RATE_WAIT_REQUESTS: usize = 2;

/// Largest number of displaced requests that are kept for the next [`GateAdmission::decide`].
const MAX_DISPLACED: usize = 512;

/// A request that arrives at the gate for the local target.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Whether the request is a call that a target makes on behalf of an exchange in flight.
    pub is_call: bool,
    /// Whether another target can be tried if this one has no room.
    pub has_alternative: bool,
    /// Class of the catalogue entry.
    pub class: Class,
    /// Identity of the root request.
    pub root: RootId,
    /// Name of the catalogue entry.
    pub entry: EntryName,
    /// Concurrency limit of the catalogue entry.
    pub entry_concurrency: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Workspace of the request and its weight; none without workspaces.
    pub workspace: Option<(WorkspaceHash, f64)>,
}

/// Right to run one request at the local target. It must be returned with [`GateAdmission::end`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not returned keeps its slot"]
pub struct Permit {
    class: Class,
    entry: EntrySlot,
    started: Instant,
}

/// Result of [`GateAdmission::offer`] for a request that is not refused.
#[derive(Debug, PartialEq, Eq)]
pub enum Admitted {
    /// The request may run now.
    Run(Permit),
    /// The request is queued. A later [`GateAdmission::decide`] returns its ticket, unless [`GateAdmission::cancel`]
    /// removes it because the caller disconnected.
    Wait(Ticket),
}

/// Decision about a queued request.
#[derive(Debug, PartialEq, Eq)]
pub struct TicketDecision {
    /// Ticket that [`GateAdmission::offer`] returned for the request.
    pub ticket: Ticket,
    /// The permit to run the request, or the reason for its refusal.
    pub result: Result<Permit, RefusalReason>,
}

/// Totals of one class since the gate started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests that were given a permit.
    pub started: u64,
    /// Requests that were refused for any reason, at arrival or while queued.
    pub refused: u64,
    /// Permits that were returned after a complete response.
    pub completed: u64,
}

/// Admission control of one gate.
#[derive(Debug)]
pub struct GateAdmission {
    limit: ConcurrencyLimit,
    rate: RateLimit,
    queue: ClassQueue,
    level: AdmissionLevel,
    calls: CallLevels,
    entries: EntryLimit,
    draining: bool,
    displaced: Vec<TicketDecision>,
    counts: [AdmissionCounts; 4],
    drain: DrainRate,
    pace: TargetPace,
}

impl GateAdmission {
    /// Creates the admission control of a target that accepts `max_limit` connections.
    #[must_use]
    pub fn new(max_limit: u32, now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(max_limit, now),
            rate: RateLimit::new(now),
            queue: ClassQueue::new(now),
            level: AdmissionLevel::new(now),
            calls: CallLevels::default(),
            entries: EntryLimit::new(),
            draining: false,
            displaced: Vec::new(),
            counts: [AdmissionCounts::default(); 4],
            drain: DrainRate::new(now),
            pace: TargetPace::new(now),
        }
    }

    /// Admits, queues or refuses a request that arrived. When its entry is at its concurrency limit, a critical request
    /// is queued and any other is refused.
    ///
    /// If the request is queued or refused, [`GateAdmission::decide`] must be called next. It returns the refusals of
    /// displaced requests; while 512 of them have not been returned, a request that would be queued is refused.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused. It was not run.
    pub fn offer(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<Admitted, RefusalReason> {
        let answer = self.try_offer(request, now);
        if answer.is_err() {
            self.counts[request.class.rank()].refused += 1;
        }
        answer
    }

    /// Returns a permit for a request for which the target made no calls. [`GateAdmission::decide`] must be called
    /// next.
    pub fn end(&mut self, permit: Permit, end: ExchangeEnd, now: Instant) {
        self.end_with_calls(permit, Duration::ZERO, end, now);
    }

    /// Returns a permit. `in_calls` is the time in which the target waited for calls that it made for the request. The
    /// concurrency limit does not count it as latency of the target. [`GateAdmission::decide`] must be called next.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit can be returned only once"
    )]
    pub fn end_with_calls(
        &mut self,
        permit: Permit,
        in_calls: Duration,
        end: ExchangeEnd,
        now: Instant,
    ) {
        self.entries.end(permit.entry);
        self.limit.end(permit.started, in_calls, end, now);
        self.drain.record_end(now);
        if end == ExchangeEnd::Completed {
            self.level.record_completed();
            self.counts[permit.class.rank()].completed += 1;
        }
    }

    /// Records the lowest level in the responses to the calls of a request. New requests of the entry that are not
    /// calls themselves are refused by this level, because their work would be wasted when one of their calls is
    /// refused.
    pub fn observe_call_level(&mut self, entry: &EntryName, level: Level, now: Instant) {
        self.calls.record_call(entry, level, now);
    }

    /// Removes a queued request whose caller disconnected. Returns false if it has already been decided.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }

    /// Decides about queued requests. To be called after each arrival that is queued or refused, after each end and at
    /// [`GateAdmission::next_wake`].
    ///
    /// The recipient of a ticket's decision must be registered before this call, because each decision is returned only
    /// once and may be returned by the first call after the arrival.
    ///
    /// If the caller has disconnected in the meantime, the permit must be returned with [`ExchangeEnd::Cancelled`].
    pub fn decide(&mut self, now: Instant) -> Vec<TicketDecision> {
        let mut decisions = std::mem::take(&mut self.displaced);
        let expected = self.limit.expected_latency(now);
        self.queue.expire(expected, now, |ticket, reason| {
            decisions.push(TicketDecision {
                ticket,
                result: Err(reason),
            });
        });
        for decision in &decisions {
            self.counts[decision.ticket.class().rank()].refused += 1;
        }
        while self.has_room(now) {
            let entries = &self.entries;
            let Some(waiting) = self.queue.pop(|entry| entries.has_room(entry), now) else {
                break;
            };
            let class = waiting.ticket.class();
            if waiting.deadline <= now + expected {
                self.counts[class.rank()].refused += 1;
                decisions.push(TicketDecision {
                    ticket: waiting.ticket,
                    result: Err(RefusalReason::Deadline),
                });
                continue;
            }
            decisions.push(TicketDecision {
                ticket: waiting.ticket,
                result: Ok(self.start(class, waiting.entry, now)),
            });
        }
        // Must follow the grants: before them, a slot that was just freed would look like spare capacity, and the
        // standing delay would be zero whenever requests complete.
        self.adjust_level(now);
        decisions
    }

    /// Time at which [`GateAdmission::decide`] must be called next if no other event occurs.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let adjustment = self.level.next_adjustment();
        self.queue
            .next_expiry()
            .map_or(adjustment, |expiry| expiry.min(adjustment))
    }

    /// Sets whether new requests are refused because the target is draining. Running and queued requests are not
    /// affected.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Replaces the adaptive limit with the exact number of slots of the target; `None` returns to the adaptive limit.
    pub fn set_exact_slots(&mut self, slots: Option<u32>) {
        self.limit.set_exact(slots);
    }

    /// Caps the limit at the number of slots that the target announced.
    pub fn hint_slots(&mut self, slots: Option<u32>) {
        self.limit.hint_slots(slots);
    }

    /// Records the utilisation that the target reported, 1.0 for fully used.
    pub fn hint_utilisation(&mut self, utilisation: f64, now: Instant) {
        self.limit.hint_utilisation(utilisation, now);
    }

    /// Applies the limit on the rate of requests that the target stated in its response to a request that was sent at
    /// `sent`. Returns the change, if it is one.
    pub fn observe_rate(
        &mut self,
        stated: StatedRate,
        sent: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        self.rate.observe(stated, sent, now)
    }

    /// Adopts a limit on the rate of requests that another node heard from the target, unless the target has responded
    /// here. Returns the change, if it is one.
    pub fn adopt_rate(&mut self, per_s: f64, now: Instant) -> Option<RateChange> {
        self.rate.adopt(per_s, now)
    }

    /// Forgets what the target stated, when another process of it has started.
    pub const fn clear_rate(&mut self) {
        self.rate.clear();
    }

    /// Counts one more copy of a running request toward the limit that the target states. Returns false, without
    /// counting it, when the limit does not allow it now.
    pub fn admit_copy(&mut self, now: Instant) -> bool {
        let is_admitted = self.queue.is_empty() && self.rate.has_token(now);
        if is_admitted {
            self.rate.take(now);
        }
        is_admitted
    }

    /// Requests per second that the target accepts; `None` without a stated limit.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<f64> {
        self.rate.per_s()
    }

    /// Sets the upper bound of the limit, when the target announces another connection limit.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.limit.set_max_limit(max_limit);
    }

    /// Admission level of the target itself, without that of its calls.
    #[must_use]
    pub const fn level(&self) -> Level {
        self.level.level()
    }

    /// Admission level for requests of an entry, the lower one of the target and of its calls.
    #[must_use]
    pub fn level_for_entry(&self, entry: &EntryName, now: Instant) -> Level {
        self.level.level().min(self.calls.level(entry, now))
    }

    /// Concurrency limit in effect.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Share in use of the concurrency limit or of the limit that the target states, whichever is higher, as sent in the
    /// load header of responses.
    #[must_use]
    pub fn utilisation(&self, now: Instant) -> f64 {
        let slots = f64::from(self.limit.in_flight()) / f64::from(self.limit.limit());
        slots.max(self.rate.utilisation(now))
    }

    /// Load of the target, with the expected completion of one more request if the target states its pace. Only such
    /// targets differ so much that routers should compare them by it.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        let service = self.limit.latency().mul_f64(self.pace.factor(now));
        LoadReport {
            utilisation: self.utilisation(now),
            completion: (self.pace.is_stated() && !service.is_zero()).then(|| ExpectedCompletion {
                service,
                wait: self.drain.time_for(self.queue.len(), now),
            }),
        }
    }

    /// Records the pace that the target states, in percent of the usual time of its work.
    pub fn record_pace(&mut self, pace_percent: u32, now: Instant) {
        self.pace.record(pace_percent, now);
    }

    /// Number of running requests.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.limit.in_flight()
    }

    /// Number of queued requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of queued requests of a class.
    #[must_use]
    pub fn waiting_of(&self, class: Class) -> usize {
        self.queue.len_of(class)
    }

    /// Total number of requests that were refused or displaced because the queue was full.
    #[must_use]
    pub const fn queue_refused(&self) -> u64 {
        self.queue.refused()
    }

    /// Total number of requests that were refused because the table of entries was full.
    #[must_use]
    pub const fn entries_refused(&self) -> u64 {
        self.entries.refused()
    }

    /// Totals of a class since the gate started.
    #[must_use]
    pub const fn counts(&self, class: Class) -> AdmissionCounts {
        self.counts[class.rank()]
    }

    fn try_offer(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<Admitted, RefusalReason> {
        self.adjust_level(now);
        if self.draining {
            return Err(RefusalReason::Draining);
        }
        if request.deadline <= now + self.limit.expected_latency(now) {
            return Err(RefusalReason::Deadline);
        }
        // A call is exempt from the levels, because its refusal would waste the work already done upstream. Upstream
        // nodes refuse new root requests by the same levels.
        let calls_admitted = self
            .calls
            .level(&request.entry, now)
            .admits(request.class, request.root);
        if !request.is_call && !calls_admitted {
            return Err(RefusalReason::AdmissionLevel);
        }
        if !self.level.admit(request.class, request.root) && !request.is_call {
            // The limit belongs to this target alone, so another one may have room.
            return Err(match self.rate.per_s() {
                Some(_) => RefusalReason::TargetRateLimit,
                None => RefusalReason::AdmissionLevel,
            });
        }
        if self.exceeds_rate(request, now) {
            self.level.record_rate_refusal(request.class);
            return Err(RefusalReason::TargetRateLimit);
        }
        if self.entries.is_full() && self.queue.is_empty() {
            self.entries.reclaim();
        }
        let entry = self
            .entries
            .slot(&request.entry, request.entry_concurrency)
            .ok_or(RefusalReason::EntryLimit)?;
        let entry_has_room = self.entries.has_room(entry);
        if !entry_has_room && request.class != Class::Critical {
            return Err(RefusalReason::EntryLimit);
        }
        if entry_has_room && self.queue.is_empty() && self.has_room(now) {
            return Ok(Admitted::Run(self.start(request.class, entry, now)));
        }
        if self.displaced.len() >= MAX_DISPLACED {
            return Err(RefusalReason::QueueFull);
        }
        let claimant = request.workspace.map(|(workspace, weight)| Claimant {
            workspace,
            weight,
            is_call: request.is_call,
        });
        let (ticket, displaced) =
            self.queue
                .push_for(claimant, request.class, entry, request.deadline, now)?;
        if let Some(ticket) = displaced {
            self.displaced.push(TicketDecision {
                ticket,
                result: Err(RefusalReason::QueueFull),
            });
        }
        Ok(Admitted::Wait(ticket))
    }

    /// Whether a request would wait too long for the limit that the target states.
    fn exceeds_rate(&self, request: &AdmissionRequest, now: Instant) -> bool {
        let Some(per_s) = self.rate.per_s() else {
            return false;
        };
        let wait = self.rate.wait(self.queue.len_from(request.class) + 1, now);
        let longest = if request.is_call {
            MAX_CALL_RATE_WAIT
        } else {
            MAX_RATE_WAIT
        };
        let is_long = request.has_alternative
            || (wait > longest && wait > self.rate.wait(MAX_RATE_WAIT_REQUESTS, now));
        let expected = self.limit.expected_latency(now);
        !wait.is_zero() && (is_long || per_s <= 0.0 || request.deadline <= now + wait + expected)
    }

    /// Whether one more request may run now.
    fn has_room(&self, now: Instant) -> bool {
        self.limit.has_room() && self.rate.has_token(now)
    }

    fn start(&mut self, class: Class, entry: EntrySlot, now: Instant) -> Permit {
        self.limit.start();
        self.rate.take(now);
        self.entries.start(entry);
        self.counts[class.rank()].started += 1;
        Permit {
            class,
            entry,
            started: now,
        }
    }

    fn adjust_level(&mut self, now: Instant) {
        // While the concurrency limit has room, requests wait only for the limit of their entry, and a lower level
        // would not shorten that wait.
        let full = !self.has_room(now);
        for class in Class::ALL {
            let wait = if full {
                self.queue.oldest_wait(class, now)
            } else {
                Duration::ZERO
            };
            self.level.record_delay(class, wait);
        }
        self.level.adjust(now);
    }
}
