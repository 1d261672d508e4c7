//! Structured log of decisions and state changes, one JSON line each. It is limited in rate and never blocks the data
//! path.

mod decision;
mod decision_log;
mod line_budget;
mod state_change;

pub(crate) use decision::request_name;
pub use {
    decision::Decision, decision_log::DecisionLog, line_budget::LineBudget,
    state_change::StateChange,
};
