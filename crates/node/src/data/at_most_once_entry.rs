//! At-most-once work at the entry node: claims the key, then sends the request to the gate that the owner names or
//! fetches the first response from there.

use {
    super::{
        EntryNode, ExchangeContext, OutgoingBody, ResponseBody,
        attempt_end::retry_reason,
        buffered_body::buffer_whole,
        claim_header::ClaimHeader,
        entry::Accepted,
        fingerprint::content_fingerprint,
        gate::GateRefusal,
        peers::retries_unused,
        service::{Endpoint, Service},
    },
    crate::claims::ClaimDecision,
    bytes::Bytes,
    http::Response,
    hyper::body::Incoming,
    jujubeline_core::{
        Fingerprint, NodeId, NotRunProof, Outcome, Refusal, RefusalReason, header_names,
        stable_hash,
    },
    jujubeline_overload::FailedAttempt,
    std::{sync::Arc, time::Instant},
    tokio::time::timeout_at,
};

impl EntryNode {
    /// Runs a request at most once, or returns the first response to its key. After a refusal that allows a retry, it
    /// claims the key again and asks the owner to avoid the gate that refused.
    pub(super) async fn run_at_most_once(
        &self,
        accepted: &mut Accepted,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, Refusal> {
        // The outcome is unknown until the owner of the key replies, because an earlier exchange may have run the key.
        let body = buffer_whole(body, accepted.context.deadline)
            .await
            .map_err(Refusal::unknown)?;
        let service = self
            .routes
            .service(&accepted.entry.service)
            .ok_or(Refusal::unknown(RefusalReason::NoTarget))?;
        let key = accepted.key()?;
        service.record_arrival(stable_hash(key.as_bytes()), Instant::now());
        let fingerprint = content_fingerprint(&accepted.head, &body);
        let mut avoid = None;
        loop {
            let decision = self.claim(accepted, &key, fingerprint, avoid).await?;
            let (node, claim) = match decision {
                ClaimDecision::Refused(refusal) => return Err(refusal),
                ClaimDecision::Run { gate, run } => (gate.gate.node, ClaimHeader::of(&run)),
                ClaimDecision::Answered { gate } => (gate.gate.node, ClaimHeader::FirstResponse),
            };
            let refusal = match self
                .send_claimed(accepted, &service, &node, claim, &body)
                .await
            {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            if claim == ClaimHeader::FirstResponse {
                return Err(first_response_refused(&refusal));
            }
            if !self.may_claim_again(accepted, &service, &refusal) {
                return Err(refusal);
            }
            avoid = Some(node);
        }
    }

    async fn claim(
        &self,
        accepted: &Accepted,
        key: &str,
        fingerprint: Fingerprint,
        avoid: Option<NodeId>,
    ) -> Result<ClaimDecision, Refusal> {
        let claims = self
            .claims
            .as_ref()
            .ok_or(Refusal::unknown(RefusalReason::OwnerUnreachable))?;
        let claiming = claims.claim(
            &accepted.entry.service,
            key,
            fingerprint,
            &self.data_centre,
            avoid,
        );
        timeout_at(accepted.context.deadline.into(), claiming)
            .await
            .map_err(|_| Refusal::unknown(RefusalReason::Deadline))
    }

    async fn send_claimed(
        &self,
        accepted: &mut Accepted,
        service: &Service,
        node: &NodeId,
        claim: ClaimHeader,
        body: &Bytes,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let grant = accepted.allowance.grant(&self.hops);
        let context = ExchangeContext {
            retries: grant.count(),
            claim: Some(claim),
            ..accepted.context.clone()
        };
        let outgoing = OutgoingBody::Whole(body.clone());
        let result = match service.endpoint(node) {
            Some(Endpoint::Remote(peer)) => {
                self.peers
                    .send(&peer, &accepted.head, outgoing, &context)
                    .await
            }
            Some(Endpoint::Local) => {
                self.gate
                    .serve(accepted.head.clone(), outgoing, &context)
                    .await
            }
            // Nothing was sent, so this attempt can never start.
            None => Err(GateRefusal::new(
                Refusal::not_run(NotRunProof::NeverSent, RefusalReason::NoTarget),
                context.retries,
            )),
        };
        let returned = match &result {
            Ok(response) => retries_unused(response.headers()),
            Err(refused) => Some(refused.retries_unused),
        };
        accepted.allowance.settle(&self.hops, grant, returned);
        result.map_err(|refused| refused.refusal)
    }

    fn may_claim_again(
        &self,
        accepted: &mut Accepted,
        service: &Arc<Service>,
        refusal: &Refusal,
    ) -> bool {
        let Some(reason) = retry_reason(refusal) else {
            return false;
        };
        let attempt = FailedAttempt {
            reason,
            reached_target: true,
            outcome: refusal.outcome(),
            idempotent: false,
            deadline: accepted.context.deadline,
            expected: service.expected_latency(),
        };
        self.decide_retry(accepted, service, &attempt)
    }
}

/// Sets the outcome of a refusal to return the first response to `ran`, because the key has run.
fn first_response_refused(refusal: &Refusal) -> Refusal {
    match refusal.outcome() {
        Outcome::Ran => refusal.clone(),
        Outcome::NotRun | Outcome::Unknown => Refusal::ran(refusal.reason()),
    }
}

impl Accepted {
    fn key(&self) -> Result<String, Refusal> {
        self.head
            .headers
            .get(header_names::IDEMPOTENCY_KEY)
            .and_then(|key| key.to_str().ok())
            .map(str::to_owned)
            .ok_or(Refusal::not_run(
                NotRunProof::RejectedAtEntry,
                RefusalReason::KeyMissing,
            ))
    }
}
