//! State of the entry node for one service: its targets, their load and admission levels, and the retry budget.

use {
    super::{ExchangeContext, peers::Peer},
    jujubeline_core::{EntryName, NodeId, RefusalReason, RetryReason, RetryStop},
    jujubeline_overload::{
        Arrival, Candidate, ExchangeEnd, FailedAttempt, Level, LoadReport, NodeLocation,
        ObservedLevels, Pick, RetryAllowance, RetryBudget, RetryLimits, Router, TargetStatus,
        decide_retry,
    },
    parking_lot::{Mutex, RwLock},
    std::{
        cell::Cell,
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Route to a target.
#[derive(Debug, Clone)]
pub enum Endpoint {
    /// Through the gate of this node.
    Local,
    /// Through the gate of another node.
    Remote(Arc<Peer>),
}

/// Origin of an admission level, with the level if there was one.
#[derive(Debug, Clone, Copy)]
pub enum LevelSource {
    /// From a response of the target. The level also covers the calls that the target makes.
    Response(Option<Level>),
    /// From a refusal by the gate. The level covers the calls that the target makes only as far as the gate knows their
    /// levels from earlier requests of the entry.
    Refusal(Option<Level>),
}

/// Targets of one service with their routing state. No lock is held across an await.
#[derive(Debug)]
pub struct Service {
    routing: Mutex<RoutingState>,
    endpoints: RwLock<HashMap<NodeId, Endpoint>>,
}

#[derive(Debug)]
struct RoutingState {
    router: Router,
    levels: ObservedLevels,
    budget: RetryBudget,
}

/// A target chosen for an attempt. Dropping it without [`Self::finish`] counts the attempt as cancelled.
#[derive(Debug)]
pub struct ChosenTarget {
    service: Arc<Service>,
    pick: Option<Pick>,
    /// Node of the target.
    pub node: NodeId,
    /// Route to the target.
    pub endpoint: Endpoint,
}

impl Service {
    /// A service without targets.
    #[must_use]
    pub fn new(location: NodeLocation, now: Instant) -> Self {
        Self {
            routing: Mutex::new(RoutingState {
                router: Router::new(location, Router::DEFAULT_SUBSET, now),
                levels: ObservedLevels::new(),
                budget: RetryBudget::new(now),
            }),
            endpoints: RwLock::default(),
        }
    }

    /// Replaces the targets and drops observed levels that have expired.
    pub fn update(
        &self,
        candidates: &[Candidate],
        endpoints: HashMap<NodeId, Endpoint>,
        now: Instant,
    ) {
        *self.endpoints.write() = endpoints;
        let mut routing = self.routing.lock();
        routing.router.update(candidates, now);
        routing.levels.expire(now);
    }

    /// Replaces the time that leaving the data centre must save a request.
    pub fn set_crossing_cost(&self, crossing_cost: Duration) {
        self.routing.lock().router.set_crossing_cost(crossing_cost);
    }

    /// Share of the requests that leaves the data centre; `None` while too little is known to decide by a share.
    #[must_use]
    pub fn leaving_share(&self) -> Option<f64> {
        self.routing.lock().router.leaving_share()
    }

    /// Replaces the bounds of the retry budget.
    pub fn set_retry_limits(&self, limits: RetryLimits) {
        self.routing.lock().budget.set_limits(limits);
    }

    /// Chooses a target that is not in `tried` and whose gate is expected to admit the request.
    ///
    /// # Errors
    ///
    /// `admission_level` when a target was excluded by its observed level, otherwise `no_target`.
    pub fn choose(
        self: &Arc<Self>,
        context: &ExchangeContext,
        tried: &[NodeId],
        now: Instant,
    ) -> Result<ChosenTarget, RefusalReason> {
        let (entry, class, root) = (&context.entry, context.class, context.root);
        let level_refused = Cell::new(false);
        let pick = {
            let mut routing = self.routing.lock();
            let RoutingState { router, levels, .. } = &mut *routing;
            let usable = |node: &NodeId| {
                if tried.contains(node) {
                    return false;
                }
                // A call is not refused here, because the work already done for its root request would be wasted. The
                // level sheds further root requests at their entry node instead.
                let admitted = context.is_call || levels.admits(entry, node, class, root, now);
                level_refused.set(level_refused.get() || !admitted);
                admitted
            };
            router.pick(usable, now, &mut rand::rng())
        };
        let Some(pick) = pick else {
            return Err(if level_refused.get() {
                RefusalReason::AdmissionLevel
            } else {
                RefusalReason::NoTarget
            });
        };
        let endpoint = self.endpoints.read().get(pick.node()).cloned();
        let Some(endpoint) = endpoint else {
            self.routing
                .lock()
                .router
                .finish(pick, ExchangeEnd::Cancelled, now);
            return Err(RefusalReason::NoTarget);
        };
        Ok(ChosenTarget {
            service: Arc::clone(self),
            node: pick.node().clone(),
            pick: Some(pick),
            endpoint,
        })
    }

    /// Whether another target than `chosen` and those in `tried` is expected to admit the request.
    #[must_use]
    pub fn has_target_besides(
        &self,
        context: &ExchangeContext,
        tried: &[NodeId],
        chosen: &NodeId,
        now: Instant,
    ) -> bool {
        let routing = self.routing.lock();
        let mut others = routing.router.available();
        others.any(|node| {
            let is_other = node != chosen && !tried.contains(node);
            let (entry, class, root) = (&context.entry, context.class, context.root);
            is_other && (context.is_call || routing.levels.admits(entry, node, class, root, now))
        })
    }

    /// Route to the target of a node; none when the node has no target of this service.
    #[must_use]
    pub fn endpoint(&self, node: &NodeId) -> Option<Endpoint> {
        self.endpoints.read().get(node).cloned()
    }

    /// Records a caller's request in the retry budget, which recognises resends by their `identity`.
    pub fn record_arrival(&self, identity: u64, now: Instant) -> Arrival {
        self.routing.lock().budget.record_arrival(identity, now)
    }

    /// Expected latency of one more attempt.
    #[must_use]
    pub fn expected_latency(&self) -> Duration {
        self.routing.lock().router.expected_latency()
    }

    /// Decides whether to retry. An allowed retry is deducted from the allowance and the budget.
    ///
    /// # Errors
    ///
    /// Why the retry is not made.
    pub fn decide_retry(
        &self,
        attempt: &FailedAttempt,
        allowance: &mut RetryAllowance,
        now: Instant,
    ) -> Result<RetryReason, RetryStop> {
        decide_retry(attempt, allowance, &mut self.routing.lock().budget, now)
    }

    /// Records the admission level and the load that a response or refusal for a request of `entry` carried.
    pub fn record_response_level(
        &self,
        entry: &EntryName,
        node: &NodeId,
        level: LevelSource,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        let mut routing = self.routing.lock();
        match level {
            LevelSource::Response(Some(level)) => routing
                .levels
                .record_response_level(entry, node, level, now),
            LevelSource::Refusal(Some(level)) => {
                routing.levels.record_refusal_level(entry, node, level, now);
            }
            LevelSource::Response(None) | LevelSource::Refusal(None) => {}
        }
        if let Some(load) = load {
            routing.router.record_load(node, load, now);
        }
    }

    /// Highest admission level that requests of `entry` meet at the available targets.
    #[must_use]
    pub fn level(&self, entry: &EntryName, now: Instant) -> Level {
        let routing = self.routing.lock();
        let targets = routing.router.available();
        routing.levels.highest(entry, targets, now)
    }

    /// Targets of the subset with their lowest observed level and data address, for operators. The local target has no
    /// address.
    #[must_use]
    pub fn describe_targets(&self, now: Instant) -> Vec<(TargetStatus, Level, Option<SocketAddr>)> {
        let endpoints = self.endpoints.read().clone();
        let routing = self.routing.lock();
        let statuses = routing.router.target_statuses(now);
        statuses
            .into_iter()
            .map(|status| {
                let level = routing.levels.lowest(&status.node, now);
                let address = match endpoints.get(&status.node) {
                    Some(Endpoint::Remote(peer)) => Some(peer.address()),
                    Some(Endpoint::Local) | None => None,
                };
                (status, level, address)
            })
            .collect()
    }
}

impl ChosenTarget {
    /// Reports the end of the attempt to the router.
    pub fn finish(mut self, end: ExchangeEnd) {
        self.end(end);
    }

    /// Service to which the target belongs.
    #[must_use]
    pub const fn service(&self) -> &Arc<Service> {
        &self.service
    }

    fn end(&mut self, end: ExchangeEnd) {
        if let Some(pick) = self.pick.take() {
            let now = Instant::now();
            self.service.routing.lock().router.finish(pick, end, now);
        }
    }
}

impl Drop for ChosenTarget {
    fn drop(&mut self) {
        self.end(ExchangeEnd::Cancelled);
    }
}
