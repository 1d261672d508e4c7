//! Coordination without a coordination service: membership, catalogue replication, allowances, claims and fences.
//!
//! The package does no I/O. Each function that decides takes the present time as an argument, and the caller sends the
//! messages that it returns. Another program can embed it without the daemon.

pub mod allowance;
pub mod claims;
pub mod membership;
pub mod replication;

mod stored_quarantine;
mod target_record;
mod target_reports;

pub use {
    stored_quarantine::{MAX_STORED_QUARANTINES, StoredQuarantine},
    target_record::{
        HealthAnswer, HealthQuestion, NoticeEffect, OwnTarget, Process, ProcessStart, TargetRecord,
    },
    target_reports::{TargetReport, TargetReports},
};
