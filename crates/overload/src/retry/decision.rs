//! The one decision about a retry.

use {
    crate::retry::{RetryAllowance, RetryBudget},
    jujubeline_core::{Outcome, RetryReason, RetryStop},
    std::time::{Duration, Instant},
};

/// What is known about a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct RetryQuestion {
    /// Why a retry is considered.
    pub reason: RetryReason,
    /// Whether the failed attempt reached a target. One that did not costs no target any work.
    pub reached_target: bool,
    /// What is known about the execution of the failed attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Expected latency of another attempt, from the router.
    pub expected: Duration,
}

/// Decides whether an attempt is made again, and takes the retry from the allowance and the budget if it is.
///
/// Nothing is taken when the retry is not made.
///
/// # Errors
///
/// The reason that stops the retry.
pub fn decide_retry(
    question: &RetryQuestion,
    allowance: &mut RetryAllowance,
    budget: &mut RetryBudget,
    now: Instant,
) -> Result<RetryReason, RetryStop> {
    if !question.idempotent && question.outcome != Outcome::NotRun {
        return Err(RetryStop::OutcomeNotProven);
    }
    let remaining = question.deadline.saturating_duration_since(now);
    if remaining <= question.expected {
        return Err(RetryStop::DeadlineTooClose);
    }
    if !question.reached_target {
        return Ok(question.reason);
    }
    if allowance.left() == 0 {
        return Err(RetryStop::AllowanceSpent);
    }
    let granted = match question.outcome {
        Outcome::NotRun => budget.withdraw(now),
        Outcome::Ran | Outcome::Unknown => budget.withdraw_rerun(now),
    };
    if !granted {
        return Err(RetryStop::BudgetSpent);
    }
    allowance.spend();
    Ok(question.reason)
}
