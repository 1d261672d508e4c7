//! The decision whether a failed attempt is retried.

use {
    crate::retry::{RetryAllowance, RetryBudget},
    jujubeline_core::{Outcome, RetryReason, RetryStop},
    std::time::{Duration, Instant},
};

/// Input of [`decide_retry`]: what is known about a failed attempt and its request.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Why a retry is considered.
    pub reason: RetryReason,
    /// Whether the failed attempt reached a target. A retry of one that did not uses neither allowance nor budget,
    /// because the attempt cost no target any work.
    pub reached_target: bool,
    /// Proven outcome of the failed attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Expected latency of another attempt, from the router.
    pub expected: Duration,
}

/// Decides whether a failed attempt is retried, and withdraws the retry from the allowance and the budget.
///
/// Nothing is withdrawn if the retry is not made.
///
/// # Errors
///
/// Returns the reason why the retry is not made.
pub fn decide_retry(
    attempt: &FailedAttempt,
    allowance: &mut RetryAllowance,
    budget: &mut RetryBudget,
    now: Instant,
) -> Result<RetryReason, RetryStop> {
    if !attempt.idempotent && attempt.outcome != Outcome::NotRun {
        return Err(RetryStop::OutcomeNotProven);
    }
    let remaining = attempt.deadline.saturating_duration_since(now);
    if remaining <= attempt.expected {
        return Err(RetryStop::DeadlineTooClose);
    }
    if !attempt.reached_target {
        return Ok(attempt.reason);
    }
    if allowance.left() == 0 {
        return Err(RetryStop::AllowanceSpent);
    }
    let granted = match attempt.outcome {
        Outcome::NotRun => budget.withdraw(now),
        Outcome::Ran | Outcome::Unknown => budget.withdraw_rerun(now),
    };
    if !granted {
        return Err(RetryStop::BudgetSpent);
    }
    allowance.spend();
    Ok(attempt.reason)
}
