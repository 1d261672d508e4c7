//! Rate limit of the decision log.

use std::time::{Duration, Instant};

/// Length of a window, in which `lines_per_s` lines may be written.
const WINDOW: Duration = Duration::from_secs(1);

/// Permits a fixed number of lines per second and counts the lines that are dropped beyond it.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u32,
    left: u32,
    window_started: Instant,
    dropped: u64,
}

impl LineBudget {
    /// A budget whose first window starts now.
    #[must_use]
    pub const fn new(lines_per_s: u32, now: Instant) -> Self {
        Self {
            lines_per_s,
            left: lines_per_s,
            window_started: now,
            dropped: 0,
        }
    }

    /// Uses one line of the budget. Returns false and counts the line as dropped when none is left.
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

    /// Counts a permitted line that could not be written as dropped.
    pub const fn record_unwritten(&mut self) {
        self.dropped += 1;
    }

    /// Returns the number of lines dropped since the last call.
    pub const fn take_dropped(&mut self) -> u64 {
        std::mem::replace(&mut self.dropped, 0)
    }
}
