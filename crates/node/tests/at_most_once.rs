//! At-most-once work through the data path of three nodes in one process, with stand-ins for targets and platform.

mod support;

use {
    bytes::Bytes,
    futures::{FutureExt, future::join_all},
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    jujubeline_catalogue::{CatalogueState, Change, Edit},
    jujubeline_coordination::{
        claims::{GateId, RegisteredGate},
        membership::{Member, Presence, TargetState},
    },
    jujubeline_node::{
        LocalTarget, Node, NodeSettings, Sockets, Views,
        claims::{CallFailed, ClaimCalls, ClaimPeer, Claims, ClaimsSettings},
        data::Agreed,
    },
    jujubeline_platform::{PlatformClient, PlatformSettings},
    jujubeline_standin::{
        platform::PlatformStandin,
        targets::{Executions, TargetStandin},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    support::{CONDITION_TIMEOUT, call, entry, problem, start_call, target, wait_for},
    tokio::sync::watch,
};

/// Service of a node and its claims.
type NodeClaims = (Arc<str>, Arc<Claims>);

/// Claims of all nodes by control address. Direct calls replace the calls between processes.
#[derive(Default)]
struct Network {
    nodes: Mutex<HashMap<SocketAddr, NodeClaims>>,
}

impl Network {
    fn claims(&self, address: SocketAddr) -> Option<Arc<Claims>> {
        let nodes = self.nodes.lock().unwrap();
        nodes.get(&address).map(|(_, claims)| Arc::clone(claims))
    }

    fn calls(self: &Arc<Self>) -> ClaimCalls {
        let [claim, completed, resolve, fence, adopt, peers] = [0; 6].map(|_| Arc::clone(self));
        ClaimCalls {
            claim: Arc::new(move |address, (service, question)| {
                let claims = claim.claims(address);
                async move { Ok(claims.ok_or(CallFailed)?.on_claim(&service, question).await) }
                    .boxed()
            }),
            completed: Arc::new(move |address, report| {
                let claims = completed.claims(address);
                async move {
                    claims.ok_or(CallFailed)?.on_completed(report).await;
                    Ok(())
                }
                .boxed()
            }),
            resolve: Arc::new(move |address, query| {
                let claims = resolve.claims(address);
                async move {
                    claims
                        .ok_or(CallFailed)?
                        .on_resolve(query)
                        .await
                        .ok_or(CallFailed)
                }
                .boxed()
            }),
            fence: Arc::new(move |address, question| {
                let claims = fence.claims(address);
                async move {
                    claims
                        .ok_or(CallFailed)?
                        .on_fence(question)
                        .await
                        .ok_or(CallFailed)
                }
                .boxed()
            }),
            adopt: Arc::new(move |address, records| {
                let claims = adopt.claims(address);
                async move {
                    claims
                        .ok_or(CallFailed)?
                        .on_adopt(records)
                        .await
                        .ok_or(CallFailed)
                }
                .boxed()
            }),
            peers: Arc::new(move |service| {
                let nodes = peers.nodes.lock().unwrap();
                let serving = nodes.iter().filter(|(_, (served, _))| served == service);
                serving
                    .map(|(address, _)| ClaimPeer {
                        control_address: *address,
                    })
                    .collect()
            }),
            is_alive: Arc::new(|_| true),
            is_retired: Arc::new(|_| false),
            load: Arc::new(|_| Some(0.0)),
        }
    }
}

/// A node with its target. The node of the service `edge` only serves as entry node.
struct Instance {
    node: Node,
    target: TargetStandin,
    local_target: Arc<watch::Sender<LocalTarget>>,
    members: watch::Sender<Arc<Vec<Member>>>,
    _catalogue: watch::Sender<Arc<CatalogueState>>,
    member: Member,
}

struct Fleet {
    edge: Instance,
    gates: Vec<Instance>,
    platform: PlatformStandin,
}

fn catalogue() -> CatalogueState {
    let once = r#","at_most_once":true"#;
    let invoices = entry("invoices", "POST", "/invoices/", "invoices", once);
    let mut state = CatalogueState::default();
    let change = Change {
        revision: 1,
        change_id: "test".to_owned(),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits: vec![Edit::Set(serde_json::from_str(&invoices).unwrap())],
    };
    state.apply(&change).unwrap();
    state
}

async fn instance(
    number: u16,
    name: &str,
    service: &str,
    network: &Arc<Network>,
    platform: SocketAddr,
) -> Instance {
    let target = target(8).await;
    // Only a key of the network: calls between the claims stay in this process.
    let control_address = SocketAddr::from(([127, 0, 0, 1], number));
    let settings = NodeSettings {
        target_address: Some(target.address()),
        control_address,
        platform_address: Some(platform),
        ..NodeSettings::on_loopback(name, "dc1", service)
    };
    let sockets = Sockets::bind(&settings).await.unwrap();
    let (catalogue, catalogue_view) = watch::channel(Arc::new(catalogue()));
    let (members, member_view) = watch::channel(Arc::default());
    let (local_target, _) = watch::channel(LocalTarget::initial(&settings));
    let local_target = Arc::new(local_target);
    let views = Views {
        catalogue: catalogue_view,
        members: member_view,
        local_target: Arc::clone(&local_target),
        revision_query: Arc::default(),
    };
    let own_gate = RegisteredGate {
        gate: GateId {
            node: name.into(),
            incarnation: 1,
        },
        control_address,
        data_centre: "dc1".into(),
    };
    let claims = Arc::new(Claims::start(
        ClaimsSettings {
            own_gate,
            service: service.into(),
        },
        network.calls(),
        PlatformClient::new(PlatformSettings::new(platform)),
    ));
    let known = (Arc::from(service), Arc::clone(&claims));
    network.nodes.lock().unwrap().insert(control_address, known);
    let agreed = Agreed {
        claims: Some(claims),
        allowances: None,
    };
    let node = Node::start_with(settings, views, agreed, sockets).unwrap();
    let member = Member {
        node: name.into(),
        incarnation: 1,
        update: 0,
        data_address: node.data_address(),
        control_address,
        data_centre: "dc1".into(),
        region: "region1".into(),
        service: service.into(),
        target_state: TargetState::Ready,
        slots: 8,
        catalogue_revision: 1,
        presence: Presence::Alive,
        platform_unreachable: false,
    };
    Instance {
        node,
        target,
        local_target,
        members,
        _catalogue: catalogue,
        member,
    }
}

impl Fleet {
    /// Starts an edge node and two gates, and waits until 64 keys in turn run, so that the shards have owners.
    async fn start() -> Self {
        let network = Arc::<Network>::default();
        let platform = PlatformStandin::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let address = platform.address();
        let edge = instance(1, "edge", "edge", &network, address).await;
        let gates = vec![
            instance(2, "gate-1", "invoices", &network, address).await,
            instance(3, "gate-2", "invoices", &network, address).await,
        ];
        let fleet = Self {
            edge,
            gates,
            platform,
        };
        let all: Vec<_> = fleet.instances().map(|one| one.member.clone()).collect();
        for one in fleet.instances() {
            one.members.send_replace(Arc::new(all.clone()));
        }
        for warm_up in 0..64 {
            let until = Instant::now() + CONDITION_TIMEOUT;
            let key = format!("warm-up-{warm_up}");
            while fleet.post("/invoices/warm-up", &key).await.status() != StatusCode::OK {
                assert!(Instant::now() < until, "the shards have no owner");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        fleet
    }

    fn instances(&self) -> impl Iterator<Item = &Instance> {
        std::iter::once(&self.edge).chain(&self.gates)
    }

    async fn post(&self, path: &str, key: &str) -> Response<Bytes> {
        call(self.edge.node.callers_address(), post(path, key))
            .await
            .unwrap()
    }

    fn executions(&self, key: &str) -> u64 {
        let counts = self.gates.iter().map(|gate| gate.target.executions());
        counts
            .filter_map(|counts| counts.by_key.get(key).copied())
            .sum()
    }

    /// Waits until a target runs a request and returns its gate.
    async fn running(&self) -> &Instance {
        let until = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let running = |counts: Executions| counts.running == 1;
            let found = self
                .gates
                .iter()
                .find(|gate| running(gate.target.executions()));
            if let Some(gate) = found {
                return gate;
            }
            assert!(Instant::now() < until, "no target runs a request");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn set_targets(&self, state: TargetState) {
        for gate in &self.gates {
            gate.local_target.send_modify(|target| target.state = state);
        }
    }

    async fn stop(self) {
        for one in std::iter::once(self.edge).chain(self.gates) {
            one.node.stop().await.unwrap();
            one.target.stop().await;
        }
        self.platform.stop().await;
    }
}

fn post(path: &str, key: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "test")
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from_static(b"{\"visit\": 17}")))
        .unwrap()
}

/// Guards against a repeated request that runs a second time or gets another response than the first.
#[tokio::test]
async fn repeated_key_returns_the_first_response_and_runs_once() {
    let fleet = Fleet::start().await;
    let first = fleet.post("/invoices/1?bytes=333", "one").await;
    assert_eq!(first.status(), StatusCode::OK);
    for _ in 0..3 {
        let repeat = fleet.post("/invoices/1?bytes=333", "one").await;
        assert_eq!(repeat.status(), StatusCode::OK, "{repeat:?}");
        assert_eq!(repeat.body(), first.body());
    }
    assert_eq!(fleet.executions("one"), 1);
    let reused = fleet.post("/invoices/2?bytes=333", "one").await;
    assert_eq!(reused.status(), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(problem(&reused)["reason"], "key_reused");
    assert_eq!(fleet.executions("one"), 1);
    fleet.stop().await;
}

/// Guards against two runs of a key by concurrent exchanges. The owner's query about an attempt may reach the gate
/// before the attempt itself. The attempt is then refused with `outcome_lost`, and a later repeat runs the key.
#[tokio::test]
async fn concurrent_exchanges_run_a_key_once() {
    let fleet = Fleet::start().await;
    let path = "/invoices/1?service_ms=50";
    let calls = (0..20).map(|_| fleet.post(path, "race"));
    for response in join_all(calls).await {
        if response.status() != StatusCode::OK {
            assert_eq!(problem(&response)["outcome"], "unknown", "{response:?}");
        }
    }
    assert!(fleet.executions("race") <= 1);
    let until = Instant::now() + CONDITION_TIMEOUT;
    while fleet.post(path, "race").await.status() != StatusCode::OK {
        assert!(Instant::now() < until, "the key does not run");
    }
    assert_eq!(fleet.executions("race"), 1);
    fleet.stop().await;
}

/// Guards against a refusal that makes the key unusable, and against a `not_run` that no record proves.
#[tokio::test]
async fn a_refused_key_can_run_later() {
    let fleet = Fleet::start().await;
    fleet.set_targets(TargetState::Draining);
    let refused = fleet.post("/invoices/1", "later").await;
    assert_eq!(problem(&refused)["outcome"], "not_run", "{refused:?}");
    assert_eq!(problem(&refused)["reason"], "draining");
    assert_eq!(fleet.executions("later"), 0);
    fleet.set_targets(TargetState::Ready);
    let until = Instant::now() + CONDITION_TIMEOUT;
    while fleet.post("/invoices/1", "later").await.status() != StatusCode::OK {
        assert!(Instant::now() < until, "the key stays refused");
    }
    assert_eq!(fleet.executions("later"), 1);
    fleet.stop().await;
}

/// Guards against a run that is aborted because its caller disconnects, which leaves the outcome unknown for a day.
#[tokio::test]
async fn run_continues_when_its_caller_disconnects() {
    let fleet = Fleet::start().await;
    let path = "/invoices/1?service_ms=400";
    let abandoned = start_call(fleet.edge.node.callers_address(), post(path, "left"));
    let gate = fleet.running().await;
    abandoned.abort();
    wait_for(&gate.target, |counts| counts.running == 0).await;
    assert_eq!(gate.target.executions().cancelled, 0);
    let until = Instant::now() + CONDITION_TIMEOUT;
    while fleet.post(path, "left").await.status() != StatusCode::OK {
        assert!(Instant::now() < until, "the first response is not kept");
    }
    assert_eq!(fleet.executions("left"), 1);
    fleet.stop().await;
}

/// Guards against a second run of a key whose response was lost.
#[tokio::test]
async fn a_lost_response_leaves_the_outcome_unknown() {
    let fleet = Fleet::start().await;
    for _ in 0..3 {
        let response = fleet.post("/invoices/1?fault=cut&bytes=5000", "lost").await;
        assert!(!response.status().is_success());
        assert_eq!(problem(&response)["outcome"], "unknown", "{response:?}");
    }
    assert_eq!(fleet.executions("lost"), 1);
    fleet.stop().await;
}
