//! Stand-in for a target.

mod announcement;
mod behaviour;
mod executions;
mod target_standin;

pub use {
    announcement::Announcement,
    behaviour::{Behaviour, Fault},
    executions::Executions,
    target_standin::{TargetSettings, TargetStandin},
};
