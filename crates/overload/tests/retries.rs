//! Retry decisions, retry ledger and retry budget.

use {
    jujubeline_core::{Outcome, RetryReason, RetryStop, cases},
    jujubeline_overload::{
        Arrival, FailedAttempt, FleetRetryLimits, RetryAllowance, RetryBudget, RetryLedger,
        decide_retry,
    },
    std::time::{Duration, Instant},
};

cases! {
    /// Guards against a retry that may run a non-idempotent request twice, that cannot finish before the deadline, or
    /// that exceeds the allowance or the budget.
    fn decides_retry(
        idempotent: bool,
        outcome: Outcome,
        remaining_ms: u64,
        allowance: u32,
        spent: u32,
        expected: Result<RetryReason, RetryStop>,
    ) {
        let now = Instant::now();
        let attempt = FailedAttempt {
            reached_target: true,
            reason: RetryReason::AnswerLost,
            outcome,
            idempotent,
            deadline: now + Duration::from_millis(remaining_ms),
            expected: Duration::from_millis(50),
        };
        let mut budget = RetryBudget::new(now);
        for _ in 0..spent {
            budget.withdraw(now);
        }
        let mut allowance = RetryAllowance::new(allowance);
        let before = (allowance.left(), budget.available());
        let decision = decide_retry(&attempt, &mut allowance, &mut budget, now);
        assert_eq!(decision, expected);
        let taken = u32::from(expected.is_ok());
        assert_eq!(before.0 - allowance.left(), taken);
        assert!((before.1 - budget.available() - f64::from(taken)).abs() < 1e-9);
    }
    idempotent_and_unknown: (true, Outcome::Unknown, 100, 1, 0, Ok(RetryReason::AnswerLost)),
    not_idempotent_and_not_run: (false, Outcome::NotRun, 100, 1, 0, Ok(RetryReason::AnswerLost)),
    not_idempotent_and_unknown: (false, Outcome::Unknown, 100, 1, 0, Err(RetryStop::OutcomeNotProven)),
    not_idempotent_and_ran: (false, Outcome::Ran, 100, 1, 0, Err(RetryStop::OutcomeNotProven)),
    too_late: (true, Outcome::Unknown, 50, 1, 0, Err(RetryStop::DeadlineTooClose)),
    no_allowance: (true, Outcome::Unknown, 100, 0, 0, Err(RetryStop::AllowanceSpent)),
    no_budget: (true, Outcome::Unknown, 100, 1, 10, Err(RetryStop::BudgetSpent)),
}

/// Guards against retries by calls of an unknown exchange, and against a ledger that grows without bound.
#[test]
fn the_ledger_is_bounded() {
    let mut ledger = RetryLedger::new();
    assert_eq!(ledger.grant(7).count(), 0);
    assert!(ledger.allowance_mut(7).is_none());
    let opened = (0..5_000)
        .filter(|&hop| ledger.open(hop, RetryAllowance::new(3)))
        .count();
    assert_eq!(ledger.len(), opened);
    assert_eq!(ledger.refused(), 5_000 - opened as u64);
    assert!(ledger.refused() > 0);
    assert_eq!(ledger.close(0), 3);
    assert_eq!(ledger.close(0), 0);
}

/// Guards against resends by callers that do not count against the retry budget of the node.
#[test]
fn resends_use_the_budget() {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(now);
    assert_eq!(budget.record_arrival(1, now), Arrival::First);
    for _ in 0..10 {
        assert_eq!(budget.record_arrival(1, now), Arrival::Resend);
    }
    assert!(!budget.withdraw(now));
    now += Duration::from_secs(11);
    assert_eq!(budget.record_arrival(1, now), Arrival::First);
    assert!(budget.withdraw(now));
}

/// Guards against a service that sheds half of its requests for some seconds and whose budget is spent at once, although
/// little was retried before; and against more retries in any window than the share of its requests.
#[test]
fn unspent_retries_of_the_window_are_left_for_a_surge_of_sheds() {
    let limits = FleetRetryLimits {
        share: 0.2,
        slack: 48.0,
    };
    let start = Instant::now();
    let mut budget = RetryBudget::with_limits(limits.per_node(48), start);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..2_500_u32 {
        let now = start + Duration::from_millis(10) * step;
        budget.record_arrival(u64::from(step), now);
        requests.push(now);
        // From the tenth second on every other request is shed.
        if step >= 1_000 && step % 2 == 0 && budget.withdraw(now) {
            retries.push(now);
        }
    }
    let window = Duration::from_secs(10);
    let within = |times: &[Instant], end: Instant| {
        let after = end.checked_sub(window).unwrap_or(start);
        times
            .iter()
            .filter(|at| **at > after && **at <= end)
            .count()
    };
    let first_second = retries
        .iter()
        .filter(|at| **at < start + Duration::from_secs(11));
    assert_eq!(
        first_second.count(),
        50,
        "all sheds of the first second are retried"
    );
    for end in &retries {
        assert!(within(&retries, *end) * 5 <= within(&requests, *end) + 5);
    }
}
