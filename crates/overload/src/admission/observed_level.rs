//! Admission level taken from a response, which decays with its age.

use {
    crate::admission::Level,
    std::time::{Duration, Instant},
};

/// Age at which a level without updates no longer refuses anything.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Time for which a level keeps its value before it decays. With immediate decay, the level at each hop of a call chain
/// rises between two responses and is too high. The error adds up: over five hops, requests were admitted that the last
/// hop refused.
const HOLD_TIME: Duration = Duration::from_millis(250);

/// A level and the time of the response that carried it. After [`HOLD_TIME`] the level rises linearly and is fully open
/// at [`DECAY_TIME`], so that a target that receives no more requests does not stay closed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObservedLevel {
    level: Level,
    observed_at: Instant,
}

impl ObservedLevel {
    pub(crate) const fn new(level: Level, now: Instant) -> Self {
        Self {
            level,
            observed_at: now,
        }
    }

    /// The decayed level at `now`.
    pub(crate) fn at(&self, now: Instant) -> Level {
        if self.level == Level::OPEN {
            return Level::OPEN;
        }
        let age = now.saturating_duration_since(self.observed_at);
        if age >= DECAY_TIME {
            return Level::OPEN;
        }
        let closed = Level::OPEN.keys() - self.level.keys();
        let opening = age.saturating_sub(HOLD_TIME).as_micros();
        let opened =
            u128::from(closed) * opening / DECAY_TIME.saturating_sub(HOLD_TIME).as_micros();
        Level::new(self.level.keys() + u16::try_from(opened).unwrap_or(closed))
    }

    /// Whether the level still refuses any request at `now`.
    pub(crate) fn is_in_effect(&self, now: Instant) -> bool {
        self.at(now) != Level::OPEN
    }
}
