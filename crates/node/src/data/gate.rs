//! The gate: admits requests to the local target, runs them and checks the responses.

use {
    super::{
        CatalogueIndex, ExchangeContext, OutgoingBody, ResponseBody, Routes, TargetPool,
        body::BodyError,
        crash_watch::{CrashWatch, RunningRequest, SuspectRefusal},
        final_status::is_final,
        fingerprint::fingerprint,
        forward_headers::{clean_target_response, write_target_context},
        hops::{HopGuard, Hops},
        load_report::{load_value, read_load},
        stalled::Sending,
        target_admission::{AdmissionGuard, TargetAdmission},
        target_pool::{Lease, PoolError},
        target_report_header::write_report,
    },
    crate::{
        LocalTarget, Metrics,
        claims::Claims,
        decisions::{Decision, DecisionLog, request_name},
        target_tracker::{TargetLifetime, TargetTracker},
    },
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header, request},
    http_body::Body,
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    jujubeline_coordination::{TargetReport, allowance::workspace_hash, membership::TargetState},
    jujubeline_core::{
        Class, Dialect, EntryName, NotRunProof, Outcome, Refusal, RefusalReason, ServiceName,
        header_names as names,
    },
    jujubeline_overload::{
        AdmissionRequest, ExchangeEnd, Level, LoadReport, RateChange, StallProbes,
    },
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{sleep_until, timeout},
    },
    tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken},
};

/// A refusal by a gate, with the state that the entry node uses for routing and retries.
#[derive(Debug)]
pub struct GateRefusal {
    /// Reason and outcome for the caller.
    pub refusal: Refusal,
    /// Part of the granted retry allowance that is returned.
    pub retries_unused: u32,
    /// Admission level of the gate for the entry; none when the gate was not reached or did not send one.
    pub level: Option<Level>,
    /// Load of the target; none when unknown.
    pub load: Option<Box<LoadReport>>,
    /// What the target states about itself; none when the gate was not reached or has nothing to report.
    pub report: Option<TargetReport>,
}

impl GateRefusal {
    /// A refusal without level and load of the gate.
    #[must_use]
    pub const fn new(refusal: Refusal, retries_unused: u32) -> Self {
        Self {
            refusal,
            retries_unused,
            level: None,
            load: None,
            report: None,
        }
    }
}

/// Gate of the local target.
#[derive(Debug)]
pub struct Gate {
    /// Pool of connections to the target.
    pub pool: Arc<TargetPool>,
    /// Inbound exchanges in flight at the target.
    pub hops: Arc<Hops>,
    /// Admission control of the target.
    pub admission: Arc<TargetAdmission>,
    /// Detects crashes of the target and keeps the quarantine.
    pub crashes: Arc<CrashWatch>,
    /// Bounds the requests that are sent again because their connections may have stalled.
    pub stall_probes: Mutex<StallProbes>,
    /// Current state, address and limits of the target, from the settings, its announcements, the configuration and
    /// crash detection. Its state also changes while this node stops.
    pub target: watch::Receiver<LocalTarget>,
    /// Keeps the state of the target.
    pub tracker: Arc<TargetTracker>,
    /// Catalogue in effect, for the concurrency limits of entries.
    pub routes: Arc<Routes>,
    /// Service of the target. Requests for other services are refused.
    pub service: ServiceName,
    /// Claims of at-most-once work; without them such work is refused.
    pub claims: Option<Arc<Claims>>,
    /// Header names and conventions that the target uses.
    pub dialect: Arc<Dialect>,
    /// Log of refusals by the gate.
    pub decisions: Arc<DecisionLog>,
    /// Counters and histograms of this node.
    pub metrics: Arc<Metrics>,
    /// Tracks exchanges in flight, so that a drain can wait for them.
    pub exchanges: TaskTracker,
    /// Tracks background tasks, which the node waits for when it closes.
    pub tasks: TaskTracker,
}

impl Gate {
    /// Runs a request at the target if claim, quarantine and admission allow it.
    ///
    /// # Errors
    ///
    /// The refusal, with the outcome as far as it is known.
    pub async fn serve(
        self: &Arc<Self>,
        head: request::Parts,
        body: OutgoingBody,
        context: &ExchangeContext,
    ) -> Result<Response<ResponseBody>, GateRefusal> {
        if let Some(report) = &context.report {
            self.tracker.adopt(report, Instant::now());
        }
        if let Some(claim) = context.claim {
            return Box::pin(self.serve_at_most_once(head, body, context, claim)).await;
        }
        if self.needs_claim(context) {
            // The catalogue of the entry node is older. Without a claim the request could run twice.
            let refusal = Refusal::unknown(RefusalReason::StaleEpoch);
            return Err(self.refusal(refusal, &context.entry, context.retries));
        }
        let in_flight = self.exchanges.token();
        let arrived = Instant::now();
        let id = self.attempt_id(&head.headers);
        let exchange = match Box::pin(self.admit(&head, &body, context, in_flight)).await {
            Ok(exchange) => exchange,
            Err(refusal) => {
                self.record(id.as_ref(), context, &refusal, arrived);
                return Err(self.refusal(refusal, &context.entry, context.retries));
            }
        };
        match self.run(head, body, context, exchange).await {
            Ok(response) => Ok(response),
            Err((refusal, unused)) => {
                self.record(id.as_ref(), context, &refusal, arrived);
                Err(self.refusal(refusal, &context.entry, unused))
            }
        }
    }

    fn record(
        &self,
        id: Option<&HeaderValue>,
        context: &ExchangeContext,
        refusal: &Refusal,
        arrived: Instant,
    ) {
        let now = Instant::now();
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let request = request_name(id, context.root);
        self.decisions.record(
            &Decision {
                decision: "gate_refused",
                request: &request,
                entry: &context.entry,
                class: Some(context.class),
                service: &context.service,
                target: self.target.borrow().process.as_deref().unwrap_or_default(),
                reason: refusal.reason().label(),
                outcome: Some(refusal.outcome()),
                age_ms: millis(now.saturating_duration_since(arrived)),
                left_ms: millis(context.remaining(now)),
                catalogue_revision: self.routes.index().revision(),
                running: Some(self.admission.in_flight()),
                waiting: Some(self.admission.waiting() as u64),
                limit: Some(self.admission.limit()),
                level: Some(self.admission.level_and_load(&context.entry).0.keys()),
            },
            now,
        );
    }

    /// Checks and queues a request before it is sent to the target.
    pub(super) async fn admit(
        self: &Arc<Self>,
        head: &request::Parts,
        body: &OutgoingBody,
        context: &ExchangeContext,
        in_flight: TaskTrackerToken,
    ) -> Result<Box<GateExchange>, Refusal> {
        self.check(context)?;
        let fingerprint = fingerprint(head, body);
        let turn = self
            .crashes
            .wait_for_suspect_turn(fingerprint, context.deadline)
            .await
            .map_err(suspect_refusal)?;
        let attempt = self.attempt_id(&head.headers);
        let index = self.routes.index();
        let workspace = context.workspace.as_deref();
        let request = AdmissionRequest {
            workspace: workspace.map(|name| (workspace_hash(name), index.weight_of(name))),
            is_call: context.is_call,
            has_alternative: context.has_alternative,
            class: context.class,
            root: context.root,
            entry: context.entry.clone(),
            entry_concurrency: entry_concurrency(&index, context),
            deadline: context.deadline,
        };
        let guard = self
            .admission
            .enter(&request)
            .await
            .map_err(|reason| not_run(reason).with_retry_after(RETRY_AFTER))?;
        // Check again: the target may have crashed or begun to drain while the request was queued.
        self.check(context)?;
        let running = self
            .crashes
            .begin(fingerprint, context.deadline)
            .await
            .map_err(suspect_refusal)?;
        drop(turn);
        Ok(Box::new(GateExchange {
            gate: Arc::clone(self),
            class: context.class,
            lease: None,
            running: Some(running),
            hop: self.hops.open(
                context,
                attempt.as_ref().and_then(|attempt| attempt.to_str().ok()),
            ),
            guard: Some(guard),
            _in_flight: in_flight,
        }))
    }

    /// Whether the entry runs at most once according to the catalogue of this node.
    fn needs_claim(&self, context: &ExchangeContext) -> bool {
        let index = self.routes.index();
        index
            .entry(&context.entry)
            .is_some_and(|entry| entry.needs_claim())
    }

    /// Whether the target takes new work, which it does while it is cold or ready.
    pub(super) fn takes_work(&self) -> bool {
        matches!(
            self.target.borrow().state,
            TargetState::Cold | TargetState::Ready
        )
    }

    fn check(&self, context: &ExchangeContext) -> Result<(), Refusal> {
        // The address of an instance that is gone may have been reused by an instance of another service.
        if context.service != self.service {
            return Err(not_run(RefusalReason::NoTarget));
        }
        match self.target.borrow().state {
            TargetState::Draining => return Err(not_run(RefusalReason::Draining)),
            TargetState::Gone => return Err(not_run(RefusalReason::NoTarget)),
            TargetState::Cold | TargetState::Ready => {}
        }
        if context.remaining(Instant::now()).is_zero() {
            return Err(not_run(RefusalReason::Deadline));
        }
        Ok(())
    }

    pub(super) async fn run(
        self: &Arc<Self>,
        head: request::Parts,
        body: OutgoingBody,
        context: &ExchangeContext,
        mut exchange: Box<GateExchange>,
    ) -> Result<Response<ResponseBody>, (Refusal, u32)> {
        let attempt = self.attempt_id(&head.headers);
        let sent = Instant::now();
        let lifetime = self.tracker.lifetime();
        let result = match self.target_request(head, body, context, exchange.hop.id()) {
            Ok(request) => {
                let attempt = attempt.clone();
                Sending::new(self, context, attempt, &exchange.hop, &mut exchange.lease)
                    .send(request)
                    .await
            }
            Err(refusal) => Err(refusal),
        };
        let unused = exchange.hop.close_allowance();
        if let Ok(response) = &result
            && self.is_own_response(response, attempt.as_ref())
        {
            self.observe_statement(response.headers(), &lifetime, sent);
        }
        let refusal = match result {
            Ok(response) => match self.check_response(&response, attempt.as_ref()) {
                Ok(()) => return Ok(self.forward_response(response, context, exchange, unused)),
                Err(refusal) => {
                    if refusal.reason() == RefusalReason::TargetShed {
                        self.keep_connection(&mut exchange, response.into_body());
                    }
                    refusal
                }
            },
            Err(refusal) => refusal,
        };
        let refusal = self.end_refused(exchange, refusal).await;
        Err((refusal, unused))
    }

    /// Id that the caller gave to this attempt; none if the dialect has no such header or the request lacks it.
    fn attempt_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(self.dialect.attempt_id.as_ref()?).cloned()
    }

    fn target_request(
        &self,
        head: request::Parts,
        body: OutgoingBody,
        context: &ExchangeContext,
        hop: u64,
    ) -> Result<Request<OutgoingBody>, Refusal> {
        let uri = match head.uri.path_and_query() {
            Some(path) => Uri::builder().path_and_query(path.clone()).build(),
            None => Uri::builder().path_and_query("/").build(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = head.method;
        *request.uri_mut() = uri.map_err(|_| not_run(RefusalReason::BadRequest))?;
        *request.headers_mut() = head.headers;
        write_target_context(
            request.headers_mut(),
            &self.dialect,
            context,
            hop,
            self.target.borrow().process.as_ref(),
        );
        Ok(request)
    }

    /// Whether a response belongs to this attempt, as far as the dialect lets targets state that.
    pub(super) fn answers_attempt(
        &self,
        headers: &HeaderMap,
        attempt: Option<&HeaderValue>,
    ) -> bool {
        match (&self.dialect.attempt_id, attempt) {
            (Some(name), Some(attempt)) => headers.get(name) == Some(attempt),
            (None, _) | (_, None) => true,
        }
    }

    /// Whether a response comes from the process that the request was meant for. Another process at the same address
    /// answers 421.
    fn is_own_response(
        &self,
        response: &Response<Incoming>,
        attempt: Option<&HeaderValue>,
    ) -> bool {
        response.status() != StatusCode::MISDIRECTED_REQUEST
            && self.answers_attempt(response.headers(), attempt)
    }

    /// Records what a process of the target states about itself in a response to a request that was sent at `sent`.
    fn observe_statement(&self, headers: &HeaderMap, lifetime: &TargetLifetime, sent: Instant) {
        let statement = (self.dialect.read_statement)(headers);
        if statement.is_leaving {
            self.tracker.process_leaves(lifetime, Instant::now());
        }
        let present = self.tracker.lifetime();
        if present.process != lifetime.process || present.born_ms != lifetime.born_ms {
            // Another process has started meanwhile, or the start of this one became known.
            return;
        }
        if let Some(RateChange { before, after }) =
            self.admission.observe_rate(statement.rate, sent)
        {
            // The value may differ in each response, so only the begin and the end are logged.
            match (before, after) {
                (None, Some(per_s)) => {
                    log::info!("target limits all nodes together to {per_s} requests per second");
                }
                (Some(_), None) => log::info!("target no longer limits the rate of requests"),
                (Some(_), Some(_)) | (None, None) => {}
            }
        }
    }

    /// Refuses a response that must not be passed on: to another attempt, with a status that is none, of a target that
    /// shed the request, or with a body whose end cannot be detected.
    fn check_response(
        &self,
        response: &Response<Incoming>,
        attempt: Option<&HeaderValue>,
    ) -> Result<(), Refusal> {
        let headers = response.headers();
        if !self.answers_attempt(headers, attempt) {
            // The target sent a second response to an earlier request in place of this one.
            return Err(Refusal::unknown(RefusalReason::OutcomeLost));
        }
        if !is_final(response.status()) {
            return Err(Refusal::unknown(RefusalReason::AnswerInvalid));
        }
        if (self.dialect.is_shed)(response.status(), headers) {
            return Err(shed_refusal(headers));
        }
        if !self.dialect.allows_close_delimited && !is_end_provable(headers, response.body()) {
            return Err(Refusal::unknown(RefusalReason::AnswerCutShort));
        }
        Ok(())
    }

    /// Reads the rest of a response that is not passed on, so that the connection can be reused. Otherwise each request
    /// that the target sheds would cost a new connection.
    fn keep_connection(&self, exchange: &mut GateExchange, body: Incoming) {
        let Some(lease) = exchange.lease.take() else {
            return;
        };
        self.tasks.spawn(async move {
            let read = Limited::new(body, MAX_SHED_BYTES).collect();
            if matches!(timeout(SHED_BODY_TIMEOUT, read).await, Ok(Ok(_))) {
                lease.release();
            }
        });
    }

    fn forward_response(
        &self,
        response: Response<Incoming>,
        context: &ExchangeContext,
        exchange: Box<GateExchange>,
        unused: u32,
    ) -> Response<ResponseBody> {
        let (mut head, incoming) = response.into_parts();
        clean_target_response(&mut head.headers);
        // Requests of this entry are admitted at the lower of two levels, that of the gate and that of the target's
        // calls. Work done before a refusal further down the call chain would be wasted.
        self.admission
            .observe_call_level(&context.entry, exchange.hop.level_of_calls());
        if let Some(pace_percent) =
            (self.dialect.read_load)(&head.headers).and_then(|load| load.pace_percent)
        {
            self.admission.record_pace(pace_percent);
        }
        let (level, report) = self.admission.level_and_load(&context.entry);
        if let Some(load) = read_load(&head.headers) {
            self.admission.hint_utilisation(load.utilisation);
        } else {
            head.headers.insert(names::LOAD, load_value(&report));
        }
        if let Some(report) = self.tracker.report() {
            write_report(&mut head.headers, &report);
        }
        head.headers
            .insert(names::LEVEL, HeaderValue::from(level.keys()));
        head.headers
            .insert(names::RETRIES_UNUSED, HeaderValue::from(unused));
        let deadline = Box::pin(sleep_until(context.deadline.into()));
        let mut body = ResponseBody::streamed(incoming, deadline);
        body.attach_gate(exchange);
        Response::from_parts(head, body)
    }

    /// Ends an exchange that has no response to pass on, and checks whether a lost outcome was a crash of the target.
    async fn end_refused(&self, mut exchange: Box<GateExchange>, refusal: Refusal) -> Refusal {
        let end = super::attempt_end::exchange_end(&refusal);
        exchange.finish(end);
        let Some(running) = exchange.running.take() else {
            return refusal;
        };
        if refusal.outcome() == Outcome::NotRun {
            running.not_run();
            return refusal;
        }
        if refusal.reason() != RefusalReason::OutcomeLost {
            return refusal;
        }
        let address = self.target.borrow().address;
        if self.crashes.connection_lost(running, address).await {
            return Refusal::unknown(RefusalReason::TargetUnreachable);
        }
        refusal
    }

    pub(super) fn refusal(
        &self,
        refusal: Refusal,
        entry: &EntryName,
        retries_unused: u32,
    ) -> GateRefusal {
        let (level, load) = self.admission.level_and_load(entry);
        GateRefusal {
            refusal,
            retries_unused,
            level: Some(level),
            load: Some(Box::new(load)),
            report: self.tracker.report(),
        }
    }
}

/// Longest body of a shed request's response that is read so that its connection can be reused.
const MAX_SHED_BYTES: usize = 4_096;
/// Timeout for reading the body of a shed request's response.
const SHED_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Retry delay that is suggested after a refusal for overload. Levels and queues change within this time.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A refusal by this gate of a request that has not run.
pub const fn not_run(reason: RefusalReason) -> Refusal {
    Refusal::not_run(NotRunProof::RefusedByGate, reason)
}

fn suspect_refusal(refusal: SuspectRefusal) -> Refusal {
    match refusal {
        SuspectRefusal::Quarantined(left) => {
            not_run(RefusalReason::Quarantined).with_retry_after(left)
        }
        SuspectRefusal::Deadline => not_run(RefusalReason::Deadline),
    }
}

/// Concurrency limit of the entry in the catalogue of this node. An entry that is not in it yet has no limit.
fn entry_concurrency(index: &CatalogueIndex, context: &ExchangeContext) -> u32 {
    index
        .entry(&context.entry)
        .map_or(u32::MAX, |entry| entry.concurrency)
}

fn shed_refusal(headers: &HeaderMap) -> Refusal {
    let refusal = Refusal::not_run(NotRunProof::RefusedByTarget, RefusalReason::TargetShed);
    let retry_after = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    match retry_after {
        Some(seconds) => refusal.with_retry_after(Duration::from_secs(seconds)),
        None => refusal,
    }
}

/// Whether the end of the body can be told from a broken connection. That is impossible for a body that ends with the
/// connection.
fn is_end_provable(headers: &HeaderMap, body: &Incoming) -> bool {
    body.is_end_stream()
        || body.size_hint().exact().is_some()
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Refusal of a request that was not sent because no connection to the target was available.
pub const fn pool_refusal(error: &PoolError) -> Refusal {
    not_run(match error {
        PoolError::NoAddress => RefusalReason::NoTarget,
        PoolError::Exhausted => RefusalReason::ConcurrencyLimit,
        PoolError::Connect(_) => RefusalReason::TargetUnreachable,
        PoolError::Deadline => RefusalReason::Deadline,
    })
}

/// An exchange with the target. Dropping it before [`Self::complete`] closes the connection.
#[derive(Debug)]
pub struct GateExchange {
    gate: Arc<Gate>,
    class: Class,
    lease: Option<Lease>,
    running: Option<RunningRequest>,
    hop: HopGuard,
    guard: Option<AdmissionGuard>,
    _in_flight: TaskTrackerToken,
}

impl GateExchange {
    /// The response was read to its end. Returns the connection to the pool.
    pub(super) fn complete(mut self) {
        let opened = self.lease.as_ref().map(Lease::opened);
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
        if let Some(running) = self.running.take() {
            running.complete(opened);
        }
        if let Some(guard) = &self.guard {
            self.gate
                .metrics
                .record_target_response(self.class, guard.started().elapsed());
        }
        self.finish(ExchangeEnd::Completed);
    }

    /// The response body ended before its last byte. One that was cut short may mean a crash of the target.
    pub(super) fn fail(mut self, error: &BodyError) {
        match error {
            BodyError::Deadline => self.finish(ExchangeEnd::TimedOut),
            BodyError::Cancelled => self.finish(ExchangeEnd::Cancelled),
            BodyError::CutShort(_) => {
                self.finish(ExchangeEnd::Failed);
                self.check_for_crash();
            }
        }
    }

    fn check_for_crash(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        let crashes = Arc::clone(&self.gate.crashes);
        let address = self.gate.target.borrow().address;
        self.gate.tasks.spawn(async move {
            crashes.connection_lost(running, address).await;
        });
    }

    fn finish(&mut self, end: ExchangeEnd) {
        if let Some(guard) = self.guard.take() {
            guard.finish(self.hop.time_in_calls(Instant::now()), end);
        }
    }
}

impl Drop for GateExchange {
    fn drop(&mut self) {
        self.finish(ExchangeEnd::Cancelled);
    }
}
