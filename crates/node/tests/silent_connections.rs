//! Connections between nodes that go silent for good: no end, no reset, no further byte.

use {
    jujubeline_node::{NodeSettings, control::Control},
    jujubeline_standin::relay::{FaultRelay, Faults},
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant, SystemTime},
    },
};

/// Time within which a node must read from its peers although all kept connections are silent: half of the time within
/// which a change of the configuration must be in force.
const LONGEST_READ: Duration = Duration::from_secs(1);
/// Timeout of the calls, as pulls of the catalogue have.
const DEADLINE: Duration = Duration::from_secs(4);
const PEERS: usize = 3;

async fn start(node: &str) -> Control {
    let settings = NodeSettings {
        stop_grace: Duration::from_secs(1),
        ..NodeSettings::on_loopback(node, "kingston-1", "schedules")
    };
    Control::start(&settings, SystemTime::now())
        .await
        .expect("start")
}

/// Guards against a node that keeps an old configuration or member table because it waits for replies on connections
/// that went silent, whichever peers it asks first.
#[tokio::test]
async fn reads_are_repeated_on_new_connections() {
    let reader = start("reader").await;
    let (mut peers, mut relays) = (Vec::new(), Vec::new());
    for number in 0..PEERS {
        let peer = start(&format!("peer-{number}")).await;
        relays.push(FaultRelay::start(peer.control_address()).await.unwrap());
        peers.push(peer);
    }
    let calls = reader.peers();
    for relay in &relays {
        calls
            .members(relay.address(), Vec::new(), DEADLINE)
            .await
            .expect("a reply on a new connection");
    }
    for relay in &relays {
        relay.set(Faults {
            silence_open: true,
            ..Faults::default()
        });
    }
    for relay in &relays {
        let asked = Instant::now();
        calls
            .catalogue_since(relay.address(), 0, DEADLINE)
            .await
            .expect("a reply on a new connection");
        let took = asked.elapsed();
        assert!(took <= LONGEST_READ, "the reply took {took:?}");
    }
    let counts = calls.counts();
    assert_eq!(counts.silent.load(Ordering::Relaxed), PEERS as u64);
    assert_eq!(counts.answered_anew.load(Ordering::Relaxed), PEERS as u64);
    for relay in relays {
        relay.stop().await;
    }
    for control in peers.into_iter().chain([reader]) {
        control.stop().await;
    }
}

/// Guards against reads that are repeated although the peer is only slow: on a squeezed link each repetition delays the
/// reply further.
#[tokio::test]
async fn slow_reply_is_waited_for() {
    let (reader, peer) = (start("reader").await, start("peer").await);
    let relay = FaultRelay::start(peer.control_address()).await.unwrap();
    let calls = reader.peers();
    for delay_ms in [0, 150] {
        relay.set(Faults {
            delay_ms,
            ..Faults::default()
        });
        let reply = calls.members(relay.address(), Vec::new(), DEADLINE).await;
        reply.expect("a reply");
    }
    assert_eq!(calls.counts().silent.load(Ordering::Relaxed), 0);
    relay.stop().await;
    for control in [reader, peer] {
        control.stop().await;
    }
}
