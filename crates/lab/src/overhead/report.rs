//! Results of an overhead measurement.

use {crate::load::Latencies, serde::Serialize};

/// Results for one rate and number of connections.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadRow {
    /// Planned rate in calls a second; `None` if as many were sent as the connections could carry.
    pub rate_per_s: Option<f64>,
    /// Number of connections.
    pub connections: usize,
    /// Direct calls a second that got a complete answer with status 200.
    pub direct_per_s: f64,
    /// Calls a second through two nodes that got a complete answer with status 200.
    pub nodes_per_s: f64,
    /// Calls through two nodes that did not get a complete answer with status 200.
    pub nodes_failed: u64,
    /// Latencies of the direct calls.
    pub direct: Latencies,
    /// Latencies of the calls through two nodes.
    pub nodes: Latencies,
    /// Median latency through two nodes less that of direct calls, in microseconds.
    pub added_p50_us: i64,
    /// 99th percentile of the latency through two nodes less that of direct calls, in microseconds.
    pub added_p99_us: i64,
    /// 99.9th percentile of the latency through two nodes less that of direct calls, in microseconds.
    pub added_p999_us: i64,
    /// Processor time of the entry node for each answered call, in microseconds.
    pub entry_cpu_us_per_call: f64,
    /// Processor time of all gates, summed, for each answered call, in microseconds.
    pub gate_cpu_us_per_call: f64,
    /// Resident memory of the entry node after the run through the nodes, in bytes.
    pub entry_resident_bytes: u64,
}

/// Results for all rates and numbers of connections.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    /// Duration of each run, in seconds; a row has a run with direct calls and one through the nodes.
    pub seconds: u64,
    /// Resident memory of the entry node before the first run, in bytes.
    pub entry_rest_bytes: u64,
    /// One row for each rate and number of connections.
    pub rows: Vec<OverheadRow>,
}

impl OverheadReport {
    /// The rows as a table in Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = String::from(
            "| calls/s | connections | direct p50/p99/p99.9, µs | nodes p50/p99/p99.9, µs | added p99, µs | calls/s \
             reached | failed | CPU entry + gate, µs a call | entry memory, MB |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for row in &self.rows {
            text.push_str(&row.to_markdown());
        }
        text
    }
}

impl OverheadRow {
    #[allow(clippy::cast_precision_loss)] // Megabytes are printed with one decimal.
    fn to_markdown(&self) -> String {
        let rate = self
            .rate_per_s
            .map_or_else(|| "max".to_owned(), |rate| format!("{rate:.0}"));
        format!(
            "| {rate} | {} | {} | {} | {} | {:.0} | {} | {:.0} + {:.0} | {:.1} |\n",
            self.connections,
            percentiles(&self.direct),
            percentiles(&self.nodes),
            self.added_p99_us,
            self.nodes_per_s,
            self.nodes_failed,
            self.entry_cpu_us_per_call,
            self.gate_cpu_us_per_call,
            self.entry_resident_bytes as f64 / 1e6,
        )
    }
}

fn percentiles(latencies: &Latencies) -> String {
    format!(
        "{}/{}/{}",
        latencies.p50_us, latencies.p99_us, latencies.p999_us
    )
}
