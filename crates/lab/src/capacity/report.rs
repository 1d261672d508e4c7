//! Results of a capacity measurement.

use {serde::Serialize, std::fmt::Write};

/// Results for one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityRow {
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Number of entries in the catalogue.
    pub entries: usize,
    /// Time from the start of the last node until each node listed all nodes as alive and had a catalogue, in
    /// milliseconds.
    pub converged_ms: u64,
    /// Mean processor time of a node at rest, in percent of a core.
    pub cpu_percent_mean: f64,
    /// Maximum processor time of a node at rest, in percent of a core.
    pub cpu_percent_max: f64,
    /// Mean resident memory of a node, in bytes.
    pub resident_bytes_mean: u64,
    /// Maximum resident memory of a node, in bytes.
    pub resident_bytes_max: u64,
    /// Mean number of control bytes that a node sends a second.
    pub sent_bytes_per_s: f64,
    /// Calls a second that the platform receives from all nodes.
    pub platform_calls_per_s: f64,
    /// Watches open at the platform at the end of the measurement at rest.
    pub platform_watches: u64,
    /// Time from the start of a catalogue change until it was in force on all nodes, in milliseconds; maximum over all
    /// changes.
    pub change_ms_max: u64,
}

/// Results for all fleet sizes.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityReport {
    /// Duration of the measurement at rest of each row, in seconds.
    pub seconds: u64,
    /// One row for each fleet size, in the order of the plan.
    pub rows: Vec<CapacityRow>,
}

impl CapacityReport {
    /// The rows as a table in Markdown.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Megabytes are printed with one decimal.
    pub fn to_markdown(&self) -> String {
        let mut text = String::from(
            "| nodes | entries | converged, ms | CPU mean/max, % of a core | memory mean/max, MB | sent, B/s a node | \
             platform calls/s | watches | change in force, ms |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for row in &self.rows {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.2}/{:.2} | {:.1}/{:.1} | {:.0} | {:.2} | {} | {} |",
                row.nodes,
                row.entries,
                row.converged_ms,
                row.cpu_percent_mean,
                row.cpu_percent_max,
                row.resident_bytes_mean as f64 / 1e6,
                row.resident_bytes_max as f64 / 1e6,
                row.sent_bytes_per_s,
                row.platform_calls_per_s,
                row.platform_watches,
                row.change_ms_max,
            );
        }
        text
    }
}
