//! Samples the metrics of the gates of a chain while an experiment runs.

use {
    crate::deployment::get_text,
    futures::future::join_all,
    serde::Serialize,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Pause between the end of one sample and the start of the next.
const INTERVAL: Duration = Duration::from_millis(500);

/// Gauges of the gates of one service at one time, summed over the gates unless a field says otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct GateSample {
    /// Time since the start of the experiment, in milliseconds.
    pub at_ms: u64,
    /// Position of the service in the chain, from 0.
    pub depth: usize,
    /// Concurrency limit: requests that may run at once.
    pub limit: u64,
    /// Requests that are running.
    pub running: u64,
    /// Waiting requests by class, highest first.
    pub queue: [u64; 4],
    /// Lowest admission level of the gates; 0 if no gate reported one.
    pub admission_level: u64,
}

/// Samples the gauges of all gates until `end`, counted from `start`. `levels` holds the operators' addresses of each
/// service in the order of the chain. A gate that does not answer is left out of the sample.
pub(super) async fn sample_gates(
    levels: Vec<Vec<SocketAddr>>,
    start: Instant,
    end: Duration,
) -> Vec<GateSample> {
    let mut samples = Vec::new();
    while start.elapsed() < end {
        let reads = levels
            .iter()
            .enumerate()
            .map(|(depth, addresses)| async move {
                let texts = join_all(
                    addresses
                        .iter()
                        .map(|address| get_text(*address, "/metrics")),
                )
                .await;
                let texts: Vec<String> = texts.into_iter().flatten().collect();
                aggregate(&texts, depth, start.elapsed())
            });
        samples.extend(join_all(reads).await);
        sleep(INTERVAL).await;
    }
    samples
}

/// Combines the metrics of the gates of one service into a sample.
fn aggregate(texts: &[String], depth: usize, at: Duration) -> GateSample {
    let sum = |name: &str| texts.iter().filter_map(|text| gauge(text, name)).sum();
    let queue = |class: &str| sum(&format!("jujubeline_queue_length{{class=\"{class}\""));
    let level = |text: &String| gauge(text, "jujubeline_admission_level");
    GateSample {
        at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
        depth,
        limit: sum("jujubeline_concurrency_limit"),
        running: sum("jujubeline_gate_running"),
        queue: ["critical", "high", "normal", "low"].map(queue),
        admission_level: texts.iter().filter_map(level).min().unwrap_or(0),
    }
}

/// Value of the first line of `metrics` that begins with `prefix`.
fn gauge(metrics: &str, prefix: &str) -> Option<u64> {
    let line = metrics.lines().find(|line| line.starts_with(prefix))?;
    line.rsplit(' ').next()?.parse().ok()
}
