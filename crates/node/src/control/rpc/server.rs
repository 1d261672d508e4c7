//! Server for calls from other nodes.

use {
    super::call::{ClaimsCall, ClaimsReply},
    crate::control::{CatalogueHandle, membership_actor::MembershipHandle},
    capnp::{Error, capability::Rc},
    jujubeline_protocol::{
        MAX_DIGEST_BUCKETS, ProtocolError,
        claims::{
            ClaimCall, ClaimRequest, read_adopt, read_claim, read_completed, read_fence,
            read_hand_over, read_resolve, read_service, write_adopt_reply, write_claim_answer,
            write_fence_reply, write_resolve_result,
        },
        node_capnp::node,
        write_difference, write_members,
    },
    std::{
        cell::Cell,
        sync::{Arc, OnceLock},
    },
    tokio::{
        sync::{Semaphore, SemaphorePermit, mpsc, oneshot},
        time::Instant,
    },
};

/// Maximum number of calls from other nodes that run at once.
pub(super) const MAX_CALLS: usize = 1_024;

/// Channel to the task that handles claim calls; empty until that task is set up.
pub(in crate::control) type ClaimsSlot = Arc<OnceLock<mpsc::Sender<ClaimsCall>>>;

/// Parts of the node that answer the calls.
#[derive(Debug, Clone)]
pub(in crate::control) struct Services {
    pub(in crate::control) membership: MembershipHandle,
    pub(in crate::control) catalogue: CatalogueHandle,
    pub(in crate::control) claims: ClaimsSlot,
}

/// The server object of the RPC interface on one connection.
pub(super) struct NodeServer {
    services: Services,
    calls: Rc<Semaphore>,
    last_used: Rc<Cell<Instant>>,
}

impl NodeServer {
    /// A server that stores the time of its last call in `last_used`. All connections share `calls`.
    pub(super) const fn new(
        services: Services,
        calls: Rc<Semaphore>,
        last_used: Rc<Cell<Instant>>,
    ) -> Self {
        Self {
            services,
            calls,
            last_used,
        }
    }

    fn permit(&self) -> Result<SemaphorePermit<'_>, Error> {
        self.last_used.set(Instant::now());
        self.calls
            .try_acquire()
            .map_err(|_| Error::overloaded("too many calls from other nodes".to_owned()))
    }

    async fn claims(
        &self,
        service: capnp::text::Reader<'_>,
        request: ClaimRequest,
    ) -> Result<ClaimsReply, Error> {
        let call = ClaimCall {
            service: read_service(service)?,
            request,
        };
        let slot = self.services.claims.get();
        let claims = slot.ok_or_else(|| Error::failed("claims are not served".to_owned()))?;
        let (reply, replied) = oneshot::channel();
        claims
            .try_send(ClaimsCall { call, reply })
            .map_err(|_| Error::overloaded("too many claims wait".to_owned()))?;
        replied
            .await
            .map_err(|_| Error::failed("the claim was dropped".to_owned()))
    }
}

fn unexpected() -> Error {
    Error::failed("the reply belongs to another call".to_owned())
}

impl node::Server for NodeServer {
    async fn members(
        self: Rc<Self>,
        params: node::MembersParams,
        mut results: node::MembersResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let digest = params.get()?.get_digest()?;
        if digest.len() as usize > MAX_DIGEST_BUCKETS {
            return Err(ProtocolError::TooLarge {
                field: "digest",
                size: digest.len() as usize,
                bound: MAX_DIGEST_BUCKETS,
            }
            .into());
        }
        let digest: Vec<u64> = digest.iter().collect();
        let members = self
            .services
            .membership
            .members_differing_from(digest)
            .await
            .ok_or_else(|| Error::failed("membership has stopped".to_owned()))?;
        write_members(&members, |len| results.get().init_members(len))?;
        Ok(())
    }

    async fn catalogue_since(
        self: Rc<Self>,
        params: node::CatalogueSinceParams,
        mut results: node::CatalogueSinceResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let revision = params.get()?.get_revision();
        let difference = self.services.catalogue.since(revision);
        write_difference(results.get().init_difference(), &difference)?;
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: node::ClaimParams,
        mut results: node::ClaimResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let params = params.get()?;
        let request = ClaimRequest::Claim(read_claim(params.get_claim()?)?);
        let ClaimsReply::Claim(reply) = self.claims(params.get_service()?, request).await? else {
            return Err(unexpected());
        };
        write_claim_answer(results.get().init_answer(), &reply);
        Ok(())
    }

    async fn completed(
        self: Rc<Self>,
        params: node::CompletedParams,
        _: node::CompletedResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let params = params.get()?;
        let request = ClaimRequest::Completed(read_completed(params.get_completed()?)?);
        match self.claims(params.get_service()?, request).await? {
            ClaimsReply::Done => Ok(()),
            _ => Err(unexpected()),
        }
    }

    async fn resolve(
        self: Rc<Self>,
        params: node::ResolveParams,
        mut results: node::ResolveResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let params = params.get()?;
        let request = ClaimRequest::Resolve(read_resolve(params.get_ask()?)?);
        let reply = self.claims(params.get_service()?, request).await?;
        let ClaimsReply::Resolved(reply) = reply else {
            return Err(unexpected());
        };
        write_resolve_result(results.get().init_result(), reply.result);
        Ok(())
    }

    async fn fence(
        self: Rc<Self>,
        params: node::FenceParams,
        mut results: node::FenceResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let params = params.get()?;
        let request = ClaimRequest::Fence(read_fence(params.get_fence()?)?);
        let ClaimsReply::Fenced(reply) = self.claims(params.get_service()?, request).await? else {
            return Err(unexpected());
        };
        write_fence_reply(results.get().init_reply(), &reply)?;
        Ok(())
    }

    async fn adopt(
        self: Rc<Self>,
        params: node::AdoptParams,
        mut results: node::AdoptResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let params = params.get()?;
        let request = ClaimRequest::Adopt(read_adopt(params.get_adopt()?)?);
        let ClaimsReply::Adopted(reply) = self.claims(params.get_service()?, request).await? else {
            return Err(unexpected());
        };
        write_adopt_reply(results.get().init_reply(), &reply)?;
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: node::HandOverParams,
        mut results: node::HandOverResults,
    ) -> Result<(), Error> {
        let _permit = self.permit()?;
        let params = params.get()?;
        let request = ClaimRequest::HandOver(read_hand_over(params.get_hand_over()?)?);
        let reply = self.claims(params.get_service()?, request).await?;
        let ClaimsReply::HandOver(accepted) = reply else {
            return Err(unexpected());
        };
        results.get().set_accepted(accepted);
        Ok(())
    }
}
