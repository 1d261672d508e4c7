//! Settings of a node, already checked.

use {
    jujubeline_core::{DataCentre, Dialect, NodeId, Region, ServiceName},
    jujubeline_overload::FleetRetryLimits,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Where the catalogue of a node comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CatalogueSource {
    /// The log of changes that the command-line tool writes.
    #[default]
    ChangeLog,
    /// The configuration that the platform's operators write.
    Configuration,
}

/// Settings of a node. The daemon reads them from flags and environment variables.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the instance.
    pub node: NodeId,
    /// Region of the instance.
    pub region: Region,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Service of the target beside the node.
    pub service: ServiceName,
    /// Address of the target, until it announces another.
    pub target_address: Option<SocketAddr>,
    /// Connections that the node may open to the target.
    pub target_connections: u32,
    /// Requests that the target can run together, until it announces another number.
    pub target_slots: u32,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for HTTP/2 from other nodes.
    pub data_address: SocketAddr,
    /// Address for control messages from other nodes, UDP and TCP.
    pub control_address: SocketAddr,
    /// Address that other nodes are told for HTTP/2, when a relay or an address translation stands before this one.
    pub advertised_data_address: Option<SocketAddr>,
    /// Address that other nodes are told for control messages, in the same case.
    pub advertised_control_address: Option<SocketAddr>,
    /// Address for operators and for the target's announcements.
    pub operators_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: Option<SocketAddr>,
    /// Control addresses of nodes to join through when the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Address at which the deployment asks whether the node is ready, beside the operators' address.
    pub ready_address: Option<SocketAddr>,
    /// What callers and targets speak.
    pub dialect: Arc<Dialect>,
    /// Where the catalogue comes from.
    pub catalogue_source: CatalogueSource,
    /// Lines that the decision log writes in a second at most; 0 for none.
    pub decision_lines_per_s: u32,
    /// Bounds of retries that all nodes keep together, where the deployment states them.
    pub retry_limits: Option<FleetRetryLimits>,
    /// Time for which a node that stops still serves new requests, so that callers notice that it is not ready.
    pub leave_notice: Duration,
    /// Longest time that a planned stop takes, the notice included, before requests in flight are cut off.
    pub stop_grace: Duration,
}

impl NodeSettings {
    /// Settings of a node on loopback that speaks the project's own protocol, with ports that the system chooses and
    /// without target, platform and seeds. For demonstrations and tests, which replace what they need.
    #[must_use]
    pub fn on_loopback(node: &str, data_centre: &str, service: &str) -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            node: node.into(),
            region: "region1".into(),
            data_centre: data_centre.into(),
            service: service.into(),
            target_address: None,
            target_connections: 64,
            target_slots: 8,
            callers_address: free,
            data_address: free,
            control_address: free,
            advertised_data_address: None,
            advertised_control_address: None,
            operators_address: free,
            platform_address: None,
            seeds: Vec::new(),
            ready_address: None,
            dialect: Arc::default(),
            catalogue_source: CatalogueSource::default(),
            decision_lines_per_s: 0,
            retry_limits: None,
            leave_notice: Duration::ZERO,
            stop_grace: Duration::from_secs(5),
        }
    }
}
