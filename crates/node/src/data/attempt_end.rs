//! Classification of a refused attempt for routing and retries.

use {
    jujubeline_core::{NotRunProof, Outcome, Refusal, RefusalReason as Reason, RetryReason},
    jujubeline_overload::ExchangeEnd,
};

/// How a refused attempt counts in the statistics of its target.
#[must_use]
pub const fn exchange_end(refusal: &Refusal) -> ExchangeEnd {
    match refusal.reason() {
        Reason::TargetShed => ExchangeEnd::Shed,
        Reason::AdmissionLevel
        | Reason::ConcurrencyLimit
        | Reason::TargetRateLimit
        | Reason::QueueFull
        | Reason::QueueTimeout
        | Reason::Draining
        | Reason::NoTarget => ExchangeEnd::Refused,
        Reason::Deadline => match refusal.outcome() {
            Outcome::NotRun => ExchangeEnd::Refused,
            Outcome::Ran | Outcome::Unknown => ExchangeEnd::TimedOut,
        },
        Reason::TargetUnreachable
        | Reason::AnswerCutShort
        | Reason::AnswerInvalid
        | Reason::ConnectionStalled
        | Reason::OutcomeLost
        | Reason::Internal => ExchangeEnd::Failed,
        // The other reasons concern the request and not the target.
        _ => ExchangeEnd::Cancelled,
    }
}

/// Whether a refused attempt reached a target. Refusals by gates and failed connections to nodes cost no target work.
#[must_use]
pub const fn reached_target(refusal: &Refusal) -> bool {
    match refusal.proof() {
        Some(proof) => matches!(proof, NotRunProof::RefusedByTarget),
        None => true,
    }
}

/// Reason to consider a retry; none when another target would give the same refusal.
#[must_use]
pub const fn retry_reason(refusal: &Refusal) -> Option<RetryReason> {
    let not_run = matches!(refusal.outcome(), Outcome::NotRun);
    match refusal.reason() {
        Reason::TargetUnreachable if not_run => Some(RetryReason::ConnectFailed),
        Reason::TargetUnreachable => Some(RetryReason::TargetCrashed),
        Reason::TargetShed => Some(RetryReason::TargetShed),
        Reason::Draining => Some(RetryReason::PeerDraining),
        Reason::ConnectionStalled => Some(RetryReason::ConnectionStalled),
        Reason::OutcomeLost | Reason::AnswerCutShort | Reason::AnswerInvalid => {
            Some(RetryReason::AnswerLost)
        }
        Reason::ConcurrencyLimit
        | Reason::TargetRateLimit
        | Reason::QueueFull
        | Reason::QueueTimeout
        | Reason::EntryLimit
        | Reason::NoTarget
            if not_run =>
        {
            Some(RetryReason::RefusedNotRun)
        }
        _ => None,
    }
}
