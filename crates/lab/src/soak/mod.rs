//! Soak test: a time-bounded, seeded run that injects faults under load and checks invariants.

mod callers;
mod checks;
mod faults;
mod journal;
mod operators;
mod runner;

pub use {
    checks::{SoakReport, Violation},
    runner::{SoakPlan, run},
};
