//! Interface to the claims of a node, for the data path and for calls from other nodes.

use {
    super::{
        ClaimAnswer, ClaimCalls, ClaimsActor, KeptResponse, TableStore, claims_actor::RunOnActor,
        sender::Sender, table_maintainer::TableMaintainer,
    },
    bytes::Bytes,
    http::Response,
    jujubeline_coordination::claims::{
        Adopt, AdoptReply, Claim, ClaimCounters, ClaimReply, Completed, Fence, FenceReply, KeyHash,
        RecordOutcome, RegisteredGate, Resolve, ResolveReply, ResolveResult, Run, RunReply,
        key_hash, shard_of,
    },
    jujubeline_core::{
        DataCentre, Fingerprint, NodeId, Refusal, RefusalReason, ServiceName, ShardId,
    },
    jujubeline_platform::PlatformClient,
    kameo::{
        actor::{ActorRef, Spawn},
        mailbox,
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        task::JoinSet,
    },
    tokio_util::sync::CancellationToken,
};

/// Capacity of the actor's mailbox; senders wait while it is full.
const MAILBOX_MESSAGES: usize = 4_096;

/// Maximum number of nodes queried for one claim: the cached owner, another node that names the current owner, the
/// current owner, and one more after a takeover.
const MAX_HOPS: usize = 4;

/// Maximum number of owners that an entry node caches: 64 shards of 690 services are 44,160.
const MAX_CACHED_OWNERS: usize = 65_536;

/// Gate and service for which the claims of a node work.
#[derive(Debug, Clone)]
pub struct ClaimsSettings {
    /// Registration of this node as a gate.
    pub own_gate: RegisteredGate,
    /// Service of the target beside the node.
    pub service: ServiceName,
}

/// Decision on a key, for the data path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The gate may run the key under this authorisation.
    Run {
        /// Gate that is authorised to run the key.
        gate: RegisteredGate,
        /// Shard, key and attempt for which the gate is authorised.
        run: Run,
    },
    /// The key ran. The gate may still hold the first response.
    Answered {
        /// Gate that may hold the first response.
        gate: RegisteredGate,
    },
    /// The key may not run now.
    Refused(Refusal),
}

/// The claims of a node. [`Claims::stop`] must be called to end them; dropping aborts their tasks.
#[derive(Debug)]
pub struct Claims {
    settings: ClaimsSettings,
    access: ActorAccess,
    calls: ClaimCalls,
    cached_owners: Mutex<HashMap<(ServiceName, ShardId), SocketAddr>>,
    tasks: JoinSet<()>,
}

/// The claims actor, with the signals that wake and stop the tasks around it.
#[derive(Debug, Clone)]
pub(super) struct ActorAccess {
    actor: ActorRef<ClaimsActor>,
    pub sender_wakeup: Arc<Notify>,
    /// Cancelled when the gate of this node has to leave the shard table.
    pub leaving: CancellationToken,
    /// Cancelled when the gate has left the shard table.
    pub left: CancellationToken,
    pub stopping: CancellationToken,
}

/// The claims actor has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stopped;

impl ActorAccess {
    /// Runs a function on the actor's state and returns its result.
    pub async fn with<R: Send + 'static>(
        &self,
        operation: impl FnOnce(&mut ClaimsActor) -> R + Send + 'static,
    ) -> Result<R, Stopped> {
        let (sender, receiver) = oneshot::channel();
        let message = RunOnActor(Box::new(move |claims| {
            // The receiver is gone when the caller has stopped waiting.
            let _ = sender.send(operation(claims));
        }));
        self.actor.tell(message).await.map_err(|_| Stopped)?;
        receiver.await.map_err(|_| Stopped)
    }
}

impl Claims {
    /// Starts the actor and the tasks that send its messages and maintain the shard table.
    #[must_use]
    pub fn start(settings: ClaimsSettings, calls: ClaimCalls, platform: PlatformClient) -> Self {
        let actor = ClaimsActor::spawn_with_mailbox(
            ClaimsActor::new(settings.own_gate.clone(), calls.clone(), Instant::now()),
            mailbox::bounded(MAILBOX_MESSAGES),
        );
        let access = ActorAccess {
            actor,
            sender_wakeup: Arc::new(Notify::new()),
            leaving: CancellationToken::new(),
            left: CancellationToken::new(),
            stopping: CancellationToken::new(),
        };
        let store = TableStore::new(platform, Arc::clone(&settings.service));
        let mut maintainer = TableMaintainer::new(
            settings.own_gate.clone(),
            access.clone(),
            calls.clone(),
            store,
        );
        let sender = Sender::new(
            settings.own_gate.gate.clone(),
            access.clone(),
            calls.clone(),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            tokio::join!(sender.run(), maintainer.run());
            // Deregisters after the last reports, so that owners have the outcome of everything that ran here.
            maintainer.deregister().await;
        });
        Self {
            settings,
            access,
            calls,
            cached_owners: Mutex::default(),
            tasks,
        }
    }

    /// Requests the owner's decision on whether a key may run. `avoid` names a gate that has refused this exchange.
    pub async fn claim(
        &self,
        service: &ServiceName,
        key: &str,
        fingerprint: Fingerprint,
        entry_data_centre: &DataCentre,
        avoid: Option<NodeId>,
    ) -> ClaimDecision {
        let claim = Claim {
            key: key_hash(service, key),
            fingerprint,
            entry_data_centre: Arc::clone(entry_data_centre),
            avoid,
        };
        match self.fetch_decision(service, &claim).await {
            Some((ClaimReply::Run { run, .. }, Some(gate))) => ClaimDecision::Run { gate, run },
            Some((ClaimReply::Answered { .. }, Some(gate))) => ClaimDecision::Answered { gate },
            Some((ClaimReply::ConfirmNotRun { ask, refusal }, Some(gate))) => {
                self.confirm_not_run(gate, ask, refusal).await
            }
            Some((ClaimReply::Refused(refusal), _)) => ClaimDecision::Refused(refusal),
            Some((_, None)) | None => {
                ClaimDecision::Refused(Refusal::unknown(RefusalReason::OwnerUnreachable))
            }
        }
    }

    /// Records the run of a key at this node's gate. After `Start` the target may be called once.
    pub async fn start_run(&self, run: Run) -> RunReply {
        self.at_gate(move |claims| claims.start_run(&run, Instant::now()))
            .await
    }

    /// Refuses an authorised run permanently, for example because admission rejects it.
    pub async fn refuse_run(&self, run: Run, reason: RefusalReason) -> RunReply {
        let reply = self
            .at_gate(move |claims| claims.refuse_run(&run, reason, Instant::now()))
            .await;
        self.access.sender_wakeup.notify_one();
        reply
    }

    /// Records the end of a run. `response` is stored for repeats of the key, so it must be complete.
    pub async fn finish_run(
        &self,
        run: Run,
        outcome: RecordOutcome,
        response: Option<Response<Bytes>>,
    ) {
        let finish = move |claims: &mut ClaimsActor| {
            claims.finish_run(&run, outcome, response, Instant::now());
        };
        // Fails only after a stop. No claim reaches this gate then, and the owner treats the gate as lost.
        let _ = self.access.with(finish).await;
        self.access.sender_wakeup.notify_one();
    }

    /// The complete first response of a key that ran at this node's gate, if it is still stored.
    pub async fn kept_response(&self, key: KeyHash) -> Option<KeptResponse> {
        self.access
            .with(move |claims| claims.kept_response(key, Instant::now()))
            .await
            .ok()
            .flatten()
    }

    /// Handles a claim from another node, or from this one.
    pub async fn on_claim(&self, service: &ServiceName, claim: Claim) -> ClaimAnswer {
        if *service != self.settings.service {
            return ClaimAnswer::NoOwner;
        }
        let answer = self
            .access
            .with(move |claims| claims.claim(&claim, Instant::now()))
            .await;
        self.access.sender_wakeup.notify_one();
        answer.unwrap_or(ClaimAnswer::NoOwner)
    }

    /// Handles a gate's report on the end of an attempt.
    pub async fn on_completed(&self, completed: Completed) {
        let _ = self
            .access
            .with(move |claims| claims.apply_completion(&completed, Instant::now()))
            .await;
    }

    /// Handles an owner's query about an attempt; none after the stop.
    pub async fn on_resolve(&self, query: Resolve) -> Option<ResolveReply> {
        let resolve = move |claims: &mut ClaimsActor| claims.resolve(&query, Instant::now());
        self.access.with(resolve).await.ok()
    }

    /// Handles the fence of a shard's new owner; none after the stop.
    pub async fn on_fence(&self, fence: Fence) -> Option<FenceReply> {
        let fence = move |claims: &mut ClaimsActor| claims.fence(&fence);
        self.access.with(fence).await.ok()
    }

    /// Handles record copies from a shard's owner; none after the stop.
    pub async fn on_adopt(&self, adopt: Adopt) -> Option<AdoptReply> {
        let adopt = move |claims: &mut ClaimsActor| claims.adopt(&adopt, Instant::now());
        self.access.with(adopt).await.ok()
    }

    /// Counters of the owner and of the gate, and the number of messages and responses dropped because of a bound.
    pub async fn counters(&self) -> (ClaimCounters, ClaimCounters, u64) {
        self.access
            .with(|claims| claims.counters())
            .await
            .unwrap_or_default()
    }

    /// Removes the gate from the shard table as soon as the other nodes have all records that they need. Meanwhile this
    /// node must answer the calls of the others. The target must have drained. Returns false when the time has passed
    /// first, for example because the platform is away; [`Self::stop`] then removes the gate without that condition.
    pub async fn leave(&self, within: Duration) -> bool {
        self.access.leaving.cancel();
        tokio::time::timeout(within, self.access.left.cancelled())
            .await
            .is_ok()
    }

    /// Sends the last reports, deregisters the gate and joins the tasks. The target must have drained.
    pub async fn stop(mut self) {
        self.access.stopping.cancel();
        while self.tasks.join_next().await.is_some() {}
        // An error means that the actor has ended already.
        let _ = self.access.actor.stop_gracefully().await;
        self.access.actor.wait_for_shutdown().await;
    }

    /// Requests the decision of a key's owner. Any node of the service names the owner in its shard table.
    async fn fetch_decision(
        &self,
        service: &ServiceName,
        claim: &Claim,
    ) -> Option<(ClaimReply, Option<RegisteredGate>)> {
        let shard = (Arc::clone(service), shard_of(claim.key));
        let known = self.cached_owners.lock().get(&shard).copied();
        let mut peers = (self.calls.peers)(service).into_iter();
        let own =
            (*service == self.settings.service).then_some(self.settings.own_gate.control_address);
        let mut next = known.or(own);
        let mut queried = Vec::new();
        let mut refused = None;
        while queried.len() < MAX_HOPS {
            // A node with an outdated table may name one that was queried already.
            let named = next.take().filter(|address| !queried.contains(address));
            let mut others = peers.by_ref().map(|peer| peer.control_address);
            let Some(address) = named.or_else(|| others.find(|other| !queried.contains(other)))
            else {
                break;
            };
            queried.push(address);
            match self.ask(address, service, claim).await {
                Some(ClaimAnswer::Decided { reply, gate }) if !is_stale(&reply) => {
                    self.cache_owner(shard, Some(address));
                    return Some((reply, gate));
                }
                Some(ClaimAnswer::Decided { reply, gate }) => refused = Some((reply, gate)),
                Some(ClaimAnswer::Owner(owner)) => next = Some(owner.control_address),
                Some(ClaimAnswer::NoOwner) | None => {}
            }
        }
        self.cache_owner(shard, None);
        refused
    }

    async fn ask(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        claim: &Claim,
    ) -> Option<ClaimAnswer> {
        if address == self.settings.own_gate.control_address {
            return Some(self.on_claim(service, claim.clone()).await);
        }
        let question = (Arc::clone(service), claim.clone());
        (self.calls.claim)(address, question).await.ok()
    }

    /// Returns an owner's refusal with its proof if a gate confirms that the owner's epoch is in effect, else with an
    /// unknown outcome.
    async fn confirm_not_run(
        &self,
        gate: RegisteredGate,
        query: Resolve,
        refusal: Refusal,
    ) -> ClaimDecision {
        let reason = refusal.reason();
        let reply = if gate.gate == self.settings.own_gate.gate {
            self.on_resolve(query).await
        } else {
            (self.calls.resolve)(gate.control_address, query).await.ok()
        };
        let is_confirmed =
            reply.is_some_and(|reply| reply.result == ResolveResult::Known(RecordOutcome::NotRun));
        ClaimDecision::Refused(if is_confirmed {
            refusal
        } else {
            Refusal::unknown(reason)
        })
    }

    async fn at_gate(
        &self,
        operation: impl FnOnce(&mut ClaimsActor) -> RunReply + Send + 'static,
    ) -> RunReply {
        let stopped = RunReply::Refused(Refusal::unknown(RefusalReason::Draining));
        self.access.with(operation).await.unwrap_or(stopped)
    }

    fn cache_owner(&self, shard: (ServiceName, ShardId), owner: Option<SocketAddr>) {
        let mut cached_owners = self.cached_owners.lock();
        match owner {
            Some(address)
                if cached_owners.len() < MAX_CACHED_OWNERS
                    || cached_owners.contains_key(&shard) =>
            {
                cached_owners.insert(shard, address);
            }
            Some(_) => {}
            None => {
                cached_owners.remove(&shard);
            }
        }
    }
}

/// Whether a former owner has decided, so that the current one still has to be found.
fn is_stale(reply: &ClaimReply) -> bool {
    matches!(reply, ClaimReply::Refused(refusal) if refusal.reason() == RefusalReason::StaleEpoch)
}
