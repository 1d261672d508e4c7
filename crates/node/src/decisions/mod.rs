//! Structured log of decisions and changes of state: one JSON line each, bounded, and never blocking the data path.

mod decision;
mod decision_log;
mod line_budget;
mod state_change;

pub(crate) use decision::request_name;
pub use {
    decision::Decision, decision_log::DecisionLog, line_budget::LineBudget,
    state_change::StateChange,
};
