//! Claims between nodes in one process, with a stand-in for the platform and closures in place of remote calls.

use {
    bytes::Bytes,
    futures::{FutureExt, future::join_all},
    http::Response,
    jujubeline_coordination::claims::{
        GateId, RecordOutcome, RegisteredGate, RunReply, SHARDS, ShardTable, key_hash,
    },
    jujubeline_core::{NodeId, Outcome, RefusalReason, ServiceName},
    jujubeline_node::claims::{
        CallFailed, CallResult, ClaimCalls, ClaimDecision, ClaimPeer, Claims, ClaimsSettings,
        PeerCall,
    },
    jujubeline_platform::{PlatformClient, PlatformSettings},
    jujubeline_standin::platform::{Faults, Outage, PlatformStandin},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, HashSet},
        future::Future,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Timeout for expected conditions. It is far above a takeover, which takes a few rounds of 200 ms and reads of 1 s.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Network {
    nodes: Mutex<HashMap<SocketAddr, Arc<Claims>>>,
    /// Nodes that are partitioned from the others in both directions and dead according to membership.
    cut: Mutex<HashSet<SocketAddr>>,
    /// Instances that the operators have retired.
    retired: Mutex<HashSet<NodeId>>,
    /// Number of fence replies still to be dropped after the gate has accepted the fence.
    lost_fences: Mutex<u32>,
}

struct Cluster {
    network: Arc<Network>,
    platform: PlatformStandin,
    service: ServiceName,
}

fn gate(number: u16, incarnation: u64) -> RegisteredGate {
    RegisteredGate {
        gate: GateId {
            node: node_name(number),
            incarnation,
        },
        control_address: address(number),
        data_centre: format!("dc{number}").into(),
    }
}

fn node_name(number: u16) -> NodeId {
    format!("n{number}").into()
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

impl Network {
    fn call<Q, R, F>(
        self: &Arc<Self>,
        from: SocketAddr,
        handle: impl Fn(Arc<Claims>, Q) -> F + Clone + Send + Sync + 'static,
    ) -> PeerCall<Q, R>
    where
        Q: Send + 'static,
        R: Send + 'static,
        F: Future<Output = Option<R>> + Send + 'static,
    {
        let network = Arc::clone(self);
        Arc::new(move |to, question| {
            let node = network.nodes.lock().get(&to).cloned();
            let cut = network.cut.lock();
            let reachable = node.filter(|_| !cut.contains(&to) && !cut.contains(&from));
            let handle = handle.clone();
            async move {
                let reply: CallResult<R> = match reachable {
                    Some(node) => handle(node, question).await.ok_or(CallFailed),
                    None => Err(CallFailed),
                };
                reply
            }
            .boxed()
        })
    }

    fn calls(self: &Arc<Self>, from: SocketAddr) -> ClaimCalls {
        let (fences, alive, peers) = (Arc::clone(self), Arc::clone(self), Arc::clone(self));
        let retired = Arc::clone(self);
        ClaimCalls {
            claim: self.call(from, |node, (service, claim)| async move {
                Some(node.on_claim(&service, claim).await)
            }),
            completed: self.call(from, |node, report| async move {
                node.on_completed(report).await;
                Some(())
            }),
            resolve: self.call(
                from,
                |node, query| async move { node.on_resolve(query).await },
            ),
            fence: self.call(from, move |node, fence| {
                let network = Arc::clone(&fences);
                async move {
                    let reply = node.on_fence(fence).await;
                    let mut lost = network.lost_fences.lock();
                    let is_lost = *lost > 0;
                    *lost = lost.saturating_sub(1);
                    reply.filter(|_| !is_lost)
                }
            }),
            adopt: self.call(
                from,
                |node, adopt| async move { node.on_adopt(adopt).await },
            ),
            peers: Arc::new(move |_| {
                let nodes = peers.nodes.lock();
                let cut = peers.cut.lock();
                let live = nodes.keys().filter(|address| !cut.contains(address));
                live.map(|address| ClaimPeer {
                    control_address: *address,
                })
                .collect()
            }),
            is_alive: Arc::new(move |gate| {
                let cut = alive.cut.lock();
                let is_at = |address: &SocketAddr| gate.node == node_name(address.port() - 7_000);
                let runs = alive.nodes.lock().keys().any(is_at);
                runs && !cut.contains(&from) && !cut.iter().any(is_at)
            }),
            is_retired: Arc::new(move |gate| retired.retired.lock().contains(&gate.node)),
            load: Arc::new(|_| Some(0.0)),
        }
    }
}

impl Cluster {
    async fn start(nodes: u16) -> Self {
        let cluster = Self {
            network: Arc::default(),
            platform: PlatformStandin::start_local().await.unwrap(),
            service: "invoices".into(),
        };
        (0..nodes).for_each(|number| cluster.add(number, 1));
        cluster
    }

    async fn ready(nodes: u16) -> Self {
        let cluster = Self::start(nodes).await;
        cluster.wait_until_settled(nodes).await;
        cluster
    }

    fn add(&self, number: u16, incarnation: u64) {
        let platform = PlatformClient::new(PlatformSettings {
            calls_per_s: 50,
            ..PlatformSettings::new(self.platform.address())
        });
        let settings = ClaimsSettings {
            own_gate: gate(number, incarnation),
            service: Arc::clone(&self.service),
        };
        let claims = Claims::start(settings, self.network.calls(address(number)), platform);
        let mut nodes = self.network.nodes.lock();
        nodes.insert(address(number), Arc::new(claims));
    }

    /// Stops a node as planned and starts its next incarnation on the same address.
    async fn restart(&self, number: u16, incarnation: u64) {
        assert!(self.node(number).leave(CONDITION_TIMEOUT).await);
        self.stop(number).await;
        self.add(number, incarnation);
    }

    async fn stop(&self, number: u16) {
        let mut stopped = self.network.nodes.lock().remove(&address(number)).unwrap();
        // A call of another node may still hold a reference.
        let claims = loop {
            match Arc::try_unwrap(stopped) {
                Ok(claims) => break claims,
                Err(shared) => stopped = shared,
            }
            tokio::task::yield_now().await;
        };
        claims.stop().await;
    }

    fn node(&self, number: u16) -> Arc<Claims> {
        Arc::clone(&self.network.nodes.lock()[&address(number)])
    }

    fn table(&self) -> ShardTable {
        let objects = self.platform.objects("shard-tables");
        let value = objects.first().map(|object| object.value.clone());
        value.map_or_else(ShardTable::default, |value| {
            serde_json::from_value(value).unwrap()
        })
    }

    /// Waits until the shard table lists this number of gates and all shards are settled.
    async fn wait_until_settled(&self, gates: u16) {
        let is_settled = || {
            let table = self.table();
            table.gates.len() == usize::from(gates)
                && table.shards.iter().all(|shard| shard.settled)
        };
        let started = Instant::now();
        while !is_settled() {
            assert!(started.elapsed() < CONDITION_TIMEOUT, "{:?}", self.table());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn claim(&self, through: u16, key: &str) -> ClaimDecision {
        let node = self.node(through);
        node.claim(&self.service, key, 7, &"dc0".into(), None).await
    }

    /// Claims a key again until the result is not a temporary refusal.
    async fn claim_until_decided(&self, through: u16, key: &str) -> ClaimDecision {
        let started = Instant::now();
        loop {
            let decision = self.claim(through, key).await;
            let passing = matches!(&decision, ClaimDecision::Refused(refusal) if matches!(
                refusal.reason(),
                RefusalReason::InProgress
                    | RefusalReason::FenceIncomplete
                    | RefusalReason::StaleEpoch
                    | RefusalReason::OwnerUnreachable
            ));
            if !passing || started.elapsed() > CONDITION_TIMEOUT {
                return decision;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Claims and runs a key to completion. Returns the number of the node that ran it.
    async fn run(&self, through: u16, key: &str) -> u16 {
        let (number, run) = authorised(self.claim_until_decided(through, key).await);
        let node = self.node(number);
        assert_eq!(node.start_run(run).await, RunReply::Start);
        let response = Response::new(Bytes::from(format!("paid {key}")));
        node.finish_run(run, RecordOutcome::Done, Some(response))
            .await;
        number
    }

    /// Finds a key whose shard is owned by this node.
    fn key_of(&self, owner: u16) -> String {
        let table = self.table();
        let node = node_name(owner);
        let is_owned = |key: &String| {
            let shard = key_hash(&self.service, key) % u128::from(SHARDS);
            let owner = &table.shards[usize::try_from(shard).unwrap()].owner;
            owner.as_ref().is_some_and(|owner| owner.node == node)
        };
        (0..10_000)
            .map(|number| format!("key-{number}"))
            .find(is_owned)
            .unwrap()
    }

    fn cut(&self, number: u16) {
        self.network.cut.lock().insert(address(number));
    }
}

fn authorised(decision: ClaimDecision) -> (u16, jujubeline_coordination::claims::Run) {
    match decision {
        ClaimDecision::Run { gate, run } => (gate.control_address.port() - 7_000, run),
        other => panic!("{other:?}"),
    }
}

/// Guards against a repeat that runs a second time, and against one that gets another response than the first.
#[tokio::test]
async fn repeat_is_answered_with_the_kept_response() {
    let cluster = Cluster::ready(3).await;
    let ran_at = cluster.run(0, "wages").await;
    let ClaimDecision::Answered { gate } = cluster.claim_until_decided(1, "wages").await else {
        panic!("the key has run");
    };
    assert_eq!(gate.control_address, address(ran_at));
    let kept = cluster
        .node(ran_at)
        .kept_response(key_hash("invoices", "wages"))
        .await;
    assert_eq!(kept.unwrap().body(), "paid wages");
}

/// Guards against an owner that was paused and resumes after a takeover: a run that it authorised must not start.
#[tokio::test]
async fn paused_owner_is_fenced() {
    let cluster = Cluster::ready(3).await;
    let key = cluster.key_of(0);
    let (ran_by, stale) = authorised(cluster.claim(0, &key).await);
    cluster.cut(0);
    let (gate, run) = authorised(cluster.claim_until_decided(1, &key).await);
    assert!(run.id.epoch > stale.id.epoch);
    let reply = cluster.node(ran_by).start_run(stale).await;
    let RunReply::Refused(refusal) = reply else {
        panic!("the paused owner's run started");
    };
    assert_eq!(refusal.reason(), RefusalReason::StaleEpoch);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
    assert_eq!(cluster.node(gate).start_run(run).await, RunReply::Start);
}

/// Guards against a second run of a key whose gate crashed during the run.
#[tokio::test]
async fn crashed_gate_leaves_the_key_unknown() {
    let cluster = Cluster::ready(3).await;
    let (crashed, run) = authorised(cluster.claim(0, "crew").await);
    assert_eq!(cluster.node(crashed).start_run(run).await, RunReply::Start);
    cluster.add(crashed, 2);
    cluster.wait_until_settled(3).await;
    let ClaimDecision::Refused(refusal) =
        cluster.claim_until_decided((crashed + 1) % 3, "crew").await
    else {
        panic!("the key may have run");
    };
    assert_eq!(refusal.reason(), RefusalReason::OutcomeLost);
    assert_ne!(cluster.node(crashed).start_run(run).await, RunReply::Start);
}

/// Guards against a takeover that never completes because fence replies were lost.
#[tokio::test]
async fn lost_fence_replies_are_requested_again() {
    let cluster = Cluster::start(3).await;
    *cluster.network.lost_fences.lock() = 20;
    cluster.wait_until_settled(3).await;
    cluster.run(0, "crate").await;
    assert_eq!(*cluster.network.lost_fences.lock(), 0);
}

/// Guards against claims that depend on the platform once the shards have owners.
#[tokio::test]
async fn claims_are_decided_while_the_platform_is_down() {
    let cluster = Cluster::ready(3).await;
    cluster.platform.set_faults(Faults {
        down: Outage::Silent,
        ..Faults::default()
    });
    for key in ["a", "b", "c", "d"] {
        cluster.run(1, key).await;
        let again = cluster.claim_until_decided(2, key).await;
        assert!(matches!(again, ClaimDecision::Answered { .. }), "{again:?}");
    }
}

/// Guards against a platform write whose reply is lost: the owner must read back that the write took effect, and must
/// not take a second epoch.
#[tokio::test]
async fn platform_write_with_lost_response_is_read_back() {
    let cluster = Cluster::start(3).await;
    cluster.platform.set_faults(Faults {
        lose_next: 4,
        ..Faults::default()
    });
    cluster.wait_until_settled(3).await;
    cluster.run(2, "invoice").await;
    // The owner must have the completion report before the partition. Otherwise the key of the partitioned gate stays
    // in progress.
    let reported = cluster.claim_until_decided(2, "invoice").await;
    assert!(
        matches!(reported, ClaimDecision::Answered { .. }),
        "{reported:?}"
    );
    cluster.cut(0);
    cluster.platform.set_faults(Faults {
        lose_next: 2,
        ..Faults::default()
    });
    let lost = gate(0, 1).gate;
    let started = Instant::now();
    while cluster
        .table()
        .shards
        .iter()
        .any(|shard| shard.owner.as_ref() == Some(&lost))
    {
        assert!(started.elapsed() < CONDITION_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let again = cluster.claim_until_decided(1, "invoice").await;
    assert!(matches!(again, ClaimDecision::Answered { .. }), "{again:?}");
}

/// Guards against two owners of a shard when all nodes start, register and take over shards at the same time.
#[tokio::test]
async fn racing_takeovers_leave_one_owner() {
    let cluster = Cluster::start(4).await;
    let keys: Vec<String> = (0..40).map(|number| format!("race-{number}")).collect();
    for key in &keys {
        let claims =
            join_all((0..4).map(|through| cluster.claim_until_decided(through, key))).await;
        let mut starts = 0;
        for decision in claims {
            if let ClaimDecision::Run { gate, run } = decision {
                let node = cluster.node(gate.control_address.port() - 7_000);
                starts += u32::from(node.start_run(run).await == RunReply::Start);
                node.finish_run(run, RecordOutcome::Done, None).await;
            }
        }
        assert!(starts <= 1, "{key} started {starts} times");
    }
}

/// Guards against shards that stay without an owner after two instances were lost together and retired.
#[tokio::test]
async fn retired_instances_no_longer_block_takeovers() {
    let cluster = Cluster::ready(4).await;
    let key = cluster.key_of(0);
    cluster.cut(0);
    cluster.cut(1);
    // No takeover may complete while two gates do not reply.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.table().gates.len(), 4);
    let refused = cluster.claim(2, &key).await;
    assert!(matches!(refused, ClaimDecision::Refused(_)), "{refused:?}");

    cluster
        .network
        .retired
        .lock()
        .extend([node_name(0), node_name(1)]);
    let started = Instant::now();
    let gone = |table: &ShardTable| {
        let owners = table.shards.iter().filter_map(|shard| shard.owner.as_ref());
        table.gates.len() == 2 && owners.clone().all(|owner| owner.node != node_name(0))
    };
    while !gone(&cluster.table()) {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "{:?}",
            cluster.table()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against shards that stay unsettled, or whose keys stay refused, after each node was stopped as planned and
/// started again in turn.
#[tokio::test]
async fn rolling_restart_leaves_all_shards_settled() {
    let cluster = Cluster::ready(3).await;
    for key in 0..30 {
        cluster.run(0, &format!("before-{key}")).await;
    }
    for number in 0..3 {
        cluster.restart(number, 2).await;
    }
    cluster.wait_until_settled(3).await;
    for key in 0..30 {
        let again = cluster
            .claim_until_decided(1, &format!("before-{key}"))
            .await;
        assert!(!matches!(again, ClaimDecision::Run { .. }), "{again:?}");
        cluster.run(2, &format!("after-{key}")).await;
    }
}

/// Guards against records that are lost when two of three nodes are stopped as planned at the same moment.
#[tokio::test]
async fn two_stops_at_once_lose_no_record() {
    let cluster = Cluster::ready(3).await;
    for key in 0..30 {
        cluster.run(0, &format!("before-{key}")).await;
    }
    let (one, two) = (cluster.node(0), cluster.node(1));
    let left = tokio::join!(one.leave(CONDITION_TIMEOUT), two.leave(CONDITION_TIMEOUT));
    assert_eq!(left, (true, true));
    drop((one, two));
    cluster.stop(0).await;
    cluster.stop(1).await;
    for key in 0..30 {
        let again = cluster
            .claim_until_decided(2, &format!("before-{key}"))
            .await;
        let ClaimDecision::Refused(refusal) = again else {
            assert!(matches!(again, ClaimDecision::Answered { .. }), "{again:?}");
            continue;
        };
        // The gate that keeps the response has left.
        assert_eq!(refusal.reason(), RefusalReason::AnswerExpired);
    }
}
