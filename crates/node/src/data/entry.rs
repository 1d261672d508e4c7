//! The entry node: accepts a caller's request, chooses targets, retries and responds.

use {
    super::{
        ExchangeContext, Gate, OutgoingBody, Peers, ResponseBody, Routes,
        allowance::Allowance,
        attempt_end::{exchange_end, reached_target, retry_reason},
        buffered_body::{buffer_if_small, buffer_small_response},
        entry_exchange::EntryExchange,
        fingerprint::{arrival_identity, fingerprint},
        forward_headers::{CallerHeaders, clean_request, clean_response_for_caller},
        gate::GateRefusal,
        hops::{Hop, Hops},
        identity::{Identity, identify},
        load_report::read_load,
        peers::{read_level, retries_unused},
        problem::problem_response,
        service::{ChosenTarget, Endpoint, LevelSource, Service},
        target_report_header::read_report,
    },
    crate::{
        Allowances, Metrics,
        claims::Claims,
        decisions::{Decision, DecisionLog, request_name},
    },
    http::{HeaderMap, HeaderValue, Method, Request, Response, Version, header, request},
    hyper::body::Incoming,
    jujubeline_catalogue::{ANY_METHOD, Entry, Workspace},
    jujubeline_coordination::{TargetReport, TargetReports, allowance::Denial},
    jujubeline_core::{
        Class, DataCentre, Dialect, NodeId, NotRunProof, Outcome, Refusal, RefusalReason, RootId,
        ServiceName, header_names as names, stable_hash,
    },
    jujubeline_overload::{FailedAttempt, RetryAllowance, suggested_retry_after},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Longest idempotency key that is accepted.
const MAX_KEY_BYTES: usize = 255;

/// Targets that are tried for one request. Most gates refuse within a few milliseconds, at no cost for the target.
const MAX_TARGETS: usize = 4;

/// Accepts requests from callers and forwards them to gates.
#[derive(Debug)]
pub struct EntryNode {
    /// Catalogue index and targets in effect.
    pub routes: Arc<Routes>,
    /// Connections to other nodes.
    pub peers: Arc<Peers>,
    /// Gate of this node, for attempts at the local target.
    pub gate: Arc<Gate>,
    /// Inbound exchanges of the local target.
    pub hops: Arc<Hops>,
    /// Claims of at-most-once work; without them such work is refused.
    pub claims: Option<Arc<Claims>>,
    /// Tokens of the workspaces' allowances; without them requests are not limited.
    pub allowances: Option<Arc<Allowances>>,
    /// What the targets of other nodes state about themselves.
    pub reports: Mutex<TargetReports>,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Header names and conventions that callers use.
    pub dialect: Arc<Dialect>,
    /// Service of the local target. Each request that enters here names it as the caller's service, if the dialect has
    /// a header for that.
    pub own_service: ServiceName,
    /// Log of refusals and retries.
    pub decisions: Arc<DecisionLog>,
    /// Counters and histograms of this node.
    pub metrics: Arc<Metrics>,
    /// Tracks exchanges in flight, so that a drain can wait for them.
    pub exchanges: TaskTracker,
    /// Cancelled when the node stops being ready. Requests are still served.
    pub not_ready: CancellationToken,
    /// Cancelled when this node stops passing new work to the target.
    pub target_withheld: CancellationToken,
    /// Cancelled when the node begins to refuse new exchanges.
    pub drain: CancellationToken,
    /// Cancelled when the node also refuses calls on behalf of exchanges in flight.
    pub calls_refused: CancellationToken,
}

/// A caller's request that has passed the checks.
pub(super) struct Accepted {
    pub entry: Arc<Entry>,
    pub head: request::Parts,
    pub context: ExchangeContext,
    pub allowance: Allowance,
    arrived: Instant,
    hop: Option<Hop>,
    /// Workspace whose allowance the request uses; none for calls, which are part of their root request.
    workspace: Option<Arc<Workspace>>,
}

impl EntryNode {
    /// Handles a request of a caller. A refusal is returned as a problem response.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let is_http1 = request.version() < Version::HTTP_2;
        let mut response = match self.forward(request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.reason());
                problem_response(&refusal, &self.dialect)
            }
        };
        if is_http1 && self.not_ready.is_cancelled() {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn forward(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let id = self.request_id(&head);
        let mut accepted = match self.accept(head, started) {
            Ok(accepted) => accepted,
            Err(refusal) => {
                self.record_rejected(id.as_ref(), &refusal, started);
                return Err(refusal);
            }
        };
        let mut exchange = Box::new(EntryExchange::start(self, accepted.entry.class, started));
        let hop = accepted.hop.take();
        exchange.call = hop
            .as_ref()
            .map(|hop| self.hops.begin_call(hop.id, started));
        let run = self.run_within_allowance(&mut accepted, body, &mut exchange);
        // A call is cancelled with its exchange only where targets copy the exchange headers of the node. Targets that
        // name the parent attempt in ids of their own cancel their calls themselves.
        let hop = hop.filter(|_| self.dialect.propagates_exchange_headers);
        let result = match &hop {
            None => run.await,
            Some(hop) => hop
                .ended
                .run_until_cancelled(run)
                .await
                .unwrap_or(Err(Refusal::unknown(RefusalReason::Cancelled))),
        };
        match result {
            Ok(mut response) => {
                clean_response_for_caller(response.headers_mut());
                if let Some(hop) = hop {
                    response.body_mut().end_with(hop.ended);
                }
                response.body_mut().attach_entry(exchange);
                Ok(response)
            }
            Err(refusal) => {
                let refusal = Self::add_retry_after(&accepted, refusal);
                exchange.refused();
                self.record(
                    &accepted,
                    "refused",
                    refusal.reason().label(),
                    "",
                    Some(refusal.outcome()),
                );
                Err(refusal)
            }
        }
    }

    /// Validates a request and builds its context.
    fn accept(&self, mut head: request::Parts, now: Instant) -> Result<Accepted, Refusal> {
        if head.version == Version::HTTP_11
            && head.headers.get_all(header::HOST).iter().count() != 1
        {
            return Err(rejected(RefusalReason::BadRequest));
        }
        let entry = self.find_entry(&head)?;
        let caller = CallerHeaders::read(&head.headers, &self.dialect)
            .map_err(|_| rejected(RefusalReason::BadRequest))?;
        if entry.needs_claim() {
            check_key(&head)?;
        }
        let identity = identify(
            &self.routes.index(),
            &entry,
            &head.headers,
            &self.dialect.workspace_key,
        )
        .map_err(|reason| refused_before_claim(&entry, reason))?;
        // Calls carry no key, so a request with one comes from a client, whatever its id looks like.
        let has_key = matches!(identity, Identity::Workspace(_));
        let parent = self.parent(&head).filter(|_| !has_key);
        let hop = match &parent {
            Some((parent, _)) => self.hops.find_by_attempt(parent),
            None if has_key => None,
            None => caller.hop.and_then(|hop| self.hops.get(hop)),
        };
        if identity == Identity::Missing && hop.is_none() {
            // After a restart of the node, a call in flight may be the call of an exchange that is no longer known.
            let is_call = parent.is_some() || caller.hop.is_some();
            let reason = if is_call {
                RefusalReason::ParentUnknown
            } else {
                RefusalReason::WorkspaceKeyMissing
            };
            return Err(refused_before_claim(&entry, reason));
        }
        // A draining node still accepts calls on behalf of an exchange in flight, so that the exchange can complete,
        // but not so late that they would be cut off.
        let is_refused = if hop.is_some() {
            self.calls_refused.is_cancelled()
        } else {
            self.drain.is_cancelled()
        };
        if is_refused {
            return Err(refused_before_claim(&entry, RefusalReason::Draining));
        }
        let allowance = match (&hop, caller.hop) {
            (Some(hop), _) => Allowance::Shared(hop.id),
            (None, Some(_)) => Allowance::Unknown,
            (None, None) => Allowance::Own(RetryAllowance::new(entry.retry_bound)),
        };
        let mut context = context(&entry, &caller, hop.as_ref(), now);
        context.may_repeat = may_repeat(&entry, &head.method);
        let workspace = match identity {
            Identity::Workspace(workspace) => {
                context.workspace = Some(workspace.name.clone());
                context.class = self.routes.index().class_for(&workspace, &entry);
                Some(workspace)
            }
            Identity::Anonymous | Identity::Missing => None,
        };
        if let Some((_, root)) = parent {
            context.root = root;
            context.is_call = true;
        } else if let Some(root) = self.root(&head) {
            context.root = root;
        }
        if context.remaining(now).is_zero() {
            return Err(refused_before_claim(&entry, RefusalReason::Deadline));
        }
        clean_request(&mut head.headers, &head.uri, &self.dialect);
        self.set_caller_service(&mut head.headers);
        Ok(Accepted {
            entry,
            head,
            context,
            allowance,
            arrived: now,
            hop,
            workspace,
        })
    }

    /// Attempt that the calling target runs and its root request, if the request id contains them.
    fn parent(&self, head: &request::Parts) -> Option<(String, RootId)> {
        let id = self.request_id(head)?;
        let attempt = (self.dialect.read_parent)(id.to_str().ok()?)?;
        Some((attempt.parent.to_owned(), root_id(attempt.root)))
    }

    /// Root request of a client's attempt, derived from the request id if there is one.
    fn root(&self, head: &request::Parts) -> Option<RootId> {
        let id = self.request_id(head)?;
        Some(root_id(id.to_str().ok()?))
    }

    /// Sets the header for the caller's service to the service of this node, replacing what the caller sent.
    fn set_caller_service(&self, headers: &mut HeaderMap) {
        let Some(name) = &self.dialect.caller_service else {
            return;
        };
        headers.remove(name);
        if let Ok(service) = HeaderValue::from_str(&self.own_service) {
            headers.insert(name.clone(), service);
        }
    }

    fn find_entry(&self, head: &request::Parts) -> Result<Arc<Entry>, Refusal> {
        let index = self.routes.index();
        if index.revision() == 0 {
            return Err(refused_without_entry(head, RefusalReason::NoCatalogue));
        }
        let found = index.find(host(head), head.method.as_str(), head.uri.path());
        let entry = found
            .cloned()
            .ok_or_else(|| refused_without_entry(head, RefusalReason::NoEntry))?;
        if entry.unreadable {
            return Err(refused_without_entry(head, RefusalReason::EntryUnreadable));
        }
        Ok(entry)
    }

    /// Runs a request if the allowance of its workspace has a token for it. A request that has not run returns it.
    async fn run_within_allowance(
        &self,
        accepted: &mut Accepted,
        body: Incoming,
        exchange: &mut EntryExchange,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let limited = accepted
            .workspace
            .clone()
            .filter(|workspace| workspace.allowance.is_some());
        let (Some(allowances), Some(workspace)) = (&self.allowances, limited) else {
            return self.run(accepted, body, exchange).await;
        };
        allowances
            .take(&workspace.name)
            .await
            .map_err(|denial| allowance_refusal(accepted, denial, Instant::now()))?;
        let result = self.run(accepted, body, exchange).await;
        if let Err(refusal) = &result
            && refusal.outcome() == Outcome::NotRun
        {
            allowances.give_back(&workspace.name);
        }
        result
    }

    async fn run(
        &self,
        accepted: &mut Accepted,
        body: Incoming,
        exchange: &mut EntryExchange,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let entry = &accepted.entry;
        if entry.needs_claim() {
            return Box::pin(self.run_at_most_once(accepted, body)).await;
        }
        let service = self
            .routes
            .service(&accepted.context.service)
            .ok_or_else(|| refused_before_claim(entry, RefusalReason::NoTarget))?;
        let body = buffer_if_small(body, accepted.context.deadline)
            .await
            .map_err(rejected)?;
        let content = fingerprint(&accepted.head, &body);
        let hop = match accepted.allowance {
            Allowance::Shared(hop) => Some(hop),
            Allowance::Own(_) | Allowance::Unknown => None,
        };
        let identity = arrival_identity(&accepted.head, accepted.context.root, hop, content);
        let now = Instant::now();
        service.record_arrival(identity, now);
        // A gate that has not heard of the crashes must not get the request.
        if let Some(left) = self.gate.crashes.remaining_quarantine(content, now) {
            let refusal = refused_before_claim(entry, RefusalReason::Quarantined);
            return Err(refusal.with_retry_after(left));
        }
        self.try_targets(accepted, &service, body, exchange).await
    }

    /// Tries one target after another until one responds or no further attempt is allowed.
    async fn try_targets(
        &self,
        accepted: &mut Accepted,
        service: &Arc<Service>,
        mut body: OutgoingBody,
        exchange: &mut EntryExchange,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut tried: Vec<NodeId> = Vec::new();
        let mut last: Option<Refusal> = None;
        let mut earlier = Outcome::NotRun;
        let mut reached = 0;
        loop {
            let context = &accepted.context;
            let now = Instant::now();
            let chosen = service.choose(context, &tried, now);
            let chosen_target = match chosen {
                Ok(chosen_target) => chosen_target,
                Err(reason) => {
                    self.record_call_level(accepted, service, now);
                    return Err(
                        last.unwrap_or_else(|| refused_before_claim(&accepted.entry, reason))
                    );
                }
            };
            let again = match &body {
                OutgoingBody::Whole(bytes) => Some(OutgoingBody::Whole(bytes.clone())),
                OutgoingBody::Streamed { .. } => None,
            };
            let has_alternative = again.is_some()
                && tried.len() + 1 < MAX_TARGETS
                && service.has_target_besides(context, &tried, &chosen_target.node, now);
            accepted.context.has_alternative = has_alternative;
            let refusal = match self.attempt(accepted, &chosen_target, body).await {
                Ok(response) => {
                    exchange.set_chosen_target(chosen_target, response.status());
                    return Ok(response);
                }
                Err(refusal) => refusal.combined_with(earlier),
            };
            earlier = refusal.outcome();
            let node = chosen_target.node.clone();
            self.record(
                accepted,
                "attempt_failed",
                refusal.reason().label(),
                &node,
                Some(refusal.outcome()),
            );
            chosen_target.finish(exchange_end(&refusal));
            let Some(again) = again else {
                return Err(refusal);
            };
            reached += u32::from(reached_target(&refusal));
            tried.push(node);
            let max_attempts = accepted.entry.max_attempts.unwrap_or(u32::MAX);
            if reached >= max_attempts
                || tried.len() >= MAX_TARGETS
                || !self.may_retry(accepted, service, &refusal)
            {
                return Err(refusal);
            }
            body = again;
            last = Some(refusal);
        }
    }

    /// Makes one attempt and records the unused retries, the admission level and the load that came back.
    async fn attempt(
        &self,
        accepted: &mut Accepted,
        chosen_target: &ChosenTarget,
        body: OutgoingBody,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let grant = accepted.allowance.grant(&self.hops);
        let context = ExchangeContext {
            retries: grant.count(),
            report: self.report_for(chosen_target),
            ..accepted.context.clone()
        };
        // Boxed, because each way needs only a part of the room of the other.
        let result = match &chosen_target.endpoint {
            Endpoint::Remote(peer) => {
                Box::pin(self.peers.send(peer, &accepted.head, body, &context)).await
            }
            Endpoint::Local => {
                Box::pin(self.gate.serve(accepted.head.clone(), body, &context)).await
            }
        };
        let (returned, level, load) = match &result {
            Ok(response) => {
                let headers = response.headers();
                let level = LevelSource::Response(read_level(headers));
                (retries_unused(headers), level, read_load(headers))
            }
            Err(refused) => {
                let level = LevelSource::Refusal(refused.level);
                (
                    Some(refused.retries_unused),
                    level,
                    refused.load.as_deref().copied(),
                )
            }
        };
        accepted.allowance.settle(&self.hops, grant, returned);
        let now = Instant::now();
        self.record_report(chosen_target, &result, now);
        let service = chosen_target.service();
        service.record_response_level(&context.entry, &chosen_target.node, level, load, now);
        self.record_call_level(accepted, service, now);
        let response = result.map_err(|GateRefusal { refusal, .. }| refusal)?;
        if accepted.context.may_repeat {
            return buffer_small_response(response).await;
        }
        Ok(response)
    }

    /// What this node heard about the target of another node, to be sent along with a request.
    fn report_for(&self, chosen_target: &ChosenTarget) -> Option<TargetReport> {
        match chosen_target.endpoint {
            Endpoint::Remote(_) => {
                let reports = self.reports.lock();
                reports.get(&chosen_target.node, Instant::now()).cloned()
            }
            Endpoint::Local => None,
        }
    }

    /// Records what a gate reported about its target. A refusal without a level did not come from the gate.
    fn record_report(
        &self,
        chosen_target: &ChosenTarget,
        result: &Result<Response<ResponseBody>, GateRefusal>,
        now: Instant,
    ) {
        let report = match (&chosen_target.endpoint, result) {
            (Endpoint::Local, _) => return,
            (Endpoint::Remote(_), Ok(response)) => read_report(response.headers()),
            (Endpoint::Remote(_), Err(refused)) if refused.level.is_none() => return,
            (Endpoint::Remote(_), Err(refused)) => refused.report.clone(),
        };
        self.reports.lock().record(&chosen_target.node, report, now);
    }

    /// Records the level that a call of the local target met. The gate reports it in its response to the exchange that
    /// the call belongs to.
    fn record_call_level(&self, accepted: &Accepted, service: &Service, now: Instant) {
        if let Allowance::Shared(hop) = accepted.allowance {
            let level = service.level(&accepted.context.entry, now);
            self.hops
                .record_call_level(hop, level, accepted.context.class);
        }
    }

    /// Adds a suggested retry delay to a refusal for overload of a request that did not run.
    fn add_retry_after(accepted: &Accepted, refusal: Refusal) -> Refusal {
        let is_overload = matches!(
            refusal.reason(),
            RefusalReason::AdmissionLevel
                | RefusalReason::ConcurrencyLimit
                | RefusalReason::TargetRateLimit
                | RefusalReason::QueueFull
                | RefusalReason::QueueTimeout
                | RefusalReason::TargetShed
        );
        if refusal.outcome() != Outcome::NotRun || !is_overload {
            return refusal;
        }
        let context = &accepted.context;
        let after = suggested_retry_after(context.remaining(Instant::now()), context.root);
        refusal.with_retry_after(after)
    }

    fn may_retry(&self, accepted: &mut Accepted, service: &Service, refusal: &Refusal) -> bool {
        let Some(reason) = retry_reason(refusal) else {
            return false;
        };
        let attempt = FailedAttempt {
            reason,
            reached_target: reached_target(refusal),
            outcome: refusal.outcome(),
            idempotent: accepted.context.may_repeat,
            deadline: accepted.context.deadline,
            expected: service.expected_latency(),
        };
        self.decide_retry(accepted, service, &attempt)
    }

    /// Decides whether to retry, and counts and logs the decision.
    pub(super) fn decide_retry(
        &self,
        accepted: &mut Accepted,
        service: &Service,
        attempt: &FailedAttempt,
    ) -> bool {
        let decided = accepted.allowance.with(&self.hops, |allowance| {
            service.decide_retry(attempt, allowance, Instant::now())
        });
        match decided {
            Ok(reason) => {
                self.metrics.count_retry(reason);
                self.record(accepted, "retried", reason.label(), "", None);
            }
            Err(stop) => {
                self.metrics.count_retry_stop(stop);
                self.record(accepted, "not_retried", stop.label(), "", None);
            }
        }
        decided.is_ok()
    }

    /// Id that the caller gave to the attempt; none if the dialect has no such header or the request lacks it.
    fn request_id(&self, head: &request::Parts) -> Option<HeaderValue> {
        head.headers.get(self.dialect.attempt_id.as_ref()?).cloned()
    }

    fn record_rejected(&self, id: Option<&HeaderValue>, refusal: &Refusal, now: Instant) {
        self.decisions.record(
            &Decision {
                decision: "refused",
                request: id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
                reason: refusal.reason().label(),
                outcome: Some(refusal.outcome()),
                catalogue_revision: self.routes.index().revision(),
                ..Decision::default()
            },
            now,
        );
    }

    fn record(
        &self,
        accepted: &Accepted,
        decision: &'static str,
        reason: &str,
        target: &str,
        outcome: Option<Outcome>,
    ) {
        let now = Instant::now();
        let context = &accepted.context;
        let id = self.request_id(&accepted.head);
        let request = request_name(id.as_ref(), context.root);
        self.decisions.record(
            &Decision {
                decision,
                request: &request,
                entry: &context.entry,
                class: Some(context.class),
                service: &context.service,
                target,
                reason,
                outcome,
                age_ms: millis(now.saturating_duration_since(accepted.arrived)),
                left_ms: millis(context.remaining(now)),
                catalogue_revision: self.routes.index().revision(),
                ..Decision::default()
            },
            now,
        );
    }
}

/// Host of a request without its port, from the URI or else the `host` header.
fn host(head: &request::Parts) -> Option<&str> {
    if let Some(host) = head.uri.host() {
        return Some(host);
    }
    let value = head.headers.get(header::HOST)?.to_str().ok()?;
    Some(value.rsplit_once(':').map_or(value, |(host, _)| host))
}

/// Whether a request may run more than once. For entries that match any method, `at_most_once` alone decides.
fn may_repeat(entry: &Entry, method: &Method) -> bool {
    !entry.at_most_once && (entry.method == ANY_METHOD || method.is_idempotent())
}

/// Derives the root id from an attempt id, so that all calls of one root request get the same admission decisions.
fn root_id(attempt: &str) -> RootId {
    RootId::from(stable_hash(attempt.as_bytes()))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn check_key(head: &request::Parts) -> Result<(), Refusal> {
    let key = head
        .headers
        .get(names::IDEMPOTENCY_KEY)
        .ok_or_else(|| rejected(RefusalReason::KeyMissing))?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.to_str().is_err() {
        return Err(rejected(RefusalReason::BadRequest));
    }
    Ok(())
}

/// A refusal at the entry node before any target was chosen, so that no target has received the request in this
/// exchange.
const fn rejected(reason: RefusalReason) -> Refusal {
    Refusal::not_run(NotRunProof::RejectedAtEntry, reason)
}

/// Refusal of a request for which there is no token. The delay is at least the one that other refused requests get, so
/// that the callers of a workspace above its allowance do not return all at once for the next token.
fn allowance_refusal(accepted: &Accepted, denial: Denial, now: Instant) -> Refusal {
    let context = &accepted.context;
    let usual = suggested_retry_after(context.remaining(now), context.root);
    let (reason, after) = match denial {
        Denial::UsedUp(after) => (RefusalReason::WorkspaceAllowance, after.max(usual)),
        Denial::Unknown => (RefusalReason::AllowanceUnknown, usual),
    };
    refused_before_claim(&accepted.entry, reason).with_retry_after(after)
}

/// A refusal of a request whose catalogue entry is not known. With an idempotency key the outcome is unknown: the key may
/// have run through another node, which knew the entry.
fn refused_without_entry(head: &request::Parts, reason: RefusalReason) -> Refusal {
    if head.headers.contains_key(names::IDEMPOTENCY_KEY) {
        return Refusal::unknown(reason);
    }
    rejected(reason)
}

/// A refusal before the claim owner was asked. The outcome is unknown for at-most-once entries, because an earlier
/// exchange with the same key may have run.
const fn refused_before_claim(entry: &Entry, reason: RefusalReason) -> Refusal {
    if entry.needs_claim() {
        return Refusal::unknown(reason);
    }
    Refusal::not_run(NotRunProof::NeverSent, reason)
}

fn context(
    entry: &Entry,
    caller: &CallerHeaders,
    hop: Option<&Hop>,
    now: Instant,
) -> ExchangeContext {
    let limit = entry.deadline();
    let remaining = caller.remaining.unwrap_or(limit).min(limit);
    let mut deadline = now + remaining;
    if let Some(hop) = hop {
        deadline = deadline.min(hop.deadline);
    }
    let root = match hop {
        Some(hop) => hop.root,
        None => caller.root.unwrap_or_else(rand::random),
    };
    ExchangeContext {
        deadline,
        root,
        class: hop.map_or(entry.class, |hop| call_class(hop, entry)),
        entry: entry.name.clone(),
        service: entry.service_at(rand::random()).clone(),
        workspace: hop.and_then(|hop| hop.workspace.clone()),
        is_call: hop.is_some(),
        may_repeat: false,
        has_alternative: false,
        retries: 0,
        claim: None,
        report: None,
    }
}

/// Class of a call. Where requests belong to workspaces it is worth what its root request is worth; otherwise it has at
/// least the class of the exchange that it belongs to.
fn call_class(hop: &Hop, entry: &Entry) -> Class {
    if hop.workspace.is_some() {
        return hop.class;
    }
    hop.class.min(entry.class)
}
