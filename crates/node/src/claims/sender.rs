//! The task that sends the messages of the claims actor to other nodes.

use {
    super::{ClaimCalls, ClaimsActor, claims_actor::Outbox, claims_handle::ActorAccess},
    futures::{StreamExt, future::BoxFuture, stream},
    jujubeline_coordination::claims::GateId,
    std::time::{Duration, Instant},
};

/// Time between two rounds of sending, unless a wake-up starts one earlier.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of calls to other nodes in flight.
const CALLS_IN_FLIGHT: usize = 16;

/// Sends messages and passes their replies to the actor.
pub(super) struct Sender {
    own_gate: GateId,
    access: ActorAccess,
    calls: ClaimCalls,
}

impl Sender {
    pub(super) const fn new(own_gate: GateId, access: ActorAccess, calls: ClaimCalls) -> Self {
        Self {
            own_gate,
            access,
            calls,
        }
    }

    /// Runs until the claims are stopped, then sends the last reports.
    pub(super) async fn run(self) {
        while !self.access.stopping.is_cancelled() {
            self.send().await;
            let _ = self
                .access
                .with(|claims| claims.expire(Instant::now()))
                .await;
            tokio::select! {
                () = self.access.stopping.cancelled() => {}
                () = self.access.sender_wakeup.notified() => {}
                () = tokio::time::sleep(ROUND_INTERVAL) => {}
            }
        }
        self.send().await;
    }

    /// Sends everything that is due, and passes the replies to the actor.
    async fn send(&self) {
        let Ok(outbox) = self.access.with(ClaimsActor::outbox).await else {
            return;
        };
        stream::iter(self.sends(outbox))
            .buffer_unordered(CALLS_IN_FLIGHT)
            .collect::<()>()
            .await;
    }

    fn sends(&self, outbox: Outbox) -> Vec<BoxFuture<'static, ()>> {
        let mut sends: Vec<BoxFuture<'static, ()>> = Vec::new();
        for (address, fence) in outbox.fences {
            let (access, call, own) = self.send_context(&fence.gate, &self.calls.fence);
            sends.push(Box::pin(async move {
                let reply = if own {
                    access.with(move |claims| claims.fence(&fence)).await.ok()
                } else {
                    call(address, fence).await.ok()
                };
                if let Some(reply) = reply {
                    let _ = access
                        .with(move |claims| claims.apply_fence_reply(&reply, Instant::now()))
                        .await;
                    access.sender_wakeup.notify_one();
                }
            }));
        }
        for (address, adopt) in outbox.adopts {
            let (access, call, _) = self.send_context(&adopt.gate, &self.calls.adopt);
            sends.push(Box::pin(async move {
                if let Ok(reply) = call(address, adopt).await {
                    let _ = access
                        .with(move |claims| claims.apply_adopt_reply(&reply))
                        .await;
                    access.sender_wakeup.notify_one();
                }
            }));
        }
        for (address, query) in outbox.resolves {
            let (access, call, own) = self.send_context(&query.gate, &self.calls.resolve);
            sends.push(Box::pin(async move {
                let reply = if own {
                    let now = Instant::now();
                    access
                        .with(move |claims| claims.resolve(&query, now))
                        .await
                        .ok()
                } else {
                    call(address, query).await.ok()
                };
                if let Some(reply) = reply {
                    let _ = access
                        .with(move |claims| claims.apply_resolve_reply(&reply, Instant::now()))
                        .await;
                }
            }));
        }
        for (owner, report) in outbox.reports {
            let (access, call, own) = self.send_context(&owner.gate, &self.calls.completed);
            sends.push(Box::pin(async move {
                if own {
                    let _ = access
                        .with(move |claims| claims.apply_completion(&report, Instant::now()))
                        .await;
                } else {
                    // In place of a lost report, the owner queries this gate with the next claim of the key.
                    let _ = call(owner.control_address, report).await;
                }
            }));
        }
        sends
    }

    /// What one message needs to be sent, and whether its recipient is this node.
    fn send_context<C: Clone>(&self, to: &GateId, call: &C) -> (ActorAccess, C, bool) {
        (self.access.clone(), call.clone(), *to == self.own_gate)
    }
}
