//! Validated settings of a node.

use {
    jujubeline_core::{DataCentre, Dialect, NodeId, Region, ServiceName},
    jujubeline_overload::{DEFAULT_CROSSING_COST, FleetRetryLimits},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Object at the platform from which a node reads its catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CatalogueSource {
    /// The change log, written by the command-line tool.
    #[default]
    ChangeLog,
    /// The configuration, written by the platform's operators.
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
    /// Requests that the target can run at the same time, until it announces another number.
    pub target_slots: u32,
    /// Address to bind for requests from callers.
    pub callers_address: SocketAddr,
    /// Address to bind for HTTP/2 requests from other nodes.
    pub data_address: SocketAddr,
    /// Address to bind for control messages from other nodes, UDP and TCP.
    pub control_address: SocketAddr,
    /// Address advertised to other nodes for HTTP/2, where a relay or an address translation stands in front of
    /// `data_address`.
    pub advertised_data_address: Option<SocketAddr>,
    /// Address advertised to other nodes for control messages, where a relay or an address translation stands in front
    /// of `control_address`.
    pub advertised_control_address: Option<SocketAddr>,
    /// Address to bind for operators and for the target's announcements.
    pub operators_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: Option<SocketAddr>,
    /// Control addresses of nodes to join through when the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Additional address for the deployment's readiness checks. It serves the same paths as the operators' address.
    pub ready_address: Option<SocketAddr>,
    /// Header names, paths and body formats that callers and targets use.
    pub dialect: Arc<Dialect>,
    /// Object at the platform from which the catalogue is read.
    pub catalogue_source: CatalogueSource,
    /// Maximum number of lines per second that the decision log writes; 0 writes none.
    pub decision_lines_per_s: u32,
    /// Retry limits that all nodes enforce together, if the deployment sets any.
    pub retry_limits: Option<FleetRetryLimits>,
    /// Time that leaving the data centre must save a request to be worth its price.
    pub crossing_cost: Duration,
    /// Time for which a stopping node still serves new requests, so that callers can notice from its readiness check
    /// that it stops.
    pub leave_notice: Duration,
    /// Maximum duration of a planned stop, `leave_notice` included, before requests in flight are cut off.
    pub stop_grace: Duration,
}

impl NodeSettings {
    /// Settings of a node on loopback that uses the project's own protocol, with ports that the system chooses and
    /// without target, platform and seeds. For demonstrations and tests, which override single fields.
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
            crossing_cost: DEFAULT_CROSSING_COST,
            leave_notice: Duration::ZERO,
            stop_grace: Duration::from_secs(5),
        }
    }
}
