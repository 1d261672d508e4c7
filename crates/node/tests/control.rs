//! Control plane of one or two nodes: views, joining, rejoining and catalogue changes.

use {
    jujubeline_catalogue::{Change, Edit, Entry, Preference},
    jujubeline_coordination::membership::{Member, Presence, TargetState},
    jujubeline_core::Class,
    jujubeline_node::{NodeSettings, control::Control},
    std::{
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::time::timeout,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

fn settings(node: &str) -> NodeSettings {
    NodeSettings {
        stop_grace: Duration::from_secs(1),
        ..NodeSettings::on_loopback(node, "kingston-1", "schedules")
    }
}

fn change(revision: u64) -> Change {
    Change {
        revision,
        change_id: format!("change-{revision}"),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits: vec![Edit::Set(Entry {
            name: "schedules-read".into(),
            owner: "dispatch".to_owned(),
            host: None,
            method: "GET".to_owned(),
            path_prefix: "/schedules/".to_owned(),
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

/// Guards against a single node whose views lack itself, the catalogue or the state of its own target.
#[tokio::test]
async fn single_node_fills_its_views() {
    let control = Control::start(&settings("a"), SystemTime::now())
        .await
        .expect("start");
    let mut views = control.views();
    assert_eq!(views.members.borrow().len(), 1);
    assert_eq!(views.catalogue.borrow().revision(), 0);

    control.catalogue().apply(change(1)).await.expect("apply");
    assert!(
        views
            .catalogue
            .borrow()
            .find(None, "GET", "/schedules/7")
            .is_some()
    );

    views
        .local_target
        .send_modify(|target| target.state = TargetState::Ready);
    timeout(
        WAIT_TIMEOUT,
        views.members.wait_for(|members| {
            members[0].target_state == TargetState::Ready && members[0].catalogue_revision == 1
        }),
    )
    .await
    .expect("in time")
    .expect("open");
    timeout(WAIT_TIMEOUT, control.stop())
        .await
        .expect("all tasks end");
}

/// Guards against nodes that start together and refuse requests for lack of targets, because the first one retries its
/// seeds too rarely. Each must list the other within 500 ms of the later start.
#[tokio::test]
async fn nodes_that_start_together_list_each_other_within_500_ms() {
    let reserved = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let late = reserved.local_addr().expect("an address");
    let first = Control::start(
        &NodeSettings {
            seeds: vec![late],
            ..settings("a")
        },
        SystemTime::now(),
    )
    .await
    .expect("start");
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(reserved);
    let second = Control::start(
        &NodeSettings {
            control_address: late,
            ..settings("b")
        },
        SystemTime::now(),
    )
    .await
    .expect("start");
    for control in [&first, &second] {
        let mut members = control.views().members;
        timeout(
            Duration::from_millis(500),
            members.wait_for(|members| members.len() == 2),
        )
        .await
        .expect("in time")
        .expect("open");
    }
    timeout(WAIT_TIMEOUT, first.stop())
        .await
        .expect("all tasks end");
    timeout(WAIT_TIMEOUT, second.stop())
        .await
        .expect("all tasks end");
}

/// Guards against a restarted node that stays alone because it has no seeds and no platform. The other nodes must find
/// it again, and it must join through them.
#[tokio::test]
async fn restarted_node_without_seeds_is_found_by_the_others() {
    let first = Control::start(&settings("a"), SystemTime::now())
        .await
        .expect("start");
    let with_seed = NodeSettings {
        seeds: vec![first.control_address()],
        ..settings("b")
    };
    let second = Control::start(&with_seed, SystemTime::now())
        .await
        .expect("start");
    wait_for_two(&first).await;
    let again = NodeSettings {
        control_address: second.control_address(),
        ..settings("b")
    };
    timeout(WAIT_TIMEOUT, second.stop())
        .await
        .expect("all tasks end");
    let second = Control::start(&again, SystemTime::now())
        .await
        .expect("start");
    for control in [&first, &second] {
        wait_for_two(control).await;
    }
    timeout(WAIT_TIMEOUT, first.stop())
        .await
        .expect("all tasks end");
    timeout(WAIT_TIMEOUT, second.stop())
        .await
        .expect("all tasks end");
}

/// Waits until the node lists two live members. Nodes that left are probed every 5 s, hence twice the usual timeout.
async fn wait_for_two(control: &Control) {
    let both = |members: &Arc<Vec<Member>>| {
        let alive = |member: &&Member| member.presence == Presence::Alive;
        members.iter().filter(alive).count() == 2
    };
    timeout(WAIT_TIMEOUT * 2, control.views().members.wait_for(both))
        .await
        .expect("in time")
        .expect("open");
}

/// Guards against a catalogue change that repeats or skips a revision.
#[tokio::test]
async fn only_the_next_change_is_applied() {
    let control = Control::start(&settings("a"), SystemTime::now())
        .await
        .expect("start");
    let catalogue = control.catalogue();
    catalogue.apply(change(1)).await.expect("apply");
    assert!(catalogue.apply(change(1)).await.is_err());
    assert!(catalogue.apply(change(3)).await.is_err());
    assert_eq!(control.views().catalogue.borrow().revision(), 1);
    control.stop().await;
}
