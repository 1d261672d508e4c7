//! Selection of a target for a request.

mod candidate;
mod latency;
mod outlier_detector;
mod router;
mod subset;
mod target;

pub use {
    candidate::{Candidate, CandidateState, LoadReport, NodeLocation, TargetStatus},
    router::{Pick, Router},
};
