//! Replication of the catalogue.

mod network;

use {
    jujubeline_catalogue::{CatalogueState, Change, Difference, Edit, WorkspaceChanges},
    jujubeline_coordination::{
        membership::{Member, Presence},
        replication::{
            JOIN_POINTS_PER_DATA_CENTRE, JoinPoint, JoinPointSchedule, PROBE_DEADLINE,
            PROBE_PERIOD, PULL_DEADLINE, PlatformContact, PullEnd, Replication, UNREACHABLE_TIME,
            WATCHERS_PER_DATA_CENTRE, join_points_to_write, watches_platform,
        },
    },
    jujubeline_core::cases,
    network::{Faults, Network, address, member},
    quickcheck::quickcheck,
    rand::Rng,
    std::time::{Duration, Instant},
};

/// Time within which a change must be in effect at every node in touch, the shortest of the deployments.
const APPLY_BOUND: Duration = Duration::from_secs(2);

fn change(revision: u64) -> Change {
    Change {
        revision,
        change_id: revision.to_string(),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits: vec![Edit::Remove("none".into())],
    }
}

fn at_revision(revision: u64) -> CatalogueState {
    let mut state = CatalogueState::default();
    for next in 1..=revision {
        state.apply(&change(next)).expect("in order");
    }
    state
}

fn empty(from: u64, to: u64) -> Difference {
    Difference {
        from,
        to,
        set: Vec::new(),
        removed: Vec::new(),
        retired: Vec::new(),
        reinstated: Vec::new(),
        services: None,
        workspaces: WorkspaceChanges::default(),
    }
}

quickcheck! {
    /// Guards against a revision that falls after a stale read of the platform or an answer of an old peer.
    fn no_input_lowers_the_revision(inputs: Vec<(u8, u8, bool)>) -> bool {
        let mut state = CatalogueState::default();
        let mut replication = Replication::default();
        let now = Instant::now();
        let mut highest_reported = 0;
        inputs.into_iter().all(|(from, to, from_platform)| {
            let before = state.revision();
            let (from, to) = (u64::from(from % 32), u64::from(to % 32));
            if from_platform {
                let _ = state.apply(&change(to));
            } else {
                let _ = state.merge(&empty(from, to));
            }
            replication.record_peer_revision(address(1), to, state.revision());
            highest_reported = highest_reported.max(to);
            let pull = replication.next_pull(state.revision(), now);
            if let Some(pull) = pull {
                replication.finish_pull(pull, PullEnd::Answered);
            }
            state.revision() >= before && pull.is_none_or(|pull| highest_reported > pull.since)
        })
    }
}

/// Guards against a change that does not reach all nodes under loss, and against nodes that return to an old revision.
#[test]
fn changes_reach_all_under_loss() {
    let mut network = Network::converged(60, 3, 1);
    network.faults = Faults {
        drop: 0.1,
        duplicate: 0.1,
        delay_us: 300..50_000,
    };
    for revision in 1..=20 {
        let _ = network.nodes[0].catalogue.apply(&change(revision));
        network.catalogue_changed(0);
        network.run(Duration::from_millis(150));
    }
    let reached = network.run_until_all(Duration::from_secs(11), |network| {
        network
            .nodes
            .iter()
            .all(|node| node.catalogue.revision() == 20)
    });
    assert!(reached.is_some());
}

/// Guards against a node that stops pulling after a peer did not answer, or asks the same peer again.
#[test]
fn silent_peer_does_not_stop_replication() {
    let mut replication = Replication::default();
    let start = Instant::now();
    replication.record_peer_revision(address(1), 5, 0);
    replication.record_peer_revision(address(2), 5, 0);
    let first = replication.next_pull(0, start).expect("behind");
    assert_eq!(replication.next_pull(0, start), None, "one at a time");
    let second = replication
        .next_pull(0, start + PULL_DEADLINE)
        .expect("the deadline has passed");
    assert_ne!(first.peer, second.peer);
    replication.finish_pull(second, PullEnd::Answered);
    assert_eq!(replication.next_pull(5, start + PULL_DEADLINE), None);
}

/// Guards against a change that takes effect after its bound of 2 s because the peers that reported it last do not
/// answer.
#[test]
fn silent_peers_are_not_waited_for() {
    const SILENT: usize = 3;
    let mut replication = Replication::default();
    let start = Instant::now();
    for peer in 0..=SILENT {
        replication.record_peer_revision(address(peer), 5, 0);
    }
    // Called every 100 ms, as by the ticks of a node.
    let mut asked = Vec::new();
    for tick in 0..20 {
        let now = start + Duration::from_millis(100) * tick;
        asked.extend(replication.next_pull(0, now).map(|pull| pull.peer));
        // The silent peers report again and again.
        for peer in 1..=SILENT {
            replication.record_peer_revision(address(peer), 5, 0);
        }
    }
    assert!(asked.contains(&address(0)), "{asked:?}");
}

/// Guards against pulls in a tight loop from peers that fail.
#[test]
fn failed_pull_is_followed_by_a_backoff() {
    let mut replication = Replication::default();
    let now = Instant::now();
    replication.record_peer_revision(address(1), 5, 0);
    let pull = replication.next_pull(0, now).expect("behind");
    replication.finish_pull(pull, PullEnd::Failed);
    replication.record_peer_revision(address(1), 5, 0);
    assert_eq!(replication.next_pull(0, now), None);
    assert!(
        replication
            .next_pull(0, now + Duration::from_secs(2))
            .is_some()
    );
}

/// Guards against a pause in the pulls because an answer arrived after that of another peer, in a quick succession of
/// changes.
#[test]
fn late_answer_delays_no_pull() {
    let mut replication = Replication::default();
    let start = Instant::now();
    replication.record_peer_revision(address(1), 5, 0);
    replication.record_peer_revision(address(2), 9, 0);
    let slow = replication.next_pull(0, start).expect("behind");
    let hedge = start + Duration::from_millis(500);
    let quick = replication.next_pull(0, hedge).expect("not answered");
    assert_ne!(slow.peer, quick.peer);
    replication.finish_pull(quick, PullEnd::Answered);
    replication.finish_pull(slow, PullEnd::Answered);
    assert!(replication.next_pull(5, hedge).is_some());
}

/// Guards against a peer that reports a revision that it does not have and is asked for it in a tight loop.
#[test]
fn false_report_causes_few_pulls() {
    let mut replication = Replication::default();
    let start = Instant::now();
    let mut pulls = 0;
    for tick in 0..1_000 {
        replication.record_peer_revision(address(1), 5, 0);
        if let Some(pull) = replication.next_pull(0, start + Duration::from_millis(tick)) {
            pulls += 1;
            replication.finish_pull(pull, PullEnd::Failed);
        }
    }
    assert!((2..=5).contains(&pulls), "{pulls} in a second");
}

/// Guards against hints for each of many changes in a burst, which would exceed the byte budget.
#[test]
fn burst_of_changes_sends_few_hints() {
    let mut replication = Replication::default();
    let start = Instant::now();
    let hints = (1..=100)
        .filter(|revision| {
            let now = start + Duration::from_millis(10) * u32::try_from(*revision).expect("small");
            replication.should_hint(*revision, now)
        })
        .count();
    assert!((1..=6).contains(&hints), "{hints}");
    let later = start + Duration::from_secs(3);
    assert!(replication.should_hint(101, later));
    assert!(!replication.should_hint(101, later + Duration::from_secs(1)));
}

fn fleet(members: usize) -> Vec<Member> {
    (0..members).map(|at| member(at, 3)).collect()
}

fn watchers(members: &[Member]) -> Vec<&Member> {
    members
        .iter()
        .filter(|own| own.presence == Presence::Alive && watches_platform(own, members))
        .collect()
}

/// Guards against platform load that grows with the fleet, and against a data centre without a watcher after a failure.
#[test]
fn two_live_nodes_of_each_data_centre_watch() {
    let mut members = fleet(300);
    let before = watchers(&members);
    assert_eq!(before.len(), 3 * WATCHERS_PER_DATA_CENTRE);
    let failed = before[0].node.clone();
    for member in &mut members {
        if member.node == failed {
            member.presence = Presence::Dead;
        }
    }
    let after = watchers(&members);
    assert_eq!(after.len(), 3 * WATCHERS_PER_DATA_CENTRE);
    assert!(after.iter().all(|member| member.node != failed));
}

/// Guards against platform load that grows with the fleet while no node can read the platform, and against substitutes
/// that are tried one by one.
#[test]
fn substitutes_watch_for_nodes_that_cannot_read_the_platform() {
    let mut members = fleet(300);
    let first = watchers(&members)[0].data_centre.clone();
    let watching = |members: &[Member]| {
        let of_first = watchers(members).into_iter();
        let of_first = of_first.filter(|member| member.data_centre == first);
        of_first
            .map(|member| (member.node.clone(), member.platform_unreachable))
            .collect::<Vec<_>>()
    };
    let regular = watching(&members);
    let mut able_by_round = Vec::new();
    for _ in 0..10 {
        let able = watching(&members).into_iter().filter(|(_, unable)| !unable);
        let able: Vec<_> = able.map(|(node, _)| node).collect();
        able_by_round.push(able.len());
        for member in &mut members {
            member.platform_unreachable |= able.contains(&member.node);
        }
    }
    assert_eq!(able_by_round, [2, 4, 8, 2, 0, 0, 0, 0, 0, 0]);
    let left = watching(&members).into_iter().map(|(node, _)| node);
    assert!(left.eq(regular.into_iter().map(|(node, _)| node)));
}

/// Guards against a node that states again and again that it can read the platform and that it cannot, while answers are
/// slow.
#[test]
fn unreachable_platform_is_stated_for_a_time() {
    let start = Instant::now();
    let mut contact = PlatformContact::default();
    assert!(!contact.record_probe(true, start));
    assert!(contact.record_probe(false, start + PROBE_PERIOD));
    assert!(contact.record_probe(true, start + PROBE_PERIOD * 2));
    assert!(!contact.record_probe(true, start + PROBE_PERIOD + UNREACHABLE_TIME));
}

/// Turns the nodes that watch the platform away, and each other node with this probability. Returns the time until a node
/// that can read it watches it, where others find out after `detection` that they cannot.
fn time_until_watched(members: usize, seed: u64, share: f64, detection: Duration) -> Duration {
    const STEP: Duration = Duration::from_millis(50);
    let mut network = Network::converged(members, 3, seed);
    let watches = |network: &Network, index: usize| {
        let membership = &network.nodes[index].membership;
        watches_platform(membership.own_member(), &membership.members())
    };
    let turned_away: Vec<bool> = (0..members)
        .map(|index| watches(&network, index) || network.rng.random_bool(share))
        .collect();
    let start = network.now;
    let mut watching_since = vec![None; members];
    loop {
        for index in 0..members {
            if !watches(&network, index) {
                watching_since[index] = None;
                continue;
            }
            if !turned_away[index] {
                return network.now - start;
            }
            let since = *watching_since[index].get_or_insert(network.now);
            if network.now - since >= detection {
                network.act(index, |membership, now, rng| {
                    membership.set_platform_unreachable(true, now, rng)
                });
            }
        }
        assert!(network.now - start < Duration::from_mins(1), "seed {seed}");
        network.run(STEP);
    }
}

cases! {
    /// Guards against changes that no node learns of in time, because the platform turns away all nodes that watch it and
    /// a share of the others.
    fn node_that_reads_the_platform_watches_in_time(members: usize, share: f64, detection: Duration) {
        for seed in 0..10 {
            let time = time_until_watched(members, seed, share, detection);
            assert!(time < APPLY_BOUND, "seed {seed}: {time:?}");
        }
    }
    refused_at_thirteen_nodes: (13, 0.35, Duration::ZERO),
    refused_at_most_of_eighty_nodes: (80, 0.8, PROBE_PERIOD),
    silent_at_eighty_nodes: (80, 0.35, PROBE_PERIOD + PROBE_DEADLINE),
}

/// Guards against join points that are rewritten without need, or that still name a dead node.
#[test]
fn join_points_are_rewritten_only_after_failures() {
    let mut members = fleet(30);
    let own = members[0].clone();
    let mut points: Vec<Option<JoinPoint>> = vec![None; JOIN_POINTS_PER_DATA_CENTRE];
    let written = join_points_to_write(&own, &members, &points);
    assert_eq!(written.len(), JOIN_POINTS_PER_DATA_CENTRE);
    for (slot, point) in written {
        assert_eq!(point.data_centre, own.data_centre);
        points[slot] = Some(point);
    }
    assert!(join_points_to_write(&own, &members, &points).is_empty());

    let gone = points[1].as_ref().expect("written").node.clone();
    for member in &mut members {
        if member.node == gone {
            member.presence = Presence::Dead;
        }
    }
    let written = join_points_to_write(&own, &members, &points);
    assert_eq!(written.len(), 1);
    assert_eq!(written[0].0, 1);
    assert!(
        points
            .iter()
            .flatten()
            .all(|point| point.node != written[0].1.node)
    );
}

/// Guards against a node that cannot catch up from a peer that has only a later part of the changes.
#[test]
fn new_node_catches_up_from_a_peer() {
    let peer = at_revision(40);
    let mut new = CatalogueState::default();
    new.merge(&peer.changes_since(new.revision()))
        .expect("whole");
    assert_eq!(new.revision(), 40);
}

/// Guards against join points that stay lost after a restore of the platform because an older copy still shows them, and
/// against an isolated node that replaces join points before it has tried them.
#[test]
fn join_points_are_read_anew_after_a_restore() {
    let mut schedule = JoinPointSchedule::default();
    assert!(schedule.begin(false).may_be_stale);
    schedule.platform_restored();
    let round = schedule.begin(false);
    assert!(round.may_write && !round.may_be_stale);
    assert!(schedule.begin(false).may_be_stale);
    let isolated: Vec<bool> = (0..4).map(|_| schedule.begin(true).may_write).collect();
    assert_eq!(isolated, [false, false, false, true]);
}
