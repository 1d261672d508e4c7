//! Exponentially weighted moving averages of latency.

use std::time::{Duration, Instant};

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Latency in seconds that is assumed before the first sample.
pub(crate) const DEFAULT_LATENCY_S: f64 = 0.01;
/// Time in seconds in which the difference between an average without new samples and its fallback falls by a factor of
/// e, to 37 %.
const DECAY_TIME_CONSTANT_S: f64 = 2.0;

/// Mean, mean deviation and recent floor of latency in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencyEwma {
    mean: Option<f64>,
    deviation: f64,
    floor: f64,
    updated: Instant,
}

impl LatencyEwma {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            mean: None,
            deviation: 0.0,
            floor: f64::INFINITY,
            updated: now,
        }
    }

    pub(crate) fn record(&mut self, latency: Duration, now: Instant) {
        let sample = latency.as_secs_f64();
        let mean = self.mean.unwrap_or(sample);
        self.deviation +=
            (SAMPLE_WEIGHT * ((sample - mean).abs() - self.deviation)).max(-self.deviation);
        let mean = mean + SAMPLE_WEIGHT * (sample - mean);
        self.mean = Some(mean);
        // After a lasting rise of the mean, the floor converges to it within some hundred samples.
        self.floor = if mean < self.floor {
            mean
        } else {
            self.floor + (mean - self.floor) * SAMPLE_WEIGHT * 0.1
        };
        self.updated = self.updated.max(now);
    }

    /// The mean. It decays towards `fallback` while no samples arrive, so that a target that was slow is selected
    /// again.
    pub(crate) fn mean(&self, fallback: f64, now: Instant) -> f64 {
        let Some(mean) = self.mean else {
            return fallback;
        };
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        if age < 0.1 {
            return mean;
        }
        fallback + (mean - fallback) * (-age / DECAY_TIME_CONSTANT_S).exp()
    }

    /// The mean; `None` before the first sample.
    pub(crate) fn known_mean(&self) -> Option<f64> {
        self.mean
    }

    /// Mean plus twice the mean deviation; `None` before the first sample.
    pub(crate) fn upper_estimate(&self) -> Option<f64> {
        Some(self.mean? + 2.0 * self.deviation)
    }

    /// Whether the mean is more than `factor` times its recent floor.
    pub(crate) fn is_above_floor(&self, factor: f64) -> bool {
        self.mean.is_some_and(|mean| mean > self.floor * factor)
    }
}
