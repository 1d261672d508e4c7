//! At-most-once work at the gate: starts a claimed run, completes it and keeps the first response.

use {
    super::{
        ExchangeContext, Gate, OutgoingBody, ResponseBody,
        buffered_body::MAX_AT_MOST_ONCE_BYTES,
        claim_header::ClaimHeader,
        fingerprint::content_fingerprint,
        gate::{GateRefusal, not_run},
    },
    crate::claims::Claims,
    bytes::Bytes,
    http::{Response, request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    jujubeline_coordination::claims::{KeyHash, RecordOutcome, Run, RunReply, key_hash, shard_of},
    jujubeline_core::{Outcome, Refusal, RefusalReason, header_names},
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// The response to at-most-once work, or the refusal and the retries that were not used.
type RunResult = Result<Response<Bytes>, (Refusal, u32)>;

impl Gate {
    /// Runs a key under its claim, or returns the first response. The run continues when the entry node disconnects, so
    /// that its response can be kept and returned to a repeat.
    pub(super) async fn serve_at_most_once(
        self: &Arc<Self>,
        head: request::Parts,
        body: OutgoingBody,
        context: &ExchangeContext,
        claim: ClaimHeader,
    ) -> Result<Response<ResponseBody>, GateRefusal> {
        let refused = |refusal| self.refusal(refusal, &context.entry, context.retries);
        let claims = self
            .claims
            .clone()
            .ok_or_else(|| refused(Refusal::unknown(RefusalReason::StaleEpoch)))?;
        let key = self
            .key(&head)
            .ok_or_else(|| refused(not_run(RefusalReason::KeyMissing)))?;
        let OutgoingBody::Whole(bytes) = &body else {
            return Err(refused(not_run(RefusalReason::TooLarge)));
        };
        let run = match claim.attempt() {
            None => return first_response(&claims, key).await.map_err(refused),
            Some((shard, id)) if shard == shard_of(key) => Run {
                shard,
                key,
                fingerprint: content_fingerprint(&head, bytes),
                id,
            },
            Some(_) => return Err(refused(Refusal::unknown(RefusalReason::BadRequest))),
        };
        let (sender, ended) = oneshot::channel();
        let (gate, claimed) = (Arc::clone(self), context.clone());
        self.tasks.spawn(async move {
            let result = gate.run_claimed(&claims, run, head, body, &claimed).await;
            // The entry node may have disconnected. A complete response has already been passed to the claims, to be
            // kept for a repeat.
            let _ = sender.send(result);
        });
        match ended.await {
            Ok(Ok(response)) => Ok(response.map(ResponseBody::full)),
            Ok(Err((refusal, unused))) => Err(self.refusal(refusal, &context.entry, unused)),
            Err(_) => Err(refused(Refusal::unknown(RefusalReason::OutcomeLost))),
        }
    }

    fn key(&self, head: &request::Parts) -> Option<KeyHash> {
        let key = head.headers.get(header_names::IDEMPOTENCY_KEY)?;
        Some(key_hash(&self.service, key.to_str().ok()?))
    }

    async fn run_claimed(
        self: &Arc<Self>,
        claims: &Claims,
        run: Run,
        head: request::Parts,
        body: OutgoingBody,
        context: &ExchangeContext,
    ) -> RunResult {
        let in_flight = self.exchanges.token();
        let exchange = match self.admit(&head, &body, context, in_flight).await {
            Ok(exchange) => exchange,
            Err(refusal) => {
                let reply = claims.refuse_run(run, refusal.reason()).await;
                return unstarted_result(claims, reply, &run, context.retries, &refusal).await;
            }
        };
        match claims.start_run(run).await {
            RunReply::Start => {}
            reply => {
                drop(exchange);
                let refusal = Refusal::unknown(RefusalReason::Internal);
                return unstarted_result(claims, reply, &run, context.retries, &refusal).await;
            }
        }
        let result = match self.run(head, body, context, exchange).await {
            Ok(response) => collect(response).await.map_err(|refusal| (refusal, 0)),
            Err(refused) => Err(refused),
        };
        let (outcome, kept) = match &result {
            Ok(response) => (RecordOutcome::Done, Some(response.clone())),
            Err((refusal, _)) => (record_outcome(refusal), None),
        };
        claims.finish_run(run, outcome, kept).await;
        result
    }
}

const fn record_outcome(refusal: &Refusal) -> RecordOutcome {
    match refusal.outcome() {
        Outcome::NotRun => RecordOutcome::NotRun,
        Outcome::Ran => RecordOutcome::Done,
        Outcome::Unknown => RecordOutcome::Failed,
    }
}

/// Result for the entry node when the claim was not started here. The retry delay that admission suggested is kept.
async fn unstarted_result(
    claims: &Claims,
    reply: RunReply,
    run: &Run,
    unused: u32,
    cause: &Refusal,
) -> RunResult {
    let refusal = match reply {
        RunReply::Refused(refusal) => match cause.retry_after() {
            Some(after) if refusal.reason() == cause.reason() => refusal.with_retry_after(after),
            _ => refusal,
        },
        RunReply::Answered => match claims.kept_response(run.key).await {
            Some(kept) => return Ok(Response::clone(&kept)),
            None => Refusal::ran(RefusalReason::AnswerExpired),
        },
        // Not reached: `refuse_run` never replies with a start, and the caller handles that of `start_run`.
        RunReply::Start => Refusal::unknown(RefusalReason::Internal),
    };
    Err((refusal, unused))
}

async fn first_response(claims: &Claims, key: KeyHash) -> Result<Response<ResponseBody>, Refusal> {
    let kept = claims
        .kept_response(key)
        .await
        .ok_or(Refusal::ran(RefusalReason::AnswerExpired))?;
    Ok(Response::clone(&kept).map(ResponseBody::full))
}

/// Reads a response to its end. Only a complete response may be kept and repeated.
async fn collect(response: Response<ResponseBody>) -> Result<Response<Bytes>, Refusal> {
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_AT_MOST_ONCE_BYTES).collect().await {
        Ok(collected) => Ok(Response::from_parts(head, collected.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::ran(RefusalReason::TooLarge)),
        Err(_) => Err(Refusal::unknown(RefusalReason::AnswerCutShort)),
    }
}
