//! Detection of stalled connections.

mod stall_detector;

pub use stall_detector::{ProbeKind, StallAction, StallDetector};
