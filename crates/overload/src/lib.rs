//! Overload decisions: admission, retries, routing, stalled connections and quarantine. No I/O.
//!
//! Each type is a plain struct whose methods take the current time as an argument. The crate neither locks nor blocks:
//! the caller guards each value with its own lock and waits for the decisions about the tickets that a queue returns.

mod admission;
mod connection;
mod crash;
mod exchange_end;
mod retry;
mod routing;

pub use {
    admission::{
        AdmissionCounts, AdmissionLevel, AdmissionRequest, Admitted, Claimant, ClassQueue,
        ConcurrencyLimit, DEFAULT_WEIGHT, DrainRate, EntryLimit, EntrySlot, FairShares,
        GateAdmission, Level, ObservedLevels, Permit, RateChange, RateLimit, TargetPace, Ticket,
        TicketDecision, WaitingRequest, WorkspaceHash,
    },
    connection::{ProbeKind, StallAction, StallDetector, StallProbes},
    crash::{
        ClearReport, CrashId, CrashReport, Life, Loss, LostExchanges, Quarantine, QuarantineReport,
        SuspectDecision,
    },
    exchange_end::ExchangeEnd,
    retry::{
        Arrival, FailedAttempt, FleetRetryLimits, RetryAllowance, RetryBudget, RetryGrant,
        RetryLedger, RetryLimits, decide_retry, suggested_retry_after,
    },
    routing::{
        Candidate, CandidateState, DEFAULT_CROSSING_COST, ExpectedCompletion, LeavingShare,
        LoadReport, NodeLocation, Pick, Router, SideCompletion, TargetStatus,
    },
};
