//! Bound on the lines of each second.

use std::time::{Duration, Instant};

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Grants a fixed number of lines in each second and counts those beyond it.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u32,
    left: u32,
    window_started: Instant,
    dropped: u64,
}

impl LineBudget {
    /// A full budget.
    #[must_use]
    pub const fn new(lines_per_s: u32, now: Instant) -> Self {
        Self {
            lines_per_s,
            left: lines_per_s,
            window_started: now,
            dropped: 0,
        }
    }

    /// Whether one more line may be written.
    pub fn take(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.window_started) >= WINDOW {
            self.window_started = now;
            self.left = self.lines_per_s;
        }
        if self.left == 0 {
            self.dropped += 1;
            return false;
        }
        self.left -= 1;
        true
    }

    /// Counts a line that was granted and then could not be written.
    pub const fn lose(&mut self) {
        self.dropped += 1;
    }

    /// Lines that were not written since the last call.
    pub const fn take_dropped(&mut self) -> u64 {
        std::mem::replace(&mut self.dropped, 0)
    }
}
