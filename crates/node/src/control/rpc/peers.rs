//! Calls to other nodes from any task.

use {
    super::{
        call::{CallFailure, ClaimsReply, Command, Reply, Request},
        connections::CallCounts,
    },
    crate::control::{
        error::{ControlError, ControlResult, report},
        unreadable_members::UnreadableMembers,
    },
    jujubeline_catalogue::Difference,
    jujubeline_coordination::membership::Member,
    jujubeline_core::{Peer, Revision, Step},
    jujubeline_protocol::claims::ClaimCall,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Calls to other nodes. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Peers {
    commands: mpsc::Sender<Command>,
    counts: Arc<CallCounts>,
    unreadable: Arc<UnreadableMembers>,
}

impl Peers {
    pub(super) const fn new(
        commands: mpsc::Sender<Command>,
        counts: Arc<CallCounts>,
        unreadable: Arc<UnreadableMembers>,
    ) -> Self {
        Self {
            commands,
            counts,
            unreadable,
        }
    }

    /// Counters of calls on connections that went silent.
    #[must_use]
    pub fn counts(&self) -> Arc<CallCounts> {
        Arc::clone(&self.counts)
    }

    /// Members that the peer lists in the buckets that differ from `digest`; all members that it lists if `digest` is
    /// empty. Those that cannot be read are left out.
    ///
    /// # Errors
    ///
    /// When no valid reply of the peer arrives before the deadline.
    pub async fn members(
        &self,
        to: SocketAddr,
        digest: Vec<u64>,
        deadline: Duration,
    ) -> ControlResult<Vec<Member>> {
        let request = Request::Members(digest);
        match self.call(to, Step::Membership, request, deadline).await? {
            Reply::Members(members) => Ok(self.unreadable.note(to, members)),
            _ => Err(unexpected(to, Step::Membership)),
        }
    }

    /// The difference between catalogue revision `revision` and the one in effect at the peer.
    ///
    /// # Errors
    ///
    /// When no valid reply of the peer arrives before the deadline.
    pub async fn catalogue_since(
        &self,
        to: SocketAddr,
        revision: Revision,
        deadline: Duration,
    ) -> ControlResult<Difference> {
        let request = Request::CatalogueSince(revision);
        match self.call(to, Step::Catalogue, request, deadline).await? {
            Reply::Difference(difference) => Ok(difference),
            _ => Err(unexpected(to, Step::Catalogue)),
        }
    }

    /// Makes a claim call.
    ///
    /// # Errors
    ///
    /// [`ControlError::NotSent`] when the call certainly had no effect, [`ControlError::CallLost`] when the call may
    /// have had an effect.
    pub async fn call_claims(
        &self,
        to: SocketAddr,
        call: ClaimCall,
        deadline: Duration,
    ) -> ControlResult<ClaimsReply> {
        let request = Request::Claims(call);
        match self.call(to, Step::Claim, request, deadline).await? {
            Reply::Claims(reply) => Ok(reply),
            _ => Err(unexpected(to, Step::Claim)),
        }
    }

    async fn call(
        &self,
        to: SocketAddr,
        step: Step,
        request: Request,
        deadline: Duration,
    ) -> ControlResult<Reply> {
        let peer = Peer::Node(to.to_string());
        let (reply, replied) = oneshot::channel();
        let command = Command {
            to,
            request,
            deadline,
            reply,
        };
        if self.commands.try_send(command).is_err() {
            let detail = "too many calls wait, or the control plane has stopped";
            return Err(report(ControlError::NotSent, step, peer, detail));
        }
        match replied.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(failure)) => {
                let error = match failure {
                    CallFailure::NotSent { .. } => ControlError::NotSent,
                    CallFailure::Lost { .. } => ControlError::CallLost,
                };
                Err(report(error, step, peer, failure.to_string()))
            }
            Err(_) => {
                let detail = "the control plane stopped during the call";
                Err(report(ControlError::CallLost, step, peer, detail))
            }
        }
    }
}

fn unexpected(to: SocketAddr, step: Step) -> error_stack::Report<ControlError> {
    report(
        ControlError::CallLost,
        step,
        Peer::Node(to.to_string()),
        "the reply belongs to another call",
    )
}
