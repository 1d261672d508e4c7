//! Routing, admission and retry of one request in combination.

use {
    jujubeline_core::{Class, Outcome, RetryReason},
    jujubeline_overload::{
        AdmissionRequest, Admitted, Candidate, CandidateState, ExchangeEnd, FailedAttempt,
        GateAdmission, NodeLocation, RetryAllowance, RetryBudget, Router, decide_retry,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// Guards against wrong routing, admission or retry decisions for a single request without overload.
#[test]
fn one_request_is_routed_admitted_and_retried() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let location = NodeLocation {
        node: "a1".into(),
        data_centre: "a".into(),
        region: "jm-south".into(),
    };
    let mut router = Router::new(location, Router::DEFAULT_SUBSET, now);
    let candidate = Candidate {
        node: "a2".into(),
        incarnation: 1,
        data_centre: "a".into(),
        region: "jm-south".into(),
        state: CandidateState::Ready,
        slots: 80,
    };
    router.update(&[candidate], now);
    let pick = router.pick(|_| true, now, &mut rng).expect("one target");
    assert_eq!(&**pick.node(), "a2");

    let mut gate = GateAdmission::new(560, now);
    let request = AdmissionRequest {
        workspace: None,
        is_call: false,
        has_alternative: false,
        class: Class::Critical,
        root: 7,
        entry: "invoices".into(),
        entry_concurrency: 80,
        deadline: now + Duration::from_secs(2),
    };
    let Ok(Admitted::Run(permit)) = gate.offer(&request, now) else {
        panic!("an idle gate runs a request at once");
    };
    let later = now + Duration::from_millis(5);
    gate.end(permit, ExchangeEnd::Completed, later);
    router.finish(pick, ExchangeEnd::Completed, later);
    assert_eq!(gate.in_flight(), 0);

    let mut allowance = RetryAllowance::new(3);
    let attempt = FailedAttempt {
        reached_target: true,
        reason: RetryReason::RefusedNotRun,
        outcome: Outcome::NotRun,
        idempotent: false,
        deadline: request.deadline,
        expected: router.expected_latency(),
    };
    let decision = decide_retry(&attempt, &mut allowance, &mut RetryBudget::new(now), later);
    assert_eq!(decision, Ok(RetryReason::RefusedNotRun));
    assert_eq!(allowance.left(), 2);
}
