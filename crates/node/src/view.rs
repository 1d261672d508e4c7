//! State that the control plane and the data path share.

use {
    crate::NodeSettings,
    jujubeline_catalogue::CatalogueState,
    jujubeline_coordination::membership::{Member, TargetState},
    jujubeline_core::ProcessId,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{Notify, watch},
};

/// Receiver of the catalogue in effect.
pub type CatalogueView = watch::Receiver<Arc<CatalogueState>>;

/// Receiver of all known members, this node included.
pub type MemberView = watch::Receiver<Arc<Vec<Member>>>;

/// State of the target beside this node: as in the settings at first, then as announced by the target, given in the
/// configuration, or found by crash detection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalTarget {
    /// Address that the target listens on; none if neither the settings nor an announcement gave one.
    pub address: Option<SocketAddr>,
    /// Process of the target, where the deployment identifies targets by process.
    pub process: Option<ProcessId>,
    /// Start of that process in milliseconds since the Unix epoch, if it is known.
    pub born_ms: Option<u64>,
    /// Announced state, or the one found by crash detection: gone after a crash, cold once the target accepts
    /// connections again. Draining and then gone while this node stops.
    pub state: TargetState,
    /// Requests that the target can run at the same time.
    pub slots: u32,
    /// Maximum number of connections to the target.
    pub connections: u32,
    /// Path of the target's health check, if the deployment states one.
    pub health_path: Option<String>,
}

impl LocalTarget {
    /// The state before the first announcement. A target whose address is in the settings counts as ready; without an
    /// address, or where targets are identified by process, it counts as gone.
    #[must_use]
    pub fn initial(settings: &NodeSettings) -> Self {
        Self {
            address: settings.target_address,
            process: None,
            born_ms: None,
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

/// Channels that the control plane and the data path share. Clones use the same channels.
#[derive(Debug, Clone)]
pub struct Views {
    /// The catalogue in effect, written by the control plane.
    pub catalogue: CatalogueView,
    /// The members, written by the control plane.
    pub members: MemberView,
    /// The local target, written by the operators' server and the data path; the control plane sends changes to other
    /// nodes.
    pub local_target: Arc<watch::Sender<LocalTarget>>,
    /// Notified by a status request, after which the control plane queries members with an outdated catalogue revision.
    pub revision_query: Arc<Notify>,
}
