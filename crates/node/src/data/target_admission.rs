//! Asynchronous admission to the local target. [`GateAdmission`] makes the decisions; this module waits for them.

use {
    hdrhistogram::Histogram,
    jujubeline_core::{Class, EntryName, RefusalReason, StatedRate},
    jujubeline_overload::{
        AdmissionRequest, Admitted, ExchangeEnd, GateAdmission, Level, LoadReport, Permit,
        RateChange, Ticket, TicketDecision,
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::sleep_until,
    },
};

/// Interval between decisions while requests are queued. It bounds how late an expired request is refused.
const QUEUE_TICK: Duration = Duration::from_millis(10);
/// Window over which the 99th percentile of latency is measured.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);
/// Upper bound of the latency histogram, in microseconds. Higher latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

type Decision = Result<Permit, RefusalReason>;

/// Admission control of the local target.
#[derive(Debug)]
pub struct TargetAdmission {
    state: Mutex<State>,
    queued: Notify,
}

#[derive(Debug)]
struct State {
    admission: GateAdmission,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    latency: Histogram<u64>,
    latency_since: Instant,
    latency_p99: Duration,
}

/// Permission to run one request at the target. Dropping it without [`Self::finish`] counts the request as cancelled.
#[derive(Debug)]
pub struct AdmissionGuard {
    admission: Arc<TargetAdmission>,
    permit: Option<Permit>,
    started: Instant,
}

impl TargetAdmission {
    /// Admission control of a target that accepts `connections` connections, which bound the concurrency limit.
    #[must_use]
    pub fn new(connections: u32, now: Instant) -> Arc<Self> {
        // Two significant digits and these bounds are valid, so the fallbacks, which only replace an `unwrap`, are not
        // reached.
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
            .or_else(|_| Histogram::new(2))
            .unwrap_or_else(|_| unreachable!("two significant digits are valid"));
        Arc::new(Self {
            state: Mutex::new(State {
                admission: GateAdmission::new(connections, now),
                waiting: HashMap::new(),
                latency,
                latency_since: now,
                latency_p99: Duration::ZERO,
            }),
            queued: Notify::new(),
        })
    }

    /// Admits a request, after a wait in the queue if necessary. Dropping the future removes the request from the
    /// queue.
    ///
    /// # Errors
    ///
    /// The reason for the refusal. The request has not run.
    pub async fn enter(
        self: &Arc<Self>,
        request: &AdmissionRequest,
    ) -> Result<AdmissionGuard, RefusalReason> {
        let (ticket, decision) = {
            let mut state = self.state.lock();
            match state.admission.offer(request, Instant::now()) {
                Ok(Admitted::Run(permit)) => return Ok(self.guard(permit)),
                Ok(Admitted::Wait(ticket)) => {
                    let (sender, decision) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    state.decide();
                    (ticket, decision)
                }
                Err(reason) => {
                    state.decide();
                    return Err(reason);
                }
            }
        };
        self.queued.notify_one();
        let mut waiting = QueuedRequest {
            admission: self,
            ticket,
            decision,
        };
        match (&mut waiting.decision).await {
            Ok(Ok(permit)) => Ok(self.guard(permit)),
            Ok(Err(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::Internal),
        }
    }

    fn guard(self: &Arc<Self>, permit: Permit) -> AdmissionGuard {
        AdmissionGuard {
            admission: Arc::clone(self),
            permit: Some(permit),
            started: Instant::now(),
        }
    }

    fn end(&self, permit: Permit, in_calls: Duration, end: ExchangeEnd, started: Instant) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if end == ExchangeEnd::Completed {
            state.record_latency(now.saturating_duration_since(started), now);
        }
        state.admission.end_with_calls(permit, in_calls, end, now);
        state.decide();
    }

    /// Decides about queued requests when the next decision is due, and at each tick while requests wait. Runs until
    /// the future is dropped.
    pub async fn run_queue_timer(&self) {
        loop {
            let wake = {
                let state = self.state.lock();
                let wake = state.admission.next_wake();
                if state.admission.waiting() > 0 {
                    wake.min(Instant::now() + QUEUE_TICK)
                } else {
                    wake
                }
            };
            tokio::select! {
                () = sleep_until(wake.into()) => {}
                () = self.queued.notified() => {}
            }
            self.state.lock().decide();
        }
    }

    /// Applies an announcement of the target. Exact slots replace the adaptive concurrency limit.
    pub fn apply_announcement(&self, slots: u32, is_exact: bool, connections: u32, draining: bool) {
        let mut state = self.state.lock();
        state.admission.set_max_limit(connections);
        state.admission.hint_slots(Some(slots));
        state.admission.set_exact_slots(is_exact.then_some(slots));
        state.admission.set_draining(draining);
    }

    /// Passes the utilisation that a response of the target reported, 1.0 for fully used, to the concurrency limit.
    pub fn hint_utilisation(&self, utilisation: f64) {
        self.state
            .lock()
            .admission
            .hint_utilisation(utilisation, Instant::now());
    }

    /// Applies the limit on the rate of requests that the target stated in its response to a request that was sent at
    /// `sent`. Returns the change, if it is one.
    pub fn observe_rate(&self, stated: StatedRate, sent: Instant) -> Option<RateChange> {
        let mut state = self.state.lock();
        state.admission.observe_rate(stated, sent, Instant::now())
    }

    /// Adopts a limit on the rate of requests that another node heard from the target, unless the target has responded
    /// here. Returns the change, if it is one.
    pub fn adopt_rate(&self, per_s: f64) -> Option<RateChange> {
        let mut state = self.state.lock();
        state.admission.adopt_rate(per_s, Instant::now())
    }

    /// Forgets what the target stated, when another process of it has started.
    pub fn clear_rate(&self) {
        self.state.lock().admission.clear_rate();
    }

    /// Counts one more copy of a running request toward the limit that the target states. Returns false when the limit
    /// does not allow it now.
    #[must_use]
    pub fn admit_copy(&self) -> bool {
        self.state.lock().admission.admit_copy(Instant::now())
    }

    /// Requests per second that the target accepts; `None` without a stated limit.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.state.lock().admission.rate_limit()
    }

    /// Records the lowest level observed for the calls of a request of `entry`.
    pub fn observe_call_level(&self, entry: &EntryName, level: Level) {
        self.state
            .lock()
            .admission
            .observe_call_level(entry, level, Instant::now());
    }

    /// Admission level of the target itself, without the levels observed for its calls.
    #[must_use]
    pub fn level(&self) -> Level {
        self.state.lock().admission.level()
    }

    /// Admission level for requests of `entry` and load of the target, for the headers of a response.
    #[must_use]
    pub fn level_and_load(&self, entry: &EntryName) -> (Level, LoadReport) {
        let state = self.state.lock();
        let now = Instant::now();
        let level = state.admission.level_for_entry(entry, now);
        (level, state.admission.load(now))
    }

    /// Records the pace that a response of the target states, in percent of the usual time.
    pub fn record_pace(&self, pace_percent: u32) {
        let mut state = self.state.lock();
        state.admission.record_pace(pace_percent, Instant::now());
    }

    /// 99th percentile of the latency of complete responses in the last full window; zero before that.
    #[must_use]
    pub fn latency_p99(&self) -> Duration {
        self.state.lock().latency_p99
    }

    /// Concurrency limit in effect.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.state.lock().admission.limit()
    }

    /// Requests running at the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.state.lock().admission.in_flight()
    }

    /// Requests in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.lock().admission.waiting()
    }

    /// Requests of a class in the queue.
    #[must_use]
    pub fn waiting_of(&self, class: Class) -> usize {
        self.state.lock().admission.waiting_of(class)
    }

    /// Requests of a class admitted since the start of the node.
    #[must_use]
    pub fn started(&self, class: Class) -> u64 {
        self.state.lock().admission.counts(class).started
    }
}

impl State {
    /// Delivers decisions until none is left. The permit of a request that is no longer waiting is returned, which may
    /// admit another request.
    fn decide(&mut self) {
        loop {
            let now = Instant::now();
            let mut returned = false;
            for TicketDecision { ticket, result } in self.admission.decide(now) {
                let undelivered = match self.waiting.remove(&ticket) {
                    Some(sender) => sender.send(result).err(),
                    None => Some(result),
                };
                if let Some(Ok(permit)) = undelivered {
                    self.admission.end(permit, ExchangeEnd::Cancelled, now);
                    returned = true;
                }
            }
            if !returned {
                return;
            }
        }
    }

    fn record_latency(&mut self, latency: Duration, now: Instant) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latency
            .saturating_record(micros.clamp(1, MAX_LATENCY_US));
        if now.saturating_duration_since(self.latency_since) >= LATENCY_WINDOW {
            self.latency_p99 = Duration::from_micros(self.latency.value_at_quantile(0.99));
            self.latency.reset();
            self.latency_since = now;
        }
    }
}

/// A request in the queue. Dropping it removes the request from the queue.
struct QueuedRequest<'a> {
    admission: &'a Arc<TargetAdmission>,
    ticket: Ticket,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.decision.is_terminated() {
            return;
        }
        let mut state = self.admission.state.lock();
        self.decision.close();
        // A permit that was sent but not received would otherwise leak.
        if let Ok(Ok(permit)) = self.decision.try_recv() {
            let now = Instant::now();
            state.admission.end(permit, ExchangeEnd::Cancelled, now);
        } else {
            state.waiting.remove(&self.ticket);
            state.admission.cancel(self.ticket);
        }
        state.decide();
    }
}

impl AdmissionGuard {
    /// Returns the permit with the end of the exchange and the time in which the target waited for calls of its own.
    pub fn finish(mut self, in_calls: Duration, end: ExchangeEnd) {
        self.end(in_calls, end);
    }

    /// Time at which the request was admitted.
    #[must_use]
    pub const fn started(&self) -> Instant {
        self.started
    }

    fn end(&mut self, in_calls: Duration, end: ExchangeEnd) {
        if let Some(permit) = self.permit.take() {
            self.admission.end(permit, in_calls, end, self.started);
        }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.end(Duration::ZERO, ExchangeEnd::Cancelled);
    }
}
