//! Injects the seeded random faults of a soak run.

use {
    crate::{
        deployment::{Deployment, Instance},
        load::{Call, Connection},
        process::ProcessError,
    },
    bytes::Bytes,
    derive_more::Display,
    http::{HeaderMap, Method},
    rand::{Rng, rngs::StdRng, seq::IndexedRandom},
    serde::Serialize,
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
};

/// Pause between two rounds, each of which ends the faults that are due and may start one.
const FAULT_PAUSE: Duration = Duration::from_millis(1_500);

/// Range from which the duration of a fault is drawn, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 500..6_000;

/// Time after the announcement that a target is draining from which it must not execute new requests.
pub(super) const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A node is killed without warning and restarted.
    #[display("kill_node")]
    KillNode,
    /// A target is killed without warning and restarted.
    #[display("kill_target")]
    KillTarget,
    /// The process of a node is suspended and later resumed.
    #[display("pause_node")]
    PauseNode,
    /// The platform answers no call while the fault lasts.
    #[display("platform_down")]
    PlatformDown,
    /// The platform loses the answer of every second write after the write took effect.
    #[display("platform_loses_answers")]
    PlatformLosesAnswers,
    /// Reads at the platform return the objects as they were three versions ago.
    #[display("platform_stale")]
    PlatformStale,
    /// A target is announced as draining, and later as ready.
    #[display("drain_target")]
    DrainTarget,
    /// A node is shut down gracefully and restarted.
    #[display("stop_node")]
    StopNode,
}

const FAULT_KINDS: [FaultKind; 8] = [
    FaultKind::KillNode,
    FaultKind::KillTarget,
    FaultKind::PauseNode,
    FaultKind::PlatformDown,
    FaultKind::PlatformLosesAnswers,
    FaultKind::PlatformStale,
    FaultKind::DrainTarget,
    FaultKind::StopNode,
];

/// An interval in which a target must not execute new requests, in milliseconds since the Unix epoch.
#[derive(Debug, Clone)]
pub(super) struct DrainWindow {
    pub(super) instance: String,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
}

/// A fault in effect.
#[derive(Debug)]
struct ActiveFault {
    kind: FaultKind,
    /// Index of the instance in the deployment. A platform fault also has one: it does not affect the instance, but no
    /// other fault starts there meanwhile.
    instance: usize,
    ends_at: Instant,
}

/// Injects faults, at most two at once, and ends each one after its duration.
#[derive(Debug)]
pub(super) struct FaultInjector {
    active: Vec<ActiveFault>,
    /// Injected faults by kind.
    pub(super) counts: BTreeMap<String, u64>,
    /// Intervals in which draining targets must not execute new requests.
    pub(super) drain_windows: Vec<DrainWindow>,
}

impl FaultInjector {
    pub(super) const fn new() -> Self {
        Self {
            active: Vec::new(),
            counts: BTreeMap::new(),
            drain_windows: Vec::new(),
        }
    }

    /// Injects faults until `end`, then ends those that are still in effect.
    pub(super) async fn run(
        &mut self,
        deployment: &mut Deployment,
        random: &mut StdRng,
        end: Instant,
    ) -> Result<(), ProcessError> {
        while Instant::now() < end {
            self.end_due_faults(deployment, Instant::now()).await?;
            if self.active.len() < 2 {
                self.begin_fault(deployment, random).await?;
            }
            sleep(FAULT_PAUSE).await;
        }
        self.end_due_faults(
            deployment,
            Instant::now() + Duration::from_millis(FAULT_MS.end),
        )
        .await
    }

    /// Starts a random fault, unless an active one is on the same instance or of the same kind.
    async fn begin_fault(
        &mut self,
        deployment: &mut Deployment,
        random: &mut StdRng,
    ) -> Result<(), ProcessError> {
        let kind = *FAULT_KINDS.choose(random).unwrap_or(&FaultKind::KillNode);
        let instance = random.random_range(0..deployment.instances.len());
        let length = Duration::from_millis(random.random_range(FAULT_MS));
        let is_occupied = self
            .active
            .iter()
            .any(|active| active.instance == instance || active.kind == kind);
        if is_occupied {
            return Ok(());
        }
        let platform = deployment.platform_address;
        let chosen = &mut deployment.instances[instance];
        match kind {
            FaultKind::KillNode => chosen.kill_node().await,
            FaultKind::KillTarget => chosen.kill_target().await,
            FaultKind::PauseNode => pause(chosen)?,
            FaultKind::PlatformDown => set_faults(platform, &json!({"down": "silent"})).await,
            FaultKind::PlatformLosesAnswers => {
                set_faults(platform, &json!({"lose_every": 2})).await;
            }
            FaultKind::PlatformStale => {
                set_faults(platform, &json!({"stale_versions": 3})).await;
            }
            FaultKind::DrainTarget => self.drain(chosen, length).await,
            FaultKind::StopNode => stop(chosen).await?,
        }
        *self.counts.entry(kind.to_string()).or_default() += 1;
        self.active.push(ActiveFault {
            kind,
            instance,
            ends_at: Instant::now() + length,
        });
        Ok(())
    }

    /// Ends the faults whose duration is over at `before`.
    async fn end_due_faults(
        &mut self,
        deployment: &mut Deployment,
        before: Instant,
    ) -> Result<(), ProcessError> {
        let (due, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|active| active.ends_at <= before);
        self.active = active;
        for fault in due {
            let instance = &mut deployment.instances[fault.instance];
            match fault.kind {
                FaultKind::KillNode | FaultKind::StopNode => {
                    instance.start_node().await?;
                    announce(instance, "ready").await;
                }
                FaultKind::KillTarget => instance.start_target().await?,
                FaultKind::PauseNode => {
                    if let Some(node) = &instance.node {
                        node.resume()?;
                    }
                }
                FaultKind::PlatformDown
                | FaultKind::PlatformLosesAnswers
                | FaultKind::PlatformStale => {
                    set_faults(deployment.platform_address, &json!({})).await;
                }
                FaultKind::DrainTarget => announce(instance, "ready").await,
            }
        }
        Ok(())
    }

    /// Announces the target as draining and records the interval in which it must not execute new requests.
    async fn drain(&mut self, instance: &Instance, length: Duration) {
        announce(instance, "draining").await;
        let now_ms = unix_ms();
        let to_ms = now_ms + u64::try_from(length.as_millis()).unwrap_or(0);
        self.drain_windows.push(DrainWindow {
            instance: instance.plan.name.clone(),
            from_ms: now_ms + u64::try_from(DRAIN_BOUND.as_millis()).unwrap_or(0),
            to_ms,
        });
    }
}

fn pause(instance: &Instance) -> Result<(), ProcessError> {
    match &instance.node {
        Some(node) => node.pause(),
        None => Ok(()),
    }
}

async fn stop(instance: &mut Instance) -> Result<(), ProcessError> {
    if let Some(node) = instance.node.take() {
        node.terminate(Duration::from_mins(1)).await?;
    }
    Ok(())
}

/// Announces the state of the instance's target to its node.
async fn announce(instance: &Instance, state: &str) {
    let body = json!({
        "address": instance.target_address.to_string(),
        "state": state,
        "slots": instance.plan.slots,
        "connections": instance.plan.connections,
    });
    put_json(instance.addresses.operators, "/target", body.to_string()).await;
}

/// Replaces the faults of the platform stand-in; an empty object ends all of them.
async fn set_faults(address: SocketAddr, faults: &serde_json::Value) {
    put_json(address, "/faults", faults.to_string()).await;
}

async fn put_json(address: SocketAddr, path: &str, body: String) {
    let call = Call {
        method: Method::PUT,
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    };
    if let Ok(mut connection) = Connection::open(address).await {
        // The result is ignored: a node that is down gets a new announcement when it is started again.
        let _ = tokio::time::timeout(Duration::from_secs(2), connection.call(&call)).await;
    }
}

pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
