//! Target selection: tiers, slow start, ejection, admission levels and subsets.

use {
    jujubeline_core::{Class, NodeId, cases},
    jujubeline_overload::{
        Candidate, CandidateState, ExchangeEnd, Level, LoadReport, NodeLocation, Router,
        TargetStatus,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

fn candidate(node: &str, data_centre: &str, region: &str, state: CandidateState) -> Candidate {
    Candidate {
        node: node.into(),
        incarnation: 1,
        data_centre: data_centre.into(),
        region: region.into(),
        state,
        slots: 80,
    }
}

fn router(candidates: &[Candidate], now: Instant) -> Router {
    let location = NodeLocation {
        node: "entry".into(),
        data_centre: "a".into(),
        region: "jm-south".into(),
    };
    let mut router = Router::new(location, Router::DEFAULT_SUBSET, now);
    router.update(candidates, now);
    router
}

/// Sends requests sequentially and counts them by target.
fn send(router: &mut Router, count: usize, now: Instant) -> HashMap<String, usize> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = HashMap::new();
    for _ in 0..count {
        if let Some(pick) = router.pick(|_| true, now, &mut rng) {
            *counts.entry(pick.node().to_string()).or_default() += 1;
            router.finish(pick, ExchangeEnd::Completed, now + Duration::from_millis(5));
        }
    }
    counts
}

fn three_tiers() -> Vec<Candidate> {
    vec![
        candidate("near", "a", "jm-south", CandidateState::Ready),
        candidate("region", "b", "jm-south", CandidateState::Ready),
        candidate("far", "x", "dalat", CandidateState::Ready),
    ]
}

cases! {
    /// Guards against requests that leave the data centre without need, and against a loaded data centre that keeps
    /// them all.
    fn nearest_tier_is_preferred_unless_loaded(near: f64, region: f64, most_near: usize, least_far: usize) {
        let now = Instant::now();
        let mut router = router(&three_tiers(), now);
        for (node, utilisation) in [("near", near), ("region", region)] {
            router.record_load(&node.into(), LoadReport { utilisation, completion: None }, now);
        }
        let counts = send(&mut router, 1_000, now);
        let count = |node: &str| counts.get(node).copied().unwrap_or(0);
        assert!(count("near") <= most_near, "{counts:?}");
        assert!(count("far") >= least_far, "{counts:?}");
        assert_eq!(least_far == 0, count("far") == 0, "{counts:?}");
        assert_eq!(most_near == 1_000, count("near") == 1_000, "{counts:?}");
    }
    idle: (0.0, 1.0, 1_000, 0),
    near_is_loaded: (1.0, 0.0, 600, 0),
    both_are_loaded: (1.0, 1.0, 600, 100),
}

/// Guards against a target that fails immediately and attracts requests because it never has many in flight.
#[test]
fn a_failing_target_does_not_attract_work() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    // At most half of the targets may be ejected, so one of the two failing ones stays in use.
    let names = ["works", "fails1", "fails2"];
    let candidates = names.map(|name| candidate(name, "a", "jm-south", CandidateState::Ready));
    let mut router = router(&candidates, now);
    let mut failed = 0;
    for _ in 0..1_000 {
        let pick = router
            .pick(|_| true, now, &mut rng)
            .expect("one target works");
        if &**pick.node() == "works" {
            router.finish(pick, ExchangeEnd::Completed, now + Duration::from_millis(5));
        } else {
            failed += 1;
            router.finish(pick, ExchangeEnd::Failed, now);
        }
    }
    assert!(failed < 50, "{failed} of 1,000");
}

/// Guards against new requests to a draining target.
#[test]
fn a_draining_target_receives_no_requests() {
    let now = Instant::now();
    let mut candidates = three_tiers();
    candidates[0].state = CandidateState::Draining;
    let counts = send(&mut router(&candidates, now), 100, now);
    assert_eq!(counts.get("near"), None);
    candidates.truncate(1);
    assert!(send(&mut router(&candidates, now), 1, now).is_empty());
}

cases! {
    /// Guards against a cold target that receives its full share of requests at once, or never.
    fn cold_targets_start_slowly(age_s: u64, least: usize, most: usize) {
        let now = Instant::now();
        let candidates = [
            candidate("warm", "a", "jm-south", CandidateState::Ready),
            candidate("cold", "a", "jm-south", CandidateState::Cold),
        ];
        let mut router = router(&candidates, now);
        let counts = send(&mut router, 10_000, now + Duration::from_secs(age_s));
        let cold = counts.get("cold").copied().unwrap_or(0);
        assert!((least..=most).contains(&cold), "{cold} of 10,000");
    }
    at_start: (0, 100, 1_500),
    halfway: (5, 1_500, 4_500),
    warm: (10, 4_500, 5_500),
}

/// Guards against a failing target that stays in use, and against an ejection that never ends.
#[test]
fn a_failing_target_is_ejected_and_released() {
    let mut now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let names = ["t0", "t1", "t2", "t3"];
    let candidates = names.map(|name| candidate(name, "a", "jm-south", CandidateState::Ready));
    let mut router = router(&candidates, now);
    let only = |name: &'static str| move |node: &std::sync::Arc<str>| &**node == name;
    for _ in 0..5 {
        let pick = router.pick(only("t0"), now, &mut rng).expect("in use");
        router.finish(pick, ExchangeEnd::Failed, now);
    }
    assert_eq!(router.pick(only("t0"), now, &mut rng), None);
    now += Duration::from_secs(1);
    let pick = router.pick(only("t0"), now, &mut rng).expect("half-open");
    router.finish(pick, ExchangeEnd::Failed, now);
    assert_eq!(router.pick(only("t0"), now, &mut rng), None);
    now += Duration::from_secs(2);
    let pick = router
        .pick(only("t0"), now, &mut rng)
        .expect("half-open again");
    router.finish(pick, ExchangeEnd::Completed, now);
    assert!(
        router
            .target_statuses(now)
            .iter()
            .all(|status| !status.ejected)
    );
}

/// Guards against a slow target that keeps an equal share, and against an update that discards measured latency.
#[test]
fn the_faster_target_receives_more_requests() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let names = ["fast", "slow"];
    let candidates = names.map(|name| candidate(name, "a", "jm-south", CandidateState::Ready));
    let mut router = router(&candidates, now);
    let mut slow = 0;
    for _ in 0..1_000 {
        let pick = router.pick(|_| true, now, &mut rng).expect("two targets");
        let is_slow = &**pick.node() == "slow";
        slow += usize::from(is_slow);
        let latency = Duration::from_millis(if is_slow { 50 } else { 5 });
        router.finish(pick, ExchangeEnd::Completed, now + latency);
    }
    assert!(slow < 100, "{slow} of 1,000");
    router.update(&candidates, now);
    assert!(router.target_statuses(now)[0].latency.is_some());
}

/// Guards against requests that are sent to a gate whose level refuses them.
#[test]
fn levels_exclude_targets() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(&three_tiers()[..1], now);
    router.record_level(&"near".into(), Level::CRITICAL_ONLY, now);
    let mut pick = |class, now| {
        router
            .pick_admitting(class, 7, |_| true, now, &mut rng)
            .is_some()
    };
    assert!(!pick(Class::Low, now));
    assert!(pick(Class::Critical, now));
    assert!(pick(Class::Low, now + Duration::from_secs(1)));
}

fn subset(entry: &str, size: usize, candidates: &[Candidate]) -> Vec<TargetStatus> {
    let now = Instant::now();
    let location = NodeLocation {
        node: entry.into(),
        data_centre: "a".into(),
        region: "jm-south".into(),
    };
    let mut router = Router::new(location, size, now);
    router.update(candidates, now);
    router.target_statuses(now)
}

fn three_hundred_candidates() -> Vec<Candidate> {
    let places = [("a", "jm-south"), ("b", "jm-south"), ("x", "dalat")];
    (0..300)
        .map(|n| {
            let (data_centre, region) = places[n % 3];
            candidate(&format!("t{n}"), data_centre, region, CandidateState::Ready)
        })
        .collect()
}

cases! {
    /// Guards against a subset above its bound, and against one without targets in other tiers to spill over to.
    fn subsets_are_bounded(size: usize, near: usize, region: usize, far: usize) {
        let statuses = subset("e1", size, &three_hundred_candidates());
        let count = |name: &str| statuses.iter().filter(|status| &*status.data_centre == name).count();
        assert_eq!([count("a"), count("b"), count("x")], [near, region, far]);
    }
    one: (1, 1, 0, 0),
    four: (4, 3, 1, 0),
    default_size: (20, 13, 5, 2),
    largest: (1_000, 100, 80, 20),
}

/// Guards against entry nodes that all select the same targets, and against a subset that changes without need.
#[test]
fn subsets_differ_between_entry_nodes() {
    let candidates = three_hundred_candidates();
    let nodes = |entry: &str| -> BTreeSet<NodeId> {
        let statuses = subset(entry, 20, &candidates);
        statuses.into_iter().map(|status| status.node).collect()
    };
    assert_eq!(nodes("e1"), nodes("e1"));
    assert_ne!(nodes("e1"), nodes("e2"));
}
