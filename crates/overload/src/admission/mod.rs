//! Admission control at the gate, and the admission levels that entry nodes take from responses.

mod admission_level;
mod call_levels;
mod class_queue;
mod concurrency_limit;
mod entry_limit;
mod gate_admission;
mod latency_window;
mod learned_level;
mod learned_levels;
mod level;

pub(crate) use learned_level::LearnedLevel;
pub use {
    admission_level::AdmissionLevel,
    call_levels::CallLevels,
    class_queue::{ClassQueue, Ticket, WaitingRequest},
    concurrency_limit::ConcurrencyLimit,
    entry_limit::{EntryLimit, EntrySlot},
    gate_admission::{
        AdmissionCounts, AdmissionRequest, Admitted, GateAdmission, Permit, TicketDecision,
    },
    learned_levels::LearnedLevels,
    level::Level,
};
