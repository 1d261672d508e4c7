//! Detection and quarantine of requests that crash targets.

mod crash_report;
mod lost_exchanges;
mod quarantine;

pub use {
    crash_report::{ClearReport, CrashId, CrashReport, QuarantineReport},
    lost_exchanges::{Life, Loss, LostExchanges},
    quarantine::{Quarantine, SuspectDecision},
};
