//! Admission control at the gate, and the admission levels that entry nodes take from responses.

mod admission_level;
mod call_levels;
mod class_queue;
mod concurrency_limit;
mod drain_rate;
mod entry_limit;
mod fair_shares;
mod gate_admission;
mod latency_window;
mod level;
mod observed_level;
mod observed_levels;
mod rate_limit;
mod target_pace;

pub(crate) use observed_level::ObservedLevel;
pub use {
    admission_level::AdmissionLevel,
    call_levels::CallLevels,
    class_queue::{Claimant, ClassQueue, Ticket, WaitingRequest},
    concurrency_limit::ConcurrencyLimit,
    drain_rate::DrainRate,
    entry_limit::{EntryLimit, EntrySlot},
    fair_shares::{DEFAULT_WEIGHT, FairShares, WorkspaceHash},
    gate_admission::{
        AdmissionCounts, AdmissionRequest, Admitted, GateAdmission, Permit, TicketDecision,
    },
    level::Level,
    observed_levels::ObservedLevels,
    rate_limit::{RateChange, RateLimit},
    target_pace::TargetPace,
};
