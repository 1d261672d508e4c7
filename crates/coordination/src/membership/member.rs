//! Description of a node and its target.

use {
    derive_more::Display,
    jujubeline_core::{DataCentre, Incarnation, NodeId, Region, Revision, ServiceName},
    serde::Serialize,
    std::net::SocketAddr,
};

/// State of the target beside a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Serves, but not at full speed yet; receives a growing share of work.
    #[display("cold")]
    Cold,
    /// Serves at its normal speed.
    #[display("ready")]
    Ready,
    /// Finishes what it has and receives no new work.
    #[display("draining")]
    Draining,
    /// Does not serve: not announced yet, stopped or crashed.
    #[display("gone")]
    Gone,
}

/// Whether a member is thought to be reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Did not answer a probe; may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// Part of a correlated failure; kept and probed at a low rate.
    #[display("unreachable")]
    Unreachable,
    /// Did not answer probes or refute the suspicion in time, or its control address now belongs to another node.
    #[display("dead")]
    Dead,
    /// Left by its own announcement.
    #[display("left")]
    Left,
}

/// A node with its target, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub node: NodeId,
    /// Start of the node process.
    pub incarnation: Incarnation,
    /// Version of the description; the node raises it with each change and to refute a suspicion.
    pub update: u64,
    /// Address for HTTP/2 between nodes.
    pub data_address: SocketAddr,
    /// Address for control messages, UDP and TCP on the same port.
    pub control_address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Service of the target.
    pub service: ServiceName,
    /// State of the target.
    pub target_state: TargetState,
    /// Requests that the target announced it can run together; a hint.
    pub slots: u32,
    /// Catalogue revision in force on the node.
    pub catalogue_revision: Revision,
    /// Whether the node is thought to be reachable.
    pub presence: Presence,
    /// Whether the node states that it cannot read the platform.
    pub platform_unreachable: bool,
}
