//! Bounds on retries: an allowance for each root request, a budget for each service, and the decision that applies
//! both.

mod decision;
mod retry_allowance;
mod retry_budget;
mod retry_ledger;
mod suggested_retry_after;

pub use {
    decision::{FailedAttempt, decide_retry},
    retry_allowance::{RetryAllowance, RetryGrant},
    retry_budget::{Arrival, FleetRetryLimits, RetryBudget, RetryLimits},
    retry_ledger::RetryLedger,
    suggested_retry_after::suggested_retry_after,
};
