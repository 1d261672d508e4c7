//! What the control plane shows to the data path, and the other way round.

use {
    crate::NodeSettings,
    jujubeline_catalogue::CatalogueState,
    jujubeline_coordination::membership::{Member, TargetState},
    jujubeline_core::ProcessId,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{Notify, watch},
};

/// The catalogue in force.
pub type CatalogueView = watch::Receiver<Arc<CatalogueState>>;

/// All known members, this node included.
pub type MemberView = watch::Receiver<Arc<Vec<Member>>>;

/// What the target beside this node last announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalTarget {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its process, if the deployment tells targets apart by process.
    pub process: Option<ProcessId>,
    /// Its state.
    pub state: TargetState,
    /// Requests that it can run together.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Path of its health check, if the deployment states one.
    pub health_path: Option<String>,
}

impl LocalTarget {
    /// A target whose address is in the settings is taken as ready until it announces another state. Without an address,
    /// or where targets are told apart by process, there is no target before its announcement.
    #[must_use]
    pub fn initial(settings: &NodeSettings) -> Self {
        Self {
            address: settings.target_address,
            process: None,
            state: match settings.target_address {
                Some(_) if settings.dialect.target_process.is_none() => TargetState::Ready,
                Some(_) | None => TargetState::Gone,
            },
            slots: settings.target_slots,
            connections: settings.target_connections,
            health_path: None,
        }
    }
}

/// Channels between control plane and data path.
#[derive(Debug, Clone)]
pub struct Views {
    /// The catalogue in force, written by the control plane.
    pub catalogue: CatalogueView,
    /// The members, written by the control plane.
    pub members: MemberView,
    /// The local target, written by the operators' address and the data path, spread by the control plane.
    pub local_target: Arc<watch::Sender<LocalTarget>>,
    /// Notified when somebody wants the catalogue revisions of all members to be up to date.
    pub revisions_wanted: Arc<Notify>,
}
