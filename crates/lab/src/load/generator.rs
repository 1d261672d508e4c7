//! Open-loop load over a fixed number of connections.

use {
    super::{Call, Connection, LoadSummary},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Delay before a worker tries to connect again after a connection attempt has failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// A load run that is bounded in rate, connections and time.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Addresses to call; the connections are assigned to them round robin.
    pub addresses: Vec<SocketAddr>,
    /// Request to send in each call.
    pub call: Call,
    /// Calls per second; without a rate, each connection sends its next call as soon as the last one has ended.
    pub rate_per_s: Option<f64>,
    /// Number of connections, each with at most one call in flight.
    pub connections: usize,
    /// Time during which calls are started; calls in flight at its end are completed.
    pub duration: Duration,
}

/// Runs the plan to its end and returns the counts and latencies of all connections.
///
/// If all connections were busy when a call was due, its latency is measured from the due time, so that a stall also
/// counts against the calls that it delayed. If a worker was idle, latency is measured from the time at which its timer
/// fired, because the timer has a granularity of 1 ms.
///
/// # Panics
///
/// When a worker panics.
pub async fn run(plan: &LoadPlan) -> LoadSummary {
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for index in 0..plan.connections {
        let worker = Worker {
            address: plan.addresses[index % plan.addresses.len()],
            call: plan.call.clone(),
            rate_per_s: plan.rate_per_s,
            start,
            end: start + plan.duration,
            next: next.clone(),
        };
        workers.spawn(worker.run());
    }
    let mut total = LoadSummary::new();
    while let Some(result) = workers.join_next().await {
        total.add(&result.expect("a load worker panicked"));
    }
    total
}

struct Worker {
    address: SocketAddr,
    call: Call,
    rate_per_s: Option<f64>,
    start: Instant,
    end: Instant,
    // Number of the next call, shared by all workers; it sets the time at which the call is due.
    next: Arc<AtomicU64>,
}

impl Worker {
    async fn run(self) -> LoadSummary {
        let mut summary = LoadSummary::new();
        let mut connection = None;
        while let Some(counted_from) = self.wait_until_due().await {
            if !connection.as_ref().is_some_and(Connection::is_open) {
                connection = Connection::open(self.address).await.ok();
            }
            let Some(open) = &mut connection else {
                summary.record_failure();
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            if let Ok(reply) = open.call(&self.call).await {
                summary.record_answer(reply.status.as_u16(), counted_from.elapsed());
            } else {
                summary.record_failure();
                connection = None;
            }
        }
        summary
    }

    /// Waits until the next call is due and returns the time from which its latency is measured, or nothing when the
    /// duration of the plan is over.
    async fn wait_until_due(&self) -> Option<Instant> {
        let now = Instant::now();
        let Some(rate_per_s) = self.rate_per_s else {
            return (now < self.end).then_some(now);
        };
        #[allow(clippy::cast_precision_loss)] // Call numbers stay far below 2^52.
        let number = self.next.fetch_add(1, Ordering::Relaxed) as f64;
        let due = self.start + Duration::from_secs_f64(number / rate_per_s);
        if due >= self.end {
            return None;
        }
        if due <= now {
            return Some(due);
        }
        sleep(due - now).await;
        Some(Instant::now())
    }
}
