//! How a node would route a request.

use {
    jujubeline_catalogue::{Allowance, Entry},
    jujubeline_core::{Class, DataCentre, NodeId, WorkspaceName},
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc},
};

/// Body of `/explain`.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// Catalogue entry of the request, if there is one.
    pub entry: Option<Arc<Entry>>,
    /// The workspace that was asked for, if the catalogue has it.
    pub workspace: Option<WorkspaceExplanation>,
    /// Share of the requests for the service that leaves the data centre; none while each request decides by the target
    /// that is drawn for it.
    pub leaving_share: Option<f64>,
    /// Targets in the subset of this node.
    pub targets: Vec<TargetExplanation>,
    /// Admission level of the gate of this node.
    pub admission_level: u16,
    /// Reasons for the routing, as sentences for operators.
    pub why: Vec<String>,
}

/// A workspace and what is left of its allowance here. Its keys are not shown.
#[derive(Debug, Clone, Serialize)]
pub struct WorkspaceExplanation {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority among workspaces; 0 is the highest.
    pub priority: u32,
    /// Class of its requests for the entry.
    pub class: Option<Class>,
    /// Limit of its requests through all nodes; none if they are not limited.
    pub allowance: Option<Allowance>,
    /// Tokens that this node holds at the moment; others are lent by the owners of the shares.
    pub tokens: Option<u32>,
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
    /// Time that the target takes for a request, in milliseconds, as its gate reported recently.
    pub service_ms: Option<f64>,
    /// Time that a request waits at the gate before, in milliseconds, as it reported recently.
    pub wait_ms: Option<f64>,
    /// Whether the target is ejected after failures, so that it receives no requests.
    pub ejected: bool,
    /// Admission level that the target's gate last reported.
    pub admission_level: u16,
}
