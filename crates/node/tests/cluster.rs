//! Three control planes with real sockets on loopback, and a stand-in for the platform.

use {
    jujubeline_catalogue::{Change, Edit, Entry, Preference, change_name},
    jujubeline_coordination::{
        claims::{Claim, ClaimReply, key_hash},
        membership::{CrashReport, Member, Presence, TargetState},
    },
    jujubeline_core::{Class, Refusal, RefusalReason},
    jujubeline_node::{
        NodeSettings,
        control::{ClaimsReply, Control, ControlError},
    },
    jujubeline_platform::{Kind, PlatformClient, PlatformSettings},
    jujubeline_protocol::claims::{ClaimAnswer, ClaimCall, ClaimRequest},
    jujubeline_standin::platform::{Faults, Outage, PlatformStandin},
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{net::UdpSocket, time::timeout},
};

/// Time within which a configuration change must be in effect on all nodes.
const CHANGE_BOUND: Duration = Duration::from_secs(11);

/// Time within which all nodes must know that a target drains or a node has left, and send it no more work.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

fn settings(node: &str, data_centre: &str, seeds: Vec<SocketAddr>) -> NodeSettings {
    NodeSettings {
        target_address: Some((Ipv4Addr::LOCALHOST, 1).into()),
        seeds,
        stop_grace: Duration::from_secs(1),
        ..NodeSettings::on_loopback(node, data_centre, "schedules")
    }
}

async fn start(settings: &NodeSettings) -> Control {
    Control::start(settings, SystemTime::now())
        .await
        .expect("start")
}

async fn start_three() -> [Control; 3] {
    let first = start(&settings("a", "kingston-1", Vec::new())).await;
    let seeds = vec![first.control_address()];
    let second = start(&settings("b", "kingston-2", seeds.clone())).await;
    let third = start(&settings("c", "montego-1", seeds)).await;
    [first, second, third]
}

fn change(revision: u64) -> Change {
    Change {
        revision,
        change_id: format!("id-{revision}"),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits: vec![Edit::Set(Entry {
            name: format!("entry-{revision}").as_str().into(),
            owner: "dispatch".to_owned(),
            host: None,
            method: "GET".to_owned(),
            path_prefix: format!("/schedules/{revision}/"),
            service: "schedules".into(),
            split: Vec::new(),
            class: Class::Normal,
            deadline_ms: 2_000,
            retry_bound: 3,
            max_attempts: None,
            concurrency: 80,
            at_most_once: false,
            keyed: true,
            public: false,
            prefer: Preference::Goodput,
            unreadable: false,
        })],
    }
}

/// Waits until the member view of a node satisfies a condition.
async fn wait_for_members(control: &Control, bound: Duration, holds: impl Fn(&[Member]) -> bool) {
    let mut view = control.views().members;
    let seen = timeout(bound, view.wait_for(|members| holds(members)))
        .await
        .map(|seen| seen.is_ok());
    assert_eq!(seen, Ok(true), "{:#?}", control.views().members.borrow());
}

async fn wait_for_catalogue(control: &Control, revision: u64) {
    let mut view = control.views().catalogue;
    let seen = timeout(
        CHANGE_BOUND,
        view.wait_for(|state| state.revision() >= revision),
    )
    .await
    .map(|seen| seen.is_ok());
    assert_eq!(
        seen,
        Ok(true),
        "revision {}",
        control.views().catalogue.borrow().revision()
    );
}

async fn stop(controls: impl IntoIterator<Item = Control>) {
    for control in controls {
        timeout(CHANGE_BOUND, control.stop())
            .await
            .expect("all tasks end");
    }
}

fn has_member(members: &[Member], node: &str, state: TargetState, presence: Presence) -> bool {
    members.iter().any(|member| {
        *member.node == *node && member.target_state == state && member.presence == presence
    })
}

/// Guards against nodes that do not join, miss a catalogue change or a drain, or report a node that left as dead.
#[tokio::test(flavor = "multi_thread")]
async fn three_nodes_agree_on_members_catalogue_and_drain() {
    let started = Instant::now();
    let [first, second, third] = start_three().await;
    for control in [&first, &second, &third] {
        wait_for_members(control, CHANGE_BOUND, |members| members.len() == 3).await;
    }
    println!("joined after {:?}", started.elapsed());

    let applied = Instant::now();
    first.catalogue().apply(change(1)).await.expect("apply");
    wait_for_catalogue(&second, 1).await;
    wait_for_catalogue(&third, 1).await;
    println!("change in effect after {:?}", applied.elapsed());

    let drained = Instant::now();
    second
        .views()
        .local_target
        .send_modify(|target| target.state = TargetState::Draining);
    for control in [&first, &third] {
        wait_for_members(control, LEAVE_BOUND, |members| {
            has_member(members, "b", TargetState::Draining, Presence::Alive)
        })
        .await;
    }
    println!("drain known after {:?}", drained.elapsed());
    stop([second]).await;
    for control in [&first, &third] {
        wait_for_members(control, LEAVE_BOUND, |members| {
            has_member(members, "b", TargetState::Gone, Presence::Left)
        })
        .await;
    }
    stop([first, third]).await;
}

/// Guards against a node without a catalogue although its peers have one, as when the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_node_gets_the_catalogue_from_peers() {
    let first = start(&settings("a", "kingston-1", Vec::new())).await;
    for next in 1..=5 {
        first.catalogue().apply(change(next)).await.expect("apply");
    }
    let seeds = vec![first.control_address()];
    let second = start(&settings("b", "kingston-1", seeds)).await;
    wait_for_catalogue(&second, 5).await;
    assert_eq!(second.views().catalogue.borrow().entries().count(), 5);
    stop([first, second]).await;
}

/// Guards against crash reports that do not reach other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn crash_reports_reach_other_nodes() {
    let [first, second, third] = start_three().await;
    wait_for_members(&first, CHANGE_BOUND, |members| members.len() == 3).await;
    wait_for_members(&third, CHANGE_BOUND, |members| members.len() == 3).await;
    let mut crashes = third.membership().subscribe_crashes();
    let report = CrashReport {
        crash: 7,
        fingerprint: 9,
        is_cleared: false,
        age: Duration::ZERO,
    };
    first.membership().report_crash(report).await;
    let arrived = timeout(CHANGE_BOUND, crashes.recv()).await;
    let arrived = arrived.expect("in time").expect("a report");
    let age = arrived.age;
    assert_eq!(arrived, CrashReport { age, ..report });
    assert!(age <= CHANGE_BOUND);
    stop([first, second, third]).await;
}

fn claim() -> ClaimCall {
    ClaimCall {
        service: "schedules".into(),
        request: ClaimRequest::Claim(Claim {
            key: key_hash("schedules", "visit-1"),
            fingerprint: 3,
            entry_data_centre: "kingston-1".into(),
            avoid: None,
        }),
    }
}

/// Guards against a claim call without a reply, and against failures that are confused: a call that was not sent had no
/// effect, whereas a call without a reply may have had one.
#[tokio::test(flavor = "multi_thread")]
async fn claim_calls_return_replies_and_distinguish_lost_from_unsent() {
    let [first, second, third] = start_three().await;
    let peers = first.peers();
    let to = second.control_address();
    let unserved = peers.call_claims(to, claim(), LEAVE_BOUND).await;
    let error = unserved.expect_err("nobody serves claims");
    assert_eq!(*error.current_context(), ControlError::CallLost);

    let mut served = second.take_claim_calls().expect("first to serve");
    assert!(second.take_claim_calls().is_err());
    let refused = ClaimsReply::Claim(ClaimAnswer::Decided {
        reply: ClaimReply::Refused(Refusal::unknown(RefusalReason::FenceIncomplete)),
        gate: None,
    });
    let answer = refused.clone();
    let answering = tokio::spawn(async move {
        let arrived = served.recv().await.expect("a call");
        assert_eq!(arrived.call, claim());
        arrived.reply.send(answer).expect("the caller waits");
        // The next call is received and gets no reply before its deadline.
        served.recv().await
    });
    let reply = peers.call_claims(to, claim(), LEAVE_BOUND).await;
    assert_eq!(reply.expect("reply"), refused);
    let silent = peers
        .call_claims(to, claim(), Duration::from_millis(200))
        .await;
    let error = silent.expect_err("no answer");
    assert_eq!(*error.current_context(), ControlError::CallLost);
    drop(answering.await.expect("served"));

    let unused = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
    let closed = unused.local_addr().expect("address");
    drop(unused);
    let unsent = peers.call_claims(closed, claim(), LEAVE_BOUND).await;
    let error = unsent.expect_err("nobody listens");
    assert_eq!(*error.current_context(), ControlError::NotSent);

    let stopped = third.control_address();
    stop([third]).await;
    // The first call may meet a connection that is being closed, and is lost with it.
    let lost = peers.call_claims(stopped, claim(), LEAVE_BOUND).await;
    let error = lost.expect_err("nobody listens");
    let lost = *error.current_context();
    assert!(matches!(
        lost,
        ControlError::NotSent | ControlError::CallLost
    ));
    let unsent = peers.call_claims(stopped, claim(), LEAVE_BOUND).await;
    let error = unsent.expect_err("nobody listens");
    assert_eq!(*error.current_context(), ControlError::NotSent);
    stop([first, second]).await;
}

/// Guards against malformed datagrams that stop the receiver of the control port.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_datagrams_do_not_stop_the_control_port() {
    let [first, second, third] = start_three().await;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("socket");
    for len in [0, 1, 8, 200, 1_200, 1_400] {
        socket
            .send_to(&vec![0xff; len], first.control_address())
            .await
            .expect("send");
    }
    for control in [&first, &second, &third] {
        wait_for_members(control, CHANGE_BOUND, |members| members.len() == 3).await;
    }
    stop([first, second, third]).await;
}

/// Guards against nodes that do not find each other through the platform, against a catalogue change there that does
/// not take effect, and against an outage of the platform that removes the catalogue or keeps a new node from it.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_find_each_other_and_the_catalogue_through_the_platform() {
    let platform = PlatformStandin::start_local().await.expect("platform");
    let with_platform = |node: &str, data_centre: &str| NodeSettings {
        platform_address: Some(platform.address()),
        ..settings(node, data_centre, Vec::new())
    };
    let operator = PlatformClient::new(PlatformSettings::new(platform.address()));
    let post = async |next: u64| {
        let value = serde_json::to_value(change(next)).expect("JSON");
        operator
            .create(Kind::CatalogueChanges, &change_name(next), value)
            .await
            .expect("created");
    };
    post(1).await;
    let first = start(&with_platform("a", "kingston-1")).await;
    wait_for_catalogue(&first, 1).await;
    let second = start(&with_platform("b", "kingston-1")).await;
    let third = start(&with_platform("c", "montego-1")).await;
    for control in [&first, &second, &third] {
        wait_for_members(control, CHANGE_BOUND, |members| members.len() == 3).await;
    }
    let posted = Instant::now();
    post(2).await;
    for control in [&first, &second, &third] {
        wait_for_catalogue(control, 2).await;
    }
    println!(
        "change at the platform in effect after {:?}",
        posted.elapsed()
    );

    platform.set_faults(Faults {
        down: Outage::Unavailable,
        ..Faults::default()
    });
    let late = NodeSettings {
        seeds: vec![third.control_address()],
        ..with_platform("d", "montego-1")
    };
    let fourth = start(&late).await;
    wait_for_catalogue(&fourth, 2).await;
    for control in [&first, &second, &third] {
        assert_eq!(control.views().catalogue.borrow().revision(), 2);
    }
    stop([first, second, third, fourth]).await;
    platform.stop().await;
}
