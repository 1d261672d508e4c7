//! Measures what the control plane costs a node in processor time, memory and messages, at several fleet sizes.

mod measure;
mod report;

pub use {
    measure::{CapacityPlan, run},
    report::{CapacityReport, CapacityRow},
};
