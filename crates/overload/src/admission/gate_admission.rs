//! Admission of requests to the local target: limit, queue, level and entry limits together.

use {
    crate::{
        ExchangeEnd,
        admission::{
            AdmissionLevel, CallLevels, ClassQueue, ConcurrencyLimit, EntryLimit, EntrySlot, Level,
            Ticket,
        },
    },
    jujubeline_core::{Class, EntryName, RefusalReason, RootId},
    std::time::{Duration, Instant},
};

/// Displaced requests that may wait for the next [`GateAdmission::decide`].
const MAX_DISPLACED: usize = 512;

/// A request that asks to run at the local target.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Whether a target makes the request on behalf of an exchange in flight.
    pub is_call: bool,
    /// Class of the catalogue entry.
    pub class: Class,
    /// Root request.
    pub root: RootId,
    /// Catalogue entry.
    pub entry: EntryName,
    /// Concurrency limit of the catalogue entry.
    pub entry_concurrency: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Right to run one request at the local target. It is returned with [`GateAdmission::end`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not returned keeps its slot"]
pub struct Permit {
    class: Class,
    entry: EntrySlot,
    started: Instant,
}

/// Answer to a request that is not refused at once.
#[derive(Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It runs now.
    Run(Permit),
    /// It waits; [`GateAdmission::decide`] returns its ticket later. When its caller goes away, it is taken out with
    /// [`GateAdmission::cancel`].
    Wait(Ticket),
}

/// Decision about a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct TicketDecision {
    /// The ticket.
    pub ticket: Ticket,
    /// The permit, or why the request is refused.
    pub result: Result<Permit, RefusalReason>,
}

/// Counts of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests that were given a permit.
    pub started: u64,
    /// Requests that were refused, for any reason.
    pub refused: u64,
    /// Permits that were returned after a complete response.
    pub completed: u64,
}

/// Admission at one gate.
#[derive(Debug)]
pub struct GateAdmission {
    limit: ConcurrencyLimit,
    queue: ClassQueue,
    level: AdmissionLevel,
    calls: CallLevels,
    entries: EntryLimit,
    draining: bool,
    displaced: Vec<TicketDecision>,
    counts: [AdmissionCounts; 4],
}

impl GateAdmission {
    /// Admission to a target that accepts `max_limit` connections.
    #[must_use]
    pub fn new(max_limit: u32, now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(max_limit, now),
            queue: ClassQueue::new(now),
            level: AdmissionLevel::new(now),
            calls: CallLevels::default(),
            entries: EntryLimit::new(),
            draining: false,
            displaced: Vec::new(),
            counts: [AdmissionCounts::default(); 4],
        }
    }

    /// Decides about a request that arrived. At its entry's limit a critical request waits and any other is refused.
    ///
    /// After a refusal or a wait the caller runs [`GateAdmission::decide`] as well, because the arrival may have displaced
    /// another request.
    ///
    /// # Errors
    ///
    /// Why the request is refused. It was not run.
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

    /// Returns a permit whose target made no calls of its own. The caller then runs [`GateAdmission::decide`].
    pub fn end(&mut self, permit: Permit, end: ExchangeEnd, now: Instant) {
        self.end_with_calls(permit, Duration::ZERO, end, now);
    }

    /// Returns a permit. `in_calls` is the time in which the target waited for calls that it made for the request; the
    /// limit does not count it as latency of the target. The caller then runs [`GateAdmission::decide`].
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
        if end == ExchangeEnd::Completed {
            self.level.record_completed();
            self.counts[permit.class.rank()].completed += 1;
        }
    }

    /// Takes note of the lowest level that the calls of a request met. Further requests of the entry that have not begun
    /// are refused by it: their work would be wasted when one of their calls is refused.
    pub fn learn_calls(&mut self, entry: &EntryName, level: Level, now: Instant) {
        self.calls.learn(entry, level, now);
    }

    /// Removes a request that waits and whose caller went away. Returns false when it was decided already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }

    /// Decides about waiting requests. Called after each arrival that waits, after each end and at
    /// [`GateAdmission::next_wake`].
    ///
    /// The caller first records whom to tell about a ticket, because the decision about a ticket is returned once and may
    /// follow at once.
    ///
    /// A permit whose request has gone away in the meantime is returned with [`ExchangeEnd::Cancelled`].
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
        while self.limit.has_room() {
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
        // After the grants: a slot that has just become free would otherwise look like room, and the standing delay would
        // be zero while requests complete.
        self.adjust_level(now);
        decisions
    }

    /// When [`GateAdmission::decide`] must run next without any other event.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let adjustment = self.level.next_adjustment();
        self.queue
            .next_expiry()
            .map_or(adjustment, |expiry| expiry.min(adjustment))
    }

    /// Refuses new requests while the target is draining. Requests that run or wait are not affected.
    pub const fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Uses the slots of the target as the limit instead of a learned one.
    pub fn set_exact_slots(&mut self, slots: Option<u32>) {
        self.limit.set_exact(slots);
    }

    /// Takes the slots that the target announced.
    pub fn hint_slots(&mut self, slots: Option<u32>) {
        self.limit.hint_slots(slots);
    }

    /// Takes the utilisation that the target reported.
    pub fn hint_utilisation(&mut self, utilisation: f64, now: Instant) {
        self.limit.hint_utilisation(utilisation, now);
    }

    /// Changes the bound of the limit, when the target announces another connection limit.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.limit.set_max_limit(max_limit);
    }

    /// Level of the target itself.
    #[must_use]
    pub const fn level(&self) -> Level {
        self.level.level()
    }

    /// Level that requests of an entry meet here, their calls included.
    #[must_use]
    pub fn level_of(&self, entry: &EntryName, now: Instant) -> Level {
        self.level.level().min(self.calls.level(entry, now))
    }

    /// Limit in effect.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Share of the limit in use, for the load header of responses.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        f64::from(self.limit.in_flight()) / f64::from(self.limit.limit())
    }

    /// Requests that run.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.limit.in_flight()
    }

    /// Requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests of a class that wait.
    #[must_use]
    pub fn waiting_of(&self, class: Class) -> usize {
        self.queue.len_of(class)
    }

    /// Requests that were refused or displaced because the queue was full.
    #[must_use]
    pub const fn queue_refused(&self) -> u64 {
        self.queue.refused()
    }

    /// Requests that were refused because the table of entries was full.
    #[must_use]
    pub const fn entries_refused(&self) -> u64 {
        self.entries.refused()
    }

    /// Counts of a class.
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
        // The work above a call would be wasted; the levels keep further root requests away in front.
        let calls_admitted = self
            .calls
            .level(&request.entry, now)
            .admits(request.class, request.root);
        if !request.is_call && !calls_admitted {
            return Err(RefusalReason::AdmissionLevel);
        }
        if !self.level.admit(request.class, request.root) && !request.is_call {
            return Err(RefusalReason::AdmissionLevel);
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
        if entry_has_room && self.queue.is_empty() && self.limit.has_room() {
            return Ok(Admitted::Run(self.start(request.class, entry, now)));
        }
        if self.displaced.len() >= MAX_DISPLACED {
            return Err(RefusalReason::QueueFull);
        }
        let (ticket, displaced) = self
            .queue
            .push(request.class, entry, request.deadline, now)?;
        if let Some(ticket) = displaced {
            self.displaced.push(TicketDecision {
                ticket,
                result: Err(RefusalReason::QueueFull),
            });
        }
        Ok(Admitted::Wait(ticket))
    }

    fn start(&mut self, class: Class, entry: EntrySlot, now: Instant) -> Permit {
        self.limit.start();
        self.entries.start(entry);
        self.counts[class.rank()].started += 1;
        Permit {
            class,
            entry,
            started: now,
        }
    }

    fn adjust_level(&mut self, now: Instant) {
        // While the limit has room, a request waits for its entry's limit only, and a lower level would not help it.
        let full = !self.limit.has_room();
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
