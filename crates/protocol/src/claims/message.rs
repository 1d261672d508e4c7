//! Plain types of the at-most-once calls, in addition to those of `jujubeline_coordination::claims`.

use {
    jujubeline_coordination::claims::{
        Adopt, Claim, ClaimReply, Completed, Fence, GateId, RegisteredGate, Resolve,
    },
    jujubeline_core::{Epoch, ServiceName, ShardId},
};

/// Request that a node takes over a shard from a live owner that is stopping.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// Shard to take over.
    pub shard: ShardId,
    /// Epoch under which `from` owns the shard.
    pub epoch: Epoch,
    /// Present owner, which is stopping.
    pub from: GateId,
}

/// Answer of a node to a claim, whether or not it owns the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The node owns the shard and has decided on the claim.
    Decided {
        /// The decision of the owner.
        reply: ClaimReply,
        /// The gate that the reply names, with its registered address and data centre; `None` if it names none or the
        /// gate is not registered.
        gate: Option<RegisteredGate>,
    },
    /// Another node owns the shard; the claim is to be sent there.
    Owner(RegisteredGate),
    /// The node does not own the shard and does not know which node does.
    NoOwner,
}

/// Request of an at-most-once call, one variant for each method of the `Node` interface that concerns claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimRequest {
    /// `claim`, answered by a [`ClaimAnswer`].
    Claim(Claim),
    /// `completed`, answered without content.
    Completed(Completed),
    /// `resolve`, answered by a `ResolveResult`.
    Resolve(Resolve),
    /// `fence`, answered by a `FenceReply`.
    Fence(Fence),
    /// `adopt`, answered by an `AdoptReply`.
    Adopt(Adopt),
    /// `handOver`, answered with whether the receiver accepts the shard.
    HandOver(HandOver),
}

/// An at-most-once call, as the control plane passes it to the component that holds the claim records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimCall {
    /// Service whose idempotency keys the call concerns.
    pub service: ServiceName,
    /// Method and arguments of the call.
    pub request: ClaimRequest,
}
