//! Checks of the shared vocabulary.

use {
    jujubeline_core::{
        Class, NotRunProof, Outcome, Refusal, RefusalReason, RetryReason, RetryStop, cases,
        root_slot,
    },
    std::collections::HashSet,
};

cases! {
    /// Guards against two reasons with one label, which would share a counter in the metrics.
    fn labels_are_distinct(labels: Vec<&'static str>) {
        let distinct: HashSet<_> = labels.iter().collect();
        assert_eq!(distinct.len(), labels.len());
    }
    refusal_labels: (RefusalReason::ALL.map(RefusalReason::label).to_vec()),
    retry_labels: (RetryReason::ALL.map(RetryReason::label).to_vec()),
    retry_stop_labels: (RetryStop::ALL.map(RetryStop::label).to_vec()),
    class_labels: (Class::ALL.map(Class::label).to_vec()),
}

/// Guards against a refusal with the outcome `not_run` and no proof.
#[test]
fn not_run_refusal_carries_proof() {
    let proven = Refusal::not_run(NotRunProof::NeverSent, RefusalReason::NoTarget);
    assert_eq!(proven.outcome(), Outcome::NotRun);
    assert_eq!(proven.proof(), Some(NotRunProof::NeverSent));
    let unknown = Refusal::unknown(RefusalReason::OutcomeLost);
    assert_eq!(unknown.outcome(), Outcome::Unknown);
    assert_eq!(unknown.proof(), None);
}

cases! {
    /// Guards against reporting `not_run` when only the last of several attempts was provably not executed.
    fn combined_outcome_is(earlier: Outcome, last: Refusal, expected: Outcome) {
        assert_eq!(last.combined_with(earlier).outcome(), expected);
    }
    none_ran: (Outcome::NotRun, not_run(), Outcome::NotRun),
    earlier_unknown: (Outcome::Unknown, not_run(), Outcome::Unknown),
    earlier_ran: (Outcome::Ran, not_run(), Outcome::Ran),
    last_unknown: (Outcome::NotRun, Refusal::unknown(RefusalReason::OutcomeLost), Outcome::Unknown),
}

fn not_run() -> Refusal {
    Refusal::not_run(NotRunProof::RefusedByGate, RefusalReason::QueueFull)
}

/// Guards against a slot outside the range that admission levels use.
#[test]
fn root_slots_cover_0_to_127() {
    let slots: HashSet<u8> = (0..4_096_u128).map(root_slot).collect();
    assert_eq!(slots.len(), 128);
    assert!(slots.into_iter().all(|slot| slot < 128));
}
