//! Calls to other nodes, as closures that the control plane supplies.

use {
    derive_more::{Display, Error},
    futures::future::BoxFuture,
    jujubeline_coordination::claims::{
        Adopt, AdoptReply, Claim, ClaimReply, Completed, Fence, FenceReply, GateId, RegisteredGate,
        Resolve, ResolveReply,
    },
    jujubeline_core::ServiceName,
    std::{net::SocketAddr, sync::Arc},
};

/// A call to another node got no reply. The node may have handled it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the node did not reply")]
pub struct CallFailed;

/// Result of a call to another node.
pub type CallResult<R> = Result<R, CallFailed>;

/// A call to the node at a control address.
pub type PeerCall<Q, R> =
    Arc<dyn Fn(SocketAddr, Q) -> BoxFuture<'static, CallResult<R>> + Send + Sync>;

/// Finds the live nodes of a service, those in the node's own data centre first.
pub type PeerLookup = Arc<dyn Fn(&ServiceName) -> Vec<ClaimPeer> + Send + Sync>;

/// Looks up a property of a gate in the member list or the catalogue.
pub type GateLookup<R> = Arc<dyn Fn(&GateId) -> R + Send + Sync>;

/// A live node of a service, which can name the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPeer {
    /// Address for control messages.
    pub control_address: SocketAddr,
}

/// Reply of a node to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The node owns the shard and has decided.
    Decided {
        /// Decision on the claim.
        reply: ClaimReply,
        /// Registration of the gate that the decision names; none if it names none or the gate is not registered.
        gate: Option<RegisteredGate>,
    },
    /// Another node owns the shard.
    Owner(RegisteredGate),
    /// The node has no owner for the shard in its table, or belongs to another service.
    NoOwner,
}

/// What the control plane provides to claims: calls to other nodes, and lookups in the member list and the catalogue.
///
/// Each call must end within a deadline of its own.
#[derive(Clone)]
pub struct ClaimCalls {
    /// Sends a claim to a node of the service, which decides on it or names the owner.
    pub claim: PeerCall<(ServiceName, Claim), ClaimAnswer>,
    /// Reports the end of an attempt to the owner.
    pub completed: PeerCall<Completed, ()>,
    /// Queries a gate for the outcome of an attempt.
    pub resolve: PeerCall<Resolve, ResolveReply>,
    /// Fences a gate, so that it rejects earlier epochs of a shard.
    pub fence: PeerCall<Fence, FenceReply>,
    /// Copies records to a gate.
    pub adopt: PeerCall<Adopt, AdoptReply>,
    /// Live nodes of a service, those in the node's own data centre first.
    pub peers: PeerLookup,
    /// Whether membership considers a gate alive. A wrong result costs a takeover, never safety.
    pub is_alive: GateLookup<bool>,
    /// Whether the operators have retired an instance. A wrong result costs safety.
    pub is_retired: GateLookup<bool>,
    /// Load of a gate; none if it takes no new work.
    pub load: GateLookup<Option<f64>>,
}

impl std::fmt::Debug for ClaimCalls {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ClaimCalls").finish_non_exhaustive()
    }
}
