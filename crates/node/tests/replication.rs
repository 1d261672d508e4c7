//! Control planes on loopback that learn catalogue changes from peers of which some do not answer.

use {
    jujubeline_catalogue::{Change, Edit, change_name},
    jujubeline_coordination::{
        membership::{Datagram, DatagramKind},
        replication::watches_platform,
    },
    jujubeline_core::{Revision, cases},
    jujubeline_node::{NodeSettings, control::Control},
    jujubeline_platform::{Kind, PlatformClient, PlatformSettings},
    jujubeline_protocol::encode_datagram,
    jujubeline_standin::{
        platform::PlatformStandin,
        relay::{FaultRelay, Faults},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time within which a change must be in effect at every node in touch, the shortest of the deployments.
const APPLY_BOUND: Duration = Duration::from_secs(2);

/// Time between two datagrams of a silent peer, so that it is the last that reported a revision.
const REPORT_PERIOD: Duration = Duration::from_millis(20);

/// Peers that report a revision by datagrams, accept connections and never answer a call, as over a link on which
/// packets wait for seconds.
struct SilentPeers {
    reports: JoinSet<()>,
}

impl SilentPeers {
    async fn start(count: usize, revision: Revision, to: SocketAddr) -> Self {
        let mut reports = JoinSet::new();
        for at in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
            let socket = UdpSocket::bind(listener.local_addr().unwrap())
                .await
                .unwrap();
            let datagram = encode_datagram(&Datagram {
                sender: format!("silent-{at}").as_str().into(),
                incarnation: 1,
                catalogue_revision: revision,
                sequence: 1,
                kind: DatagramKind::Hint,
                updates: Vec::new(),
                crashes: Vec::new(),
            })
            .unwrap();
            reports.spawn(async move {
                let mut open = Vec::new();
                loop {
                    socket.send_to(&datagram, to).await.unwrap();
                    if let Ok(Ok((stream, _))) = timeout(REPORT_PERIOD, listener.accept()).await {
                        open.push(stream);
                    }
                }
            });
        }
        Self { reports }
    }

    async fn stop(mut self) {
        self.reports.shutdown().await;
    }
}

fn change(revision: Revision) -> Change {
    Change {
        revision,
        change_id: revision.to_string(),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits: vec![Edit::Remove("none".into())],
    }
}

async fn start(node: &str, seeds: Vec<SocketAddr>, platform: Option<SocketAddr>) -> Control {
    let settings = NodeSettings {
        platform_address: platform,
        target_address: Some((Ipv4Addr::LOCALHOST, 1).into()),
        seeds,
        stop_grace: Duration::from_secs(1),
        ..NodeSettings::on_loopback(node, "kingston-1", "schedules")
    };
    Control::start(&settings, SystemTime::now()).await.unwrap()
}

async fn wait_for_revision(control: &Control, revision: Revision, bound: Duration) {
    let mut view = control.views().catalogue;
    let seen = timeout(bound, view.wait_for(|state| state.revision() >= revision)).await;
    assert!(
        matches!(seen, Ok(Ok(_))),
        "revision {} after {bound:?}",
        control.views().catalogue.borrow().revision()
    );
}

cases! {
    /// Guards against changes that take effect late because a peer that does not answer is waited for, or is asked again
    /// before one that answers.
    async fn changes_take_effect_in_time_beside_silent_peers(silent: usize) {
        const CHANGES: Revision = 3;
        let first = start("a", Vec::new(), None).await;
        let second = start("b", vec![first.control_address()], None).await;
        let mut members = second.views().members;
        timeout(APPLY_BOUND * 5, members.wait_for(|all| all.len() == 2))
            .await
            .unwrap()
            .unwrap();
        let peers = SilentPeers::start(silent, CHANGES, second.control_address()).await;
        sleep(REPORT_PERIOD * 5).await;
        for revision in 1..=CHANGES {
            let applied = Instant::now();
            first.catalogue().apply(change(revision)).await.unwrap();
            wait_for_revision(&second, revision, APPLY_BOUND).await;
            println!("revision {revision} after {:?}", applied.elapsed());
        }
        peers.stop().await;
        for control in [first, second] {
            control.stop().await;
        }
    }
    change_beside_one_silent_peer: (1),
    change_beside_three_silent_peers: (3),
}

/// Writes a change to the change log at the platform.
async fn write_change(operator: &PlatformClient, revision: Revision) {
    let value = serde_json::to_value(change(revision)).unwrap();
    operator
        .create(Kind::CatalogueChanges, &change_name(revision), value)
        .await
        .unwrap();
}

/// Starts a node of one data centre for each address of the platform, and waits until they know each other.
async fn start_all(platforms: &[SocketAddr]) -> Vec<Control> {
    let mut nodes = Vec::new();
    for (at, platform) in platforms.iter().enumerate() {
        nodes.push(start(&format!("n{at}"), Vec::new(), Some(*platform)).await);
    }
    for node in &nodes {
        let mut members = node.views().members;
        let all = members.wait_for(|all| all.len() == platforms.len());
        timeout(APPLY_BOUND * 10, all).await.unwrap().unwrap();
        wait_for_revision(node, 1, APPLY_BOUND * 5).await;
    }
    nodes
}

/// For each of the nodes of [`start_all`], whether it watches the platform.
fn watchers(nodes: &[Control]) -> Vec<bool> {
    let members = nodes[0].views().members.borrow().clone();
    (0..nodes.len())
        .map(|at| {
            let name = format!("n{at}");
            let own = members.iter().find(|member| *member.node == name).unwrap();
            watches_platform(own, &members)
        })
        .collect()
}

/// Guards against a node that reaches the platform but no other node and does not learn of changes, because it relies on
/// the nodes that watch the platform.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_node_has_changes_in_time() {
    const NODES: usize = 8;
    let platform = PlatformStandin::start_local().await.unwrap();
    let operator = PlatformClient::new(PlatformSettings::new(platform.address()));
    write_change(&operator, 1).await;
    let mut nodes = start_all(&[platform.address(); NODES]).await;
    let relying = watchers(&nodes).iter().position(|watches| !watches);
    let cut_off = nodes.swap_remove(relying.unwrap());
    // Without a stop they announce nothing, as behind a cut.
    drop(nodes);
    write_change(&operator, 2).await;
    wait_for_revision(&cut_off, 2, APPLY_BOUND).await;
    cut_off.stop().await;
    platform.stop().await;
}

cases! {
    /// Guards against nodes that could read the platform and do not learn of changes, because all nodes that watch it are
    /// turned away.
    async fn changes_take_effect_in_time_beside_turned_away_watchers(faults: Faults) {
        const NODES: usize = 8;
        let platform = PlatformStandin::start_local().await.unwrap();
        let operator = PlatformClient::new(PlatformSettings::new(platform.address()));
        write_change(&operator, 1).await;
        let mut relays = Vec::new();
        for _ in 0..NODES {
            relays.push(FaultRelay::start(platform.address()).await.unwrap());
        }
        let addresses: Vec<SocketAddr> = relays.iter().map(FaultRelay::address).collect();
        let nodes = start_all(&addresses).await;
        for (relay, _) in relays.iter().zip(watchers(&nodes)).filter(|(_, watches)| *watches) {
            relay.set(faults.clone());
        }
        write_change(&operator, 2).await;
        let written = Instant::now();
        for node in &nodes {
            wait_for_revision(node, 2, APPLY_BOUND.saturating_sub(written.elapsed())).await;
        }
        println!("in effect everywhere after {:?}", written.elapsed());
        for node in nodes {
            node.stop().await;
        }
        for relay in relays {
            relay.stop().await;
        }
        platform.stop().await;
    }
    watchers_are_cut_from_the_platform: (Faults { cut: true, ..Faults::default() }),
    watchers_get_no_answer_of_the_platform: (Faults { delay_ms: 10_000, ..Faults::default() }),
}

/// A node whose connections with other nodes, and with the platform, lead through relays.
struct RelayedNode {
    control: Control,
    peers: FaultRelay,
    platform: FaultRelay,
}

impl RelayedNode {
    async fn start(number: usize, platform: SocketAddr) -> Self {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let control_address = free.local_addr().unwrap();
        drop(free);
        let peers = FaultRelay::start(control_address).await.unwrap();
        let platform = FaultRelay::start(platform).await.unwrap();
        let settings = NodeSettings {
            platform_address: Some(platform.address()),
            target_address: Some((Ipv4Addr::LOCALHOST, 1).into()),
            control_address,
            advertised_control_address: Some(peers.address()),
            stop_grace: Duration::from_secs(1),
            ..NodeSettings::on_loopback(&format!("node-{number}"), "kingston-1", "schedules")
        };
        let control = Control::start(&settings, SystemTime::now()).await.unwrap();
        Self {
            control,
            peers,
            platform,
        }
    }

    async fn stop(self) {
        self.control.stop().await;
        self.peers.stop().await;
        self.platform.stop().await;
    }
}

/// Guards against a change that takes effect late because the connections that are open at that moment have gone silent
/// for good: all those between nodes, and those of all nodes but one that watches the platform. Datagrams and new
/// connections work.
#[tokio::test(flavor = "multi_thread")]
async fn change_takes_effect_in_time_beside_silent_connections() {
    const NODES: usize = 8;
    let platform = PlatformStandin::start_local().await.unwrap();
    let operator = PlatformClient::new(PlatformSettings::new(platform.address()));
    write_change(&operator, 1).await;
    let mut relayed = Vec::new();
    for number in 0..NODES {
        relayed.push(RelayedNode::start(number, platform.address()).await);
    }
    for node in &relayed {
        let mut members = node.control.views().members;
        let all = members.wait_for(|all| all.len() == NODES);
        timeout(APPLY_BOUND * 10, all).await.unwrap().unwrap();
        wait_for_revision(&node.control, 1, APPLY_BOUND * 5).await;
    }
    // Each node asks each other, so that all connections between them are open and have been answered on.
    for node in &relayed {
        for peer in &relayed {
            let calls = node.control.peers();
            let asked = calls.catalogue_since(peer.peers.address(), 0, APPLY_BOUND);
            asked.await.expect("a reply");
        }
    }
    let silent = Faults {
        silence_open: true,
        ..Faults::default()
    };
    let spared = relayed
        .iter()
        .position(|node| {
            let members = node.control.views().members.borrow().clone();
            let address = node.peers.address();
            let own = members
                .iter()
                .find(|member| member.control_address == address);
            watches_platform(own.unwrap(), &members)
        })
        .expect("a node that watches");
    for (number, node) in relayed.iter().enumerate() {
        node.peers.set(silent.clone());
        if number != spared {
            node.platform.set(silent.clone());
        }
    }
    write_change(&operator, 2).await;
    let written = Instant::now();
    for node in &relayed {
        let left = (APPLY_BOUND / 2).saturating_sub(written.elapsed());
        wait_for_revision(&node.control, 2, left).await;
    }
    println!("in effect everywhere after {:?}", written.elapsed());
    for node in relayed {
        node.stop().await;
    }
    platform.stop().await;
}
