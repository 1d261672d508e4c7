//! Operators' address: metrics, health, status, explanations and the target's announcements.

mod announcement;
mod explanation;
mod operators_server;
mod status;
mod target_probe;

pub use {
    announcement::Announcement,
    explanation::{Explanation, TargetExplanation, WorkspaceExplanation},
    operators_server::OperatorsServer,
    status::Status,
};
