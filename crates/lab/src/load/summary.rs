//! Counts and latencies of a load run.

use {
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Highest latency that a histogram can represent, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of the latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Latencies {
    /// Median in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile in microseconds.
    pub p999_us: u64,
}

/// Counts and latencies of a load run. Only complete answers have a latency, whatever their status.
#[derive(Debug, Clone)]
pub struct LoadSummary {
    latencies: Histogram<u64>,
    statuses: BTreeMap<u16, u64>,
    failed: u64,
}

impl LoadSummary {
    /// Creates the summary of a run without calls.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid"),
            statuses: BTreeMap::new(),
            failed: 0,
        }
    }

    /// Records a complete answer and its latency.
    pub fn record_answer(&mut self, status: u16, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latencies.saturating_record(latency_us);
        *self.statuses.entry(status).or_default() += 1;
    }

    /// Records a call without a complete answer.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Adds the counts and latencies of another run to this one.
    ///
    /// # Panics
    ///
    /// Never: all histograms have the same bounds.
    pub fn add(&mut self, other: &Self) {
        self.latencies
            .add(&other.latencies)
            .expect("histograms have the same bounds");
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        self.failed += other.failed;
    }

    /// Number of complete answers with this status.
    #[must_use]
    pub fn count(&self, status: u16) -> u64 {
        self.statuses.get(&status).copied().unwrap_or(0)
    }

    /// Number of complete answers by status.
    #[must_use]
    pub const fn statuses(&self) -> &BTreeMap<u16, u64> {
        &self.statuses
    }

    /// Number of calls without a complete answer.
    #[must_use]
    pub const fn failures(&self) -> u64 {
        self.failed
    }

    /// Number of complete answers, whatever their status.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.latencies.len()
    }

    /// Latency percentiles over all complete answers.
    #[must_use]
    pub fn latencies(&self) -> Latencies {
        Latencies {
            p50_us: self.latencies.value_at_quantile(0.5),
            p99_us: self.latencies.value_at_quantile(0.99),
            p999_us: self.latencies.value_at_quantile(0.999),
        }
    }
}

impl Default for LoadSummary {
    fn default() -> Self {
        Self::new()
    }
}
