//! Overload experiments: apply a trigger (a fault or a rise in demand) to a chain of services, under strategies that
//! are compared in the same run.

mod callers;
mod chain;
mod gates;
mod plan;
mod plot;
mod report;
mod runner;
mod timeline;

pub use {
    callers::Callers,
    gates::GateSample,
    plan::{ExperimentPlan, Phases, Strategy, Trigger},
    plot::write_plot,
    report::{ClassReport, ExperimentReport},
    runner::run,
    timeline::{RequestRecord, Timeline},
};
