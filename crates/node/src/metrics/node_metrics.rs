//! Counters and latency histograms of the data path.

use {
    jujubeline_core::{Class, RefusalReason, RetryReason, RetryStop},
    opentelemetry::{KeyValue, metrics::Histogram},
    std::{
        sync::atomic::{AtomicI64, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Counters and latency histograms of one node. The hot path only adds to atomics and histograms; the exporter reads
/// them.
#[derive(Debug)]
pub struct Metrics {
    refusals: [AtomicU64; RefusalReason::ALL.len()],
    retries: [AtomicU64; RetryReason::ALL.len()],
    retry_stops: [AtomicU64; RetryStop::ALL.len()],
    in_flight: [AtomicI64; Class::ALL.len()],
    request_seconds: Histogram<f64>,
    target_seconds: Histogram<f64>,
    class_labels: [[KeyValue; 1]; Class::ALL.len()],
}

impl Metrics {
    /// Counters at zero, with the histograms of the exporter.
    #[must_use]
    pub fn new(request_seconds: Histogram<f64>, target_seconds: Histogram<f64>) -> Self {
        Self {
            refusals: std::array::from_fn(|_| AtomicU64::new(0)),
            retries: std::array::from_fn(|_| AtomicU64::new(0)),
            retry_stops: std::array::from_fn(|_| AtomicU64::new(0)),
            in_flight: std::array::from_fn(|_| AtomicI64::new(0)),
            request_seconds,
            target_seconds,
            class_labels: Class::ALL.map(|class| [KeyValue::new("class", class.label())]),
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Refusals with this reason.
    #[must_use]
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals[reason as usize].load(Ordering::Relaxed)
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Retries with this reason.
    #[must_use]
    pub fn retries(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// Counts a failed attempt that was not retried.
    pub fn count_retry_stop(&self, stop: RetryStop) {
        self.retry_stops[stop as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Failed attempts that were not retried for this reason.
    #[must_use]
    pub fn retry_stops(&self, stop: RetryStop) -> u64 {
        self.retry_stops[stop as usize].load(Ordering::Relaxed)
    }

    /// Counts an exchange that starts (1) or ends (-1).
    pub fn add_in_flight(&self, class: Class, change: i64) {
        self.in_flight[class.rank()].fetch_add(change, Ordering::Relaxed);
    }

    /// Exchanges in flight from callers.
    #[must_use]
    pub fn in_flight(&self, class: Class) -> i64 {
        self.in_flight[class.rank()].load(Ordering::Relaxed)
    }

    /// Records the latency of a complete response to a caller.
    pub fn record_response(&self, class: Class, latency: Duration) {
        self.request_seconds
            .record(latency.as_secs_f64(), &self.class_labels[class.rank()]);
    }

    /// Records the latency of a complete response of the local target.
    pub fn record_target_response(&self, class: Class, latency: Duration) {
        self.target_seconds
            .record(latency.as_secs_f64(), &self.class_labels[class.rank()]);
    }
}
