//! How a node would route a request.

use {
    jujubeline_catalogue::Entry,
    jujubeline_core::{DataCentre, NodeId},
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc},
};

/// Body of `/explain`.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// Catalogue entry of the request, if there is one.
    pub entry: Option<Arc<Entry>>,
    /// Targets in the subset of this node.
    pub targets: Vec<TargetExplanation>,
    /// Admission level of the gate of this node.
    pub admission_level: u16,
    /// Reasons for the routing, as sentences for operators.
    pub why: Vec<String>,
}

/// A target that the router may choose.
#[derive(Debug, Clone, Serialize)]
pub struct TargetExplanation {
    /// Name of the instance.
    pub node: NodeId,
    /// Address of its gate.
    pub address: Option<SocketAddr>,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// State of the target.
    pub state: String,
    /// Share of its usual work that the target receives: below 1.0 during slow start, 0.0 while the target is ejected
    /// or draining.
    pub weight: f64,
    /// Requests from this node in flight at the target.
    pub in_flight: u32,
    /// Mean latency in milliseconds; none before the first measurement.
    pub latency_ms: Option<f64>,
    /// Whether the target is ejected after failures, so that it receives no requests.
    pub ejected: bool,
    /// Admission level that the target's gate last reported.
    pub admission_level: u16,
}
