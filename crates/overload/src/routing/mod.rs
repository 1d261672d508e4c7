//! Selection of a target for a request.

mod candidate;
mod latency;
mod outlier_detector;
mod router;
mod subset;
mod target;

pub use {
    candidate::{Candidate, CandidateState, LoadReport, Place, TargetView},
    router::{Pick, Router},
};
