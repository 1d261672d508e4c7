//! Selection of a target for a request.

mod candidate;
mod latency;
mod leaving_share;
mod outlier_detector;
mod router;
mod subset;
mod target;

pub use {
    candidate::{
        Candidate, CandidateState, ExpectedCompletion, LoadReport, NodeLocation, TargetStatus,
    },
    leaving_share::{LeavingShare, SideCompletion},
    router::{DEFAULT_CROSSING_COST, Pick, Router},
};
