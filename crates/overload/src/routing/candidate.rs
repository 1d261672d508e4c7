//! Descriptions of targets and of the entry node, as inputs and outputs of the router.

use {
    derive_more::Display,
    jujubeline_core::{DataCentre, Incarnation, NodeId, Region},
    std::time::Duration,
};

/// State of a target, as announced by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum CandidateState {
    /// Serves requests, but is still warming up and slower than usual.
    #[display("cold")]
    Cold,
    /// Serves requests at its usual speed.
    #[display("ready")]
    Ready,
    /// Receives no new requests.
    #[display("draining")]
    Draining,
}

/// A target of the service, as input of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance of the target.
    pub node: NodeId,
    /// Incarnation of the node beside the target.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// State of the target.
    pub state: CandidateState,
    /// Number of concurrent requests that the target announced; a hint only.
    pub slots: u32,
}

/// Location of the entry node that routes requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLocation {
    /// Name of the entry node.
    pub node: NodeId,
    /// Data centre of the entry node.
    pub data_centre: DataCentre,
    /// Region of the entry node.
    pub region: Region,
}

/// Load that a target reported in a response; a hint only.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Share of the target's capacity in use, 1.0 for all of it.
    pub utilisation: f64,
    /// When one more request would complete; `None` if the report does not say.
    pub completion: Option<ExpectedCompletion>,
}

/// Expected time of one more request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedCompletion {
    /// Time that the target takes to run it, without its calls.
    pub service: Duration,
    /// Time that it waits before.
    pub wait: Duration,
}

/// Routing state of a target, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// Instance of the target.
    pub node: NodeId,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// State of the target.
    pub state: CandidateState,
    /// Share of its usual requests that the target receives: below 1.0 during slow start, 0.0 while ejected or
    /// draining.
    pub weight: f64,
    /// Requests from this node that are in flight at the target.
    pub in_flight: u32,
    /// Moving average of latency; `None` before the first sample.
    pub latency: Option<Duration>,
    /// Expected completion of one more request, as last reported; `None` without a recent report.
    pub completion: Option<ExpectedCompletion>,
    /// Whether the target is ejected because of failures.
    pub ejected: bool,
    /// Whether the target counts as loaded, so that targets of more distant tiers are considered as well.
    pub loaded: bool,
}
