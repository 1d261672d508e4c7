//! Overload experiments: apply a trigger (a fault or a rise in demand) to a chain of services, under strategies that
//! are compared in the same run.

mod chain;
mod clients;
mod gates;
mod plan;
mod plot;
mod report;
mod runner;
mod timeline;

pub use {
    clients::Clients,
    gates::GateSample,
    plan::{ExperimentPlan, Phases, Strategy, Trigger},
    plot::write_plot,
    report::{ClassReport, ExperimentReport},
    runner::run,
    timeline::{RequestRecord, Timeline},
};
