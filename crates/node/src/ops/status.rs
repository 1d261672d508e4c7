//! Status of a node.

use {
    jujubeline_coordination::membership::{Member, TargetState},
    jujubeline_core::{DataCentre, Incarnation, NodeId, Region, Revision, ServiceName},
    serde::Serialize,
    std::sync::Arc,
};

/// Body of `/status`.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub node: NodeId,
    /// Incarnation of the node, taken from the start time of its process.
    pub incarnation: Incarnation,
    /// Region of the instance.
    pub region: Region,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Service of the local target.
    pub service: ServiceName,
    /// State of the local target.
    pub target_state: TargetState,
    /// Catalogue revision in effect; 0 without a catalogue.
    pub catalogue_revision: Revision,
    /// Known members, this node included.
    pub members: Arc<Vec<Member>>,
}
