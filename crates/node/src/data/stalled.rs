//! Sends a request to the target, and sends it again over a new connection when the first connection stalls.

use {
    super::{
        ExchangeContext, Gate, OutgoingBody,
        forward_headers::remaining_ms,
        gate::pool_refusal,
        hops::HopGuard,
        target_pool::{Lease, MAX_FRESH_IDLE},
    },
    http::{HeaderValue, Request, Response},
    hyper::{body::Incoming, client::conn::TrySendError},
    jujubeline_core::{NotRunProof, Refusal, RefusalReason, RetryReason},
    jujubeline_overload::{ProbeKind, StallAction, StallDetector},
    std::{
        future::Future,
        pin::{Pin, pin},
        time::{Duration, Instant},
    },
    tokio::time::{sleep_until, timeout_at},
};

/// Connections that are tried when the target closes an idle connection before it has received the request.
const MAX_UNSENT_TRIES: u32 = 3;

/// Time between two checks of whether a waiting request may be sent again.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

type SendResult = Result<Response<Incoming>, TrySendError<Request<OutgoingBody>>>;

/// One request to the target, with the exchange that it belongs to.
pub struct Sending<'a> {
    gate: &'a Gate,
    deadline: Instant,
    /// Whether the request may run more than once.
    may_repeat: bool,
    /// Id that the caller gave to the attempt.
    attempt: Option<HeaderValue>,
    hop: &'a HopGuard,
    lease: &'a mut Option<Lease>,
}

impl<'a> Sending<'a> {
    /// Prepares to send a request. The connection that carries the response is put into `lease`.
    pub const fn new(
        gate: &'a Gate,
        context: &ExchangeContext,
        attempt: Option<HeaderValue>,
        hop: &'a HopGuard,
        lease: &'a mut Option<Lease>,
    ) -> Self {
        Self {
            gate,
            deadline: context.deadline,
            may_repeat: context.may_repeat,
            attempt,
            hop,
            lease,
        }
    }

    /// Sends the request over a pooled connection. A connection that the target closed before it received the request
    /// is replaced. This does not count as a retry, because nothing was sent.
    ///
    /// # Errors
    ///
    /// The refusal, with the outcome as far as it is known.
    pub async fn send(
        mut self,
        mut request: Request<OutgoingBody>,
    ) -> Result<Response<Incoming>, Refusal> {
        let max_idle = (!self.may_repeat).then_some(MAX_FRESH_IDLE);
        for _ in 0..MAX_UNSENT_TRIES {
            let lease = self
                .gate
                .pool
                .lease(max_idle, self.deadline)
                .await
                .map_err(|error| pool_refusal(&error))?;
            let lease = self.lease.insert(lease);
            write_deadline(self.gate, self.deadline, &mut request);
            let again = if self.may_repeat {
                copy(&request)
            } else {
                None
            };
            let sending = lease.sender().try_send_request(request);
            match self.wait(sending, again).await? {
                Ok(response) => return Ok(response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Refusal::unknown(RefusalReason::OutcomeLost)),
                },
            }
        }
        Err(Refusal::not_run(
            NotRunProof::RefusedByGate,
            RefusalReason::TargetUnreachable,
        ))
    }

    async fn wait(
        &mut self,
        sending: impl Future<Output = SendResult>,
        again: Option<Request<OutgoingBody>>,
    ) -> Result<SendResult, Refusal> {
        let mut sending = pin!(sending);
        let sent_at = Instant::now();
        let stall = sent_at + StallDetector::stall_timeout(Duration::ZERO);
        if let Ok(sent) = timeout_at(stall.min(self.deadline).into(), sending.as_mut()).await {
            return Ok(sent);
        }
        if let Some(again) = again {
            // Boxed to keep this future small: only slow requests get here.
            return Box::pin(self.wait_or_resend(sending, again, sent_at)).await;
        }
        self.wait_until_deadline(sending).await
    }

    async fn wait_until_deadline(
        &self,
        sending: Pin<&mut impl Future<Output = SendResult>>,
    ) -> Result<SendResult, Refusal> {
        timeout_at(self.deadline.into(), sending)
            .await
            .map_err(|_| Refusal::unknown(RefusalReason::Deadline))
    }

    /// Waits on a connection that delivers nothing. After the stall timeout the request is sent again over a new
    /// connection, which counts as a retry. If the response over the new connection comes first and is no failure, the
    /// stalled connection is closed.
    async fn wait_or_resend(
        &mut self,
        mut sending: Pin<&mut impl Future<Output = SendResult>>,
        mut again: Request<OutgoingBody>,
        sent_at: Instant,
    ) -> Result<SendResult, Refusal> {
        let mut detector = StallDetector::new(ProbeKind::FreshConnection, sent_at);
        detector.request_sent(sent_at);
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                return Err(Refusal::unknown(RefusalReason::Deadline));
            }
            let check_at = match detector.check(self.gate.admission.latency_p99(), now) {
                StallAction::CheckAt(at) => at,
                StallAction::Idle => self.deadline,
                StallAction::Probe(_) | StallAction::Replace => break,
            };
            tokio::select! {
                sent = sending.as_mut() => return Ok(sent),
                () = sleep_until(check_at.min(self.deadline).into()) => {}
            }
        }
        let mut probe = loop {
            // Nothing is sent again to a target that is draining or gone.
            if !self.gate.takes_work() {
                return self.wait_until_deadline(sending).await;
            }
            if let Some(probe) = Probe::begin(self.gate) {
                break probe;
            }
            let check_at = Instant::now() + PROBE_CHECK_INTERVAL;
            tokio::select! {
                sent = sending.as_mut() => return Ok(sent),
                () = sleep_until(check_at.min(self.deadline).into()) => {}
            }
            if Instant::now() >= self.deadline {
                return Err(Refusal::unknown(RefusalReason::Deadline));
            }
        };
        if !self.gate.admission.admit_copy() || !self.hop.spend() {
            drop(probe);
            return self.wait_until_deadline(sending).await;
        }
        let Ok(mut fresh) = self.gate.pool.lease_new(self.deadline).await else {
            return self.wait_until_deadline(sending).await;
        };
        self.gate
            .metrics
            .count_retry(RetryReason::ConnectionStalled);
        write_deadline(self.gate, self.deadline, &mut again);
        let mut second = pin!(fresh.sender().try_send_request(again));
        let (first, second) = tokio::select! {
            first = sending.as_mut() => {
                if self.completes(&first) {
                    return Ok(first);
                }
                (first, self.wait_until_deadline(second).await?)
            }
            second = second.as_mut() => {
                if self.completes(&second) {
                    probe.answered();
                    // Dropping the former lease closes the stalled connection.
                    *self.lease = Some(fresh);
                    return Ok(second);
                }
                // A target that sheds or fails the second request is busy, not stalled. The first may still complete.
                (self.wait_until_deadline(sending).await?, second)
            }
            () = sleep_until(self.deadline.into()) => {
                return Err(Refusal::unknown(RefusalReason::Deadline));
            }
        };
        // The request was sent twice and has not run only if neither copy has. A shed copy does not prove that for the
        // other one.
        if self.completes(&second) || (self.is_shed(&first) && !self.is_shed(&second)) {
            *self.lease = Some(fresh);
            return Ok(second);
        }
        Ok(first)
    }

    /// Whether the target completed the request, that is, neither failed nor shed it.
    fn completes(&self, sent: &SendResult) -> bool {
        let is_own = |response: &Response<Incoming>| {
            let headers = response.headers();
            self.gate.answers_attempt(headers, self.attempt.as_ref())
        };
        let is_failure = |response: &Response<Incoming>| response.status().is_server_error();
        sent.as_ref()
            .is_ok_and(|response| is_own(response) && !is_failure(response))
            && !self.is_shed(sent)
    }

    /// Whether the target states that it did not run the request. A statement about another attempt proves nothing.
    fn is_shed(&self, sent: &SendResult) -> bool {
        let is_shed = self.gate.dialect.is_shed;
        sent.as_ref().is_ok_and(|response| {
            let headers = response.headers();
            is_shed(response.status(), headers)
                && self.gate.answers_attempt(headers, self.attempt.as_ref())
        })
    }
}

/// A request that is being sent again. Dropping it records that there was no answer.
struct Probe<'a> {
    gate: &'a Gate,
    started: Instant,
    answered_after: Option<Duration>,
}

impl<'a> Probe<'a> {
    fn begin(gate: &'a Gate) -> Option<Self> {
        let started = Instant::now();
        let may_begin = gate.stall_probes.lock().try_begin(started);
        may_begin.then_some(Self {
            gate,
            started,
            answered_after: None,
        })
    }

    fn answered(&mut self) {
        self.answered_after = Some(self.started.elapsed());
    }
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        let mut probes = self.gate.stall_probes.lock();
        probes.end(self.answered_after, Instant::now());
    }
}

/// Sets the deadline header to the time that is left now, which may be long after the request was prepared.
fn write_deadline(gate: &Gate, deadline: Instant, request: &mut Request<OutgoingBody>) {
    let remaining = remaining_ms(deadline, Instant::now());
    request
        .headers_mut()
        .insert(gate.dialect.deadline.clone(), remaining);
}

/// Copies a request with a buffered body; none when the body is streamed.
fn copy(request: &Request<OutgoingBody>) -> Option<Request<OutgoingBody>> {
    let OutgoingBody::Whole(bytes) = request.body() else {
        return None;
    };
    let mut copy = Request::new(OutgoingBody::Whole(bytes.clone()));
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(copy)
}
