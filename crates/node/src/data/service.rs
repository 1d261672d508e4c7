//! What the entry node has learned about the targets of one service.

use {
    super::{ExchangeContext, peers::Peer},
    jujubeline_core::{EntryName, NodeId, RefusalReason, RetryReason, RetryStop},
    jujubeline_overload::{
        Arrival, Candidate, ExchangeEnd, LearnedLevels, Level, LoadReport, Pick, Place,
        RetryAllowance, RetryBudget, RetryLimits, RetryQuestion, Router, TargetView, decide_retry,
    },
    parking_lot::{Mutex, RwLock},
    std::{cell::Cell, collections::HashMap, net::SocketAddr, sync::Arc, time::Instant},
};

/// Where a target is reached.
#[derive(Debug, Clone)]
pub enum Endpoint {
    /// Through the gate of this node.
    Local,
    /// Through the gate of another node.
    Remote(Arc<Peer>),
}

/// Where a level was read.
#[derive(Debug, Clone, Copy)]
pub enum LearnedFrom {
    /// A response of the target; the level covers the calls of the target.
    Response(Option<Level>),
    /// A refusal of the gate; the level covers the gate only.
    Refusal(Option<Level>),
}

/// Targets of one service and what was learned about them. No lock is held while waiting.
#[derive(Debug)]
pub struct Service {
    decisions: Mutex<Decisions>,
    endpoints: RwLock<HashMap<NodeId, Endpoint>>,
}

#[derive(Debug)]
struct Decisions {
    router: Router,
    levels: LearnedLevels,
    budget: RetryBudget,
}

/// A target chosen for an attempt. Dropping it without an end counts as cancelled.
#[derive(Debug)]
pub struct Choice {
    service: Arc<Service>,
    pick: Option<Pick>,
    /// The node beside the target.
    pub node: NodeId,
    /// Where it is reached.
    pub endpoint: Endpoint,
}

impl Service {
    /// A service without targets.
    #[must_use]
    pub fn new(place: Place, now: Instant) -> Self {
        Self {
            decisions: Mutex::new(Decisions {
                router: Router::new(place, Router::DEFAULT_SUBSET, now),
                levels: LearnedLevels::new(),
                budget: RetryBudget::new(now),
            }),
            endpoints: RwLock::default(),
        }
    }

    /// Takes over the current targets.
    pub fn update(
        &self,
        candidates: &[Candidate],
        endpoints: HashMap<NodeId, Endpoint>,
        now: Instant,
    ) {
        *self.endpoints.write() = endpoints;
        let mut decisions = self.decisions.lock();
        decisions.router.update(candidates, now);
        decisions.levels.expire(now);
    }

    /// Uses other bounds for the retry budget from now on.
    pub fn limit_retries(&self, limits: RetryLimits) {
        self.decisions.lock().budget.set_limits(limits);
    }

    /// Chooses a target that was not tried yet and whose gate would probably admit the request.
    ///
    /// # Errors
    ///
    /// `admission_level` when only the learned levels exclude all targets, otherwise `no_target`.
    pub fn choose(
        self: &Arc<Self>,
        context: &ExchangeContext,
        tried: &[NodeId],
        now: Instant,
    ) -> Result<Choice, RefusalReason> {
        let (entry, class, root) = (&context.entry, context.class, context.root);
        let level_refused = Cell::new(false);
        let pick = {
            let mut decisions = self.decisions.lock();
            let Decisions { router, levels, .. } = &mut *decisions;
            let usable = |node: &NodeId| {
                if tried.contains(node) {
                    return false;
                }
                // The work above a call would be wasted; the level keeps further root requests away in front.
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
            self.decisions
                .lock()
                .router
                .finish(pick, ExchangeEnd::Cancelled, now);
            return Err(RefusalReason::NoTarget);
        };
        Ok(Choice {
            service: Arc::clone(self),
            node: pick.node().clone(),
            pick: Some(pick),
            endpoint,
        })
    }

    /// Where the gate of a node is reached, while it serves the service.
    #[must_use]
    pub fn endpoint(&self, node: &NodeId) -> Option<Endpoint> {
        self.endpoints.read().get(node).cloned()
    }

    /// Records the arrival of a caller's request in the retry budget.
    pub fn arrive(&self, identity: u64, now: Instant) -> Arrival {
        self.decisions.lock().budget.arrive(identity, now)
    }

    /// Latency to expect from one more attempt.
    #[must_use]
    pub fn expected_latency(&self) -> std::time::Duration {
        self.decisions.lock().router.expected_latency()
    }

    /// Decides about a retry and takes it from the allowance and the budget.
    ///
    /// # Errors
    ///
    /// The reason that stops the retry.
    pub fn decide_retry(
        &self,
        question: &RetryQuestion,
        allowance: &mut RetryAllowance,
        now: Instant,
    ) -> Result<RetryReason, RetryStop> {
        decide_retry(question, allowance, &mut self.decisions.lock().budget, now)
    }

    /// Takes what a response of a target to a request of this entry carried.
    pub fn learn(
        &self,
        entry: &EntryName,
        node: &NodeId,
        level: LearnedFrom,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        let mut decisions = self.decisions.lock();
        match level {
            LearnedFrom::Response(Some(level)) => decisions.levels.learn(entry, node, level, now),
            LearnedFrom::Refusal(Some(level)) => {
                decisions.levels.learn_refusal(entry, node, level, now);
            }
            LearnedFrom::Response(None) | LearnedFrom::Refusal(None) => {}
        }
        if let Some(load) = load {
            decisions.router.report(node, load, now);
        }
    }

    /// The level that requests of this entry meet at the service.
    #[must_use]
    pub fn level(&self, entry: &EntryName, now: Instant) -> Level {
        let decisions = self.decisions.lock();
        let targets = decisions.router.available();
        decisions.levels.highest(entry, targets, now)
    }

    /// The subset with learned levels and addresses, for operators.
    #[must_use]
    pub fn view(&self, now: Instant) -> Vec<(TargetView, Level, Option<SocketAddr>)> {
        let endpoints = self.endpoints.read().clone();
        let decisions = self.decisions.lock();
        let views = decisions.router.targets(now);
        views
            .into_iter()
            .map(|view| {
                let level = decisions.levels.lowest(&view.node, now);
                let address = match endpoints.get(&view.node) {
                    Some(Endpoint::Remote(peer)) => Some(peer.address()),
                    Some(Endpoint::Local) | None => None,
                };
                (view, level, address)
            })
            .collect()
    }
}

impl Choice {
    /// Records how the attempt ended.
    pub fn finish(mut self, end: ExchangeEnd) {
        self.end(end);
    }

    /// Service of the target.
    #[must_use]
    pub const fn service(&self) -> &Arc<Service> {
        &self.service
    }

    fn end(&mut self, end: ExchangeEnd) {
        if let Some(pick) = self.pick.take() {
            let now = Instant::now();
            self.service.decisions.lock().router.finish(pick, end, now);
        }
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        self.end(ExchangeEnd::Cancelled);
    }
}
