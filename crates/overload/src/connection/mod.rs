//! Detection of stalled connections.

mod stall_detector;
mod stall_probes;

pub use {
    stall_detector::{ProbeKind, StallAction, StallDetector},
    stall_probes::StallProbes,
};
