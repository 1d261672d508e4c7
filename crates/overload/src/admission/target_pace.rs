//! Pace that a target states: how long work takes at the moment, compared with usual.

use std::time::{Duration, Instant};

/// Weight of a new statement in the average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Age at which a statement no longer says anything about the present.
const TTL: Duration = Duration::from_millis(500);
/// Bounds of the factor, so that a wrong statement shifts requests and never stops them.
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 3.0;
/// Largest pace that is taken as stated, in percent.
const MAX_PERCENT: u32 = 10_000;

/// The last statement and the average of the recent ones.
///
/// The latency of a target already shows its average pace, so only the deviation of the last statement from the average
/// says something new. A target that always states the same pace is not treated differently from one that states none.
#[derive(Debug)]
pub struct TargetPace {
    last: f64,
    average: f64,
    stated: Instant,
}

impl TargetPace {
    /// Without statements.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            last: 0.0,
            average: 0.0,
            stated: now,
        }
    }

    /// Records a statement, in percent of the usual time.
    pub fn record(&mut self, percent: u32, now: Instant) {
        let pace = f64::from(percent.clamp(1, MAX_PERCENT));
        if self.average <= 0.0 {
            self.average = pace;
        }
        self.average += SAMPLE_WEIGHT * (pace - self.average);
        self.last = pace;
        self.stated = now;
    }

    /// Whether the target has stated a pace.
    #[must_use]
    pub fn is_stated(&self) -> bool {
        self.average > 0.0
    }

    /// Factor on the measured time of work: 1 without a recent statement.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        if self.average <= 0.0 {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.stated).as_secs_f64();
        let freshness = (1.0 - age / TTL.as_secs_f64()).max(0.0);
        let factor = (self.last / self.average).clamp(MIN_FACTOR, MAX_FACTOR);
        1.0 + (factor - 1.0) * freshness
    }
}
