//! Bounded exhaustive exploration of the interleavings of claims and fences.

mod explorer;
mod hashed;
mod system;

use {
    explorer::{Exploration, explore},
    jujubeline_coordination::claims::InjectedFault,
    jujubeline_core::cases,
    quickcheck::QuickCheck,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{cell::RefCell, collections::BTreeSet, time::Instant},
    system::{Action, Limits, System},
};

/// Bound on the states of an exploration that has an injected fault or is not exhaustive; the exhaustive ones end far
/// below it.
const MAX_STATES: usize = 300_000;

const RANDOM_STEPS: usize = 400;

const BASE: Limits = Limits {
    nodes: 3,
    shards: 1,
    keys: 1,
    requests: 2,
    claims: 1,
    takeovers: 1,
    crashes: 0,
    retirements: 0,
    gate_refusals: 0,
    finishes: true,
    owner_lost: false,
    fault: InjectedFault::None,
    excuse_unsettled: false,
};

fn run(
    limits: &Limits,
    is_sought: impl Fn(&str) -> bool,
) -> (Exploration<Action>, BTreeSet<&'static str>) {
    let started = Instant::now();
    let reached = RefCell::new(BTreeSet::new());
    let exploration = explore(
        System::new(limits),
        MAX_STATES,
        |state| {
            let following = state.next(limits);
            let situations = following.iter().flat_map(|(_, state)| &state.reached.0);
            reached.borrow_mut().extend(situations);
            following
        },
        |state| {
            let mut violations = state.violations.iter();
            violations
                .find(|what| is_sought(what))
                .map(ToString::to_string)
        },
    );
    let reached = reached.into_inner();
    println!(
        "{} states, exhausted: {}, depth {}, {:.1?}, reached {reached:?}",
        exploration.states,
        exploration.is_exhausted,
        exploration.depth,
        started.elapsed()
    );
    (exploration, reached)
}

cases! {
    /// Guards against a second start of a key, a false "not run", two owners of one epoch, and an owner that authorises
    /// its own gate outside a solo epoch, under any order of the events within the bounds. The situations show that the
    /// bounds are wide enough.
    fn is_safe(limits: Limits, situations: Vec<&'static str>) {
        let (exploration, reached) = run(&limits, |_| true);
        assert!(exploration.violation.is_none(), "{:#?}", exploration.violation);
        assert!(exploration.is_exhausted, "the bounds are too wide");
        for situation in situations {
            assert!(reached.contains(situation), "{situation} was not reached");
        }
    }
    takeover_and_resend: (BASE, vec!["claim by a successor", "settled", "answered"]),
    gate_refusal_and_second_claim: (
        Limits { gate_refusals: 1, claims: 2, takeovers: 0, ..BASE }, vec!["not run", "answered"],
    ),
    crash_and_replacement: (
        Limits { takeovers: 0, crashes: 1, ..BASE }, vec!["adopted", "settled"],
    ),
    retired_while_paused: (
        Limits { takeovers: 0, retirements: 1, ..BASE }, vec!["adopted", "settled"],
    ),
    racing_takeovers: (
        Limits { owner_lost: true, finishes: false, takeovers: 2, ..BASE }, vec!["settled"],
    ),
    single_instance: (
        Limits { nodes: 1, takeovers: 1, crashes: 1, ..BASE }, vec!["records incomplete"],
    ),
}

/// Guards against the same faults if the successor of a lost owner is lost, too. Explores breadth-first up to the bound
/// on states, because the whole space is too large.
#[test]
fn successor_crashes() {
    let limits = Limits {
        owner_lost: true,
        finishes: false,
        takeovers: 2,
        crashes: 1,
        ..BASE
    };
    let (exploration, reached) = run(&limits, |_| true);
    assert!(
        exploration.violation.is_none(),
        "{:#?}",
        exploration.violation
    );
    assert!(reached.contains("records incomplete") && reached.contains("settled"));
}

/// Guards against faults that need more nodes, keys and failures than an exhaustive exploration can hold.
#[test]
fn random_sequences_are_safe() {
    fn is_safe(seed: u64) -> bool {
        let limits = Limits {
            nodes: 4,
            shards: 2,
            keys: 3,
            requests: 6,
            claims: 3,
            takeovers: 6,
            crashes: 3,
            retirements: 1,
            gate_refusals: 2,
            ..BASE
        };
        let mut random = StdRng::seed_from_u64(seed);
        let mut state = System::new(&limits);
        for _ in 0..RANDOM_STEPS {
            let actions = state.actions(&limits);
            let action = &actions[random.random_range(0..actions.len())];
            state.apply(action, &limits);
        }
        state.violations.is_empty()
    }
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(is_safe as fn(u64) -> bool);
}

cases! {
    /// Guards against an exploration that does not detect a broken protocol.
    fn finds(limits: Limits, expected: &str) {
        let (exploration, _) = run(&limits, |violation| violation == expected);
        assert!(exploration.violation.is_some(), "the fault was not found");
    }
    gate_without_fence_check: (
        Limits { fault: InjectedFault::GateWithoutFenceCheck, ..BASE }, "a key started twice",
    ),
    successor_serves_before_all_fences: (
        Limits { fault: InjectedFault::ServeBeforeAllFences, ..BASE }, "a key started twice",
    ),
    resolve_does_not_record: (
        Limits { fault: InjectedFault::ResolveWithoutRecord, takeovers: 0, claims: 2, ..BASE },
        "an attempt started after it was reported as not run",
    ),
    restarted_gate_without_floor: (
        Limits { fault: InjectedFault::FenceWithoutFloor, takeovers: 0, crashes: 1, ..BASE },
        "a key started twice",
    ),
    stale_owner_reports_not_run_without_confirmation: (
        Limits { fault: InjectedFault::NotRunWithoutConfirmation, ..BASE },
        "a key that had started was reported as not run",
    ),
    owner_authorises_its_own_gate: (
        Limits { fault: InjectedFault::OwnGateAllowed, ..BASE },
        "an owner authorised its own gate outside a solo epoch",
    ),
    refused_fence_counts_as_accepted: (
        Limits {
            fault: InjectedFault::RefusedFenceCountsAsAccepted,
            owner_lost: true,
            finishes: false,
            takeovers: 2,
            ..BASE
        },
        "a key started twice",
    ),
    unsettled_owner_is_excused: (
        Limits { excuse_unsettled: true, owner_lost: true, takeovers: 2, ..BASE }, "a key started twice",
    ),
}
