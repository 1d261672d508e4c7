//! Rate at which the target ends requests, from which the wait in the queue follows.

use std::time::{Duration, Instant};

/// Time over which ends are counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Longest wait that is stated. A target that ends nothing for a while says little about the future.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Counts ends in the current window and the one before.
#[derive(Debug)]
pub struct DrainRate {
    started: Instant,
    ends: u32,
    /// Ends per second in the last full window.
    last_per_s: f64,
}

impl DrainRate {
    /// Without ends.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            ends: 0,
            last_per_s: 0.0,
        }
    }

    /// Counts the end of a request.
    pub fn record_end(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
        if elapsed >= WINDOW {
            self.last_per_s = f64::from(self.ends) / elapsed.as_secs_f64();
            self.ends = 0;
            self.started = now;
        }
        self.ends += 1;
    }

    /// Expected time until as many requests have ended as wait.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a queue is shorter than 2 to the power of 52"
    )]
    pub fn time_for(&self, waiting: usize, now: Instant) -> Duration {
        if waiting == 0 {
            return Duration::ZERO;
        }
        let elapsed = now.saturating_duration_since(self.started);
        // The current window alone is too short to say anything, so both count.
        let span = WINDOW + elapsed;
        let ends = self.last_per_s * WINDOW.as_secs_f64() + f64::from(self.ends);
        let per_s = ends / span.as_secs_f64();
        Duration::try_from_secs_f64(waiting as f64 / per_s)
            .map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}
