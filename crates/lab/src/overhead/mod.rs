//! Measures the latency that two nodes add to a call, compared with direct calls to the target in the same run.

mod measure;
mod report;

pub use {
    measure::{OverheadPlan, run},
    report::{OverheadReport, OverheadRow},
};
