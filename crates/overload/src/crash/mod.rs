//! Detection and quarantine of requests that crash targets.

mod crash_report;
mod quarantine;

pub use {
    crash_report::{ClearReport, CrashId, CrashReport, QuarantineReport},
    quarantine::{Quarantine, SuspectDecision},
};
