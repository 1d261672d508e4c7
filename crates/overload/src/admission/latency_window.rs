//! Latency and load measurements of one time window.

use std::time::{Duration, Instant};

/// Shortest window.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Time after which a window ends regardless of its number of samples.
const MAX_WINDOW: Duration = Duration::from_secs(1);
/// Lower bound of the samples that a window needs to end before [`MAX_WINDOW`]. The number is twice the concurrency
/// limit.
const MIN_SAMPLES: u32 = 5;
/// Upper bound of the samples that a window needs to end before [`MAX_WINDOW`].
const MAX_SAMPLES: u32 = 20;

/// Collects the results of requests until the window is complete.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    started: Instant,
    latency_sum: f64,
    samples: u32,
    fastest: f64,
    timeouts: u32,
    sheds: u32,
    lowest_shed: u32,
    peak_in_flight: u32,
}

/// Measurements of a complete window.
#[derive(Debug)]
pub(crate) struct WindowSummary {
    /// Mean latency in seconds, timeouts included.
    pub(crate) latency: f64,
    /// Shortest total time of a request in seconds, calls of the target included; infinite without a sample.
    pub(crate) fastest: f64,
    /// Completed and timed-out requests.
    pub(crate) samples: u32,
    pub(crate) timeouts: u32,
    pub(crate) sheds: u32,
    /// Lowest number of requests in flight at which one was shed; `u32::MAX` if none was.
    pub(crate) lowest_shed: u32,
    pub(crate) peak_in_flight: u32,
}

impl LatencyWindow {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            started: now,
            latency_sum: 0.0,
            samples: 0,
            fastest: f64::INFINITY,
            timeouts: 0,
            sheds: 0,
            lowest_shed: u32::MAX,
            peak_in_flight: 0,
        }
    }

    pub(crate) fn record_in_flight(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    pub(crate) fn record_completed(&mut self, latency: f64) {
        self.samples += 1;
        self.latency_sum += latency;
    }

    /// Records the total time of a request in seconds, calls of the target included.
    pub(crate) fn record_total(&mut self, total: f64) {
        self.fastest = self.fastest.min(total);
    }

    /// Records a request that ended without a response after `latency` seconds, a lower bound of its real latency.
    pub(crate) fn record_timeout(&mut self, latency: f64) {
        self.record_completed(latency);
        self.record_total(latency);
        self.timeouts += 1;
    }

    pub(crate) fn record_shed(&mut self, in_flight: u32) {
        self.sheds += 1;
        self.lowest_shed = self.lowest_shed.min(in_flight);
    }

    /// Ends the window and starts the next one, if it has lasted for its mean latency, bounded by [`MIN_WINDOW`] and
    /// [`MAX_WINDOW`], and has enough samples. At [`MAX_WINDOW`] it ends regardless of its samples.
    pub(crate) fn finish(&mut self, limit: u32, now: Instant) -> Option<WindowSummary> {
        let elapsed = now.saturating_duration_since(self.started);
        let count = self.samples + self.sheds;
        let latency = self.latency_sum / f64::from(self.samples.max(1));
        let wanted = Duration::from_secs_f64(latency).clamp(MIN_WINDOW, MAX_WINDOW);
        if elapsed < wanted
            || (count < (2 * limit).clamp(MIN_SAMPLES, MAX_SAMPLES) && elapsed < MAX_WINDOW)
        {
            return None;
        }
        let window = std::mem::replace(self, Self::new(now));
        let samples = f64::from(window.samples.max(1));
        Some(WindowSummary {
            latency: window.latency_sum / samples,
            fastest: window.fastest,
            samples: window.samples,
            timeouts: window.timeouts,
            sheds: window.sheds,
            lowest_shed: window.lowest_shed,
            peak_in_flight: window.peak_in_flight,
        })
    }
}
