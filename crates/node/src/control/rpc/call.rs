//! Calls and replies as types that, unlike those of `capnp-rpc`, can be sent between threads.

use {
    derive_more::{Display, Error, From},
    jujubeline_catalogue::Difference,
    jujubeline_coordination::{
        claims::{AdoptReply, FenceReply, ResolveReply},
        membership::Member,
    },
    jujubeline_core::Revision,
    jujubeline_protocol::{
        Decoded,
        claims::{ClaimAnswer, ClaimCall},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::sync::oneshot,
};

/// Request to another node.
#[derive(Debug, Clone, From)]
pub(super) enum Request {
    Members(Vec<u64>),
    CatalogueSince(Revision),
    Claims(ClaimCall),
}

impl Request {
    /// Whether the request changes nothing at the peer, so that it may be sent twice.
    pub(super) const fn is_read(&self) -> bool {
        matches!(self, Self::Members(_) | Self::CatalogueSince(_))
    }
}

/// Reply of another node.
#[derive(Debug)]
pub(super) enum Reply {
    Members(Decoded<Vec<Member>>),
    Difference(Difference),
    Claims(ClaimsReply),
}

/// Reply to a call about at-most-once work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimsReply {
    /// Reply to `claim`: the decision, or the owner if it is another node.
    Claim(ClaimAnswer),
    /// Acknowledgement of `completed`.
    Done,
    /// Reply to `resolve`: what the gate has recorded.
    Resolved(ResolveReply),
    /// Reply to `fence`: whether the gate accepts it, and its records.
    Fenced(FenceReply),
    /// Reply to `adopt`: the keys of the copied records.
    Adopted(AdoptReply),
    /// Reply to `handOver`: whether the receiver accepts.
    HandOver(bool),
}

/// A claim call from another node. If the reply channel is dropped unused, the caller gets an error.
#[derive(Debug)]
pub struct ClaimsCall {
    /// Service and request of the call.
    pub call: ClaimCall,
    /// Channel for the reply.
    pub reply: oneshot::Sender<ClaimsReply>,
}

/// Why a call gave no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(super) enum CallFailure {
    /// The call was not sent, so it certainly had no effect.
    #[display("not sent: {detail}")]
    NotSent { detail: String },
    /// The call was sent and may have had an effect.
    #[display("no reply: {detail}")]
    Lost { detail: String },
}

/// A call that is queued for the RPC thread.
#[derive(Debug)]
pub(super) struct Command {
    pub(super) to: SocketAddr,
    pub(super) request: Request,
    pub(super) deadline: Duration,
    pub(super) reply: oneshot::Sender<Result<Reply, CallFailure>>,
}
