//! Bound on the requests that a gate sends again because their connections may have stalled.

use std::time::{Duration, Instant};

/// Time within which the second copy of a request must be answered to show that the connection of the first had stalled
/// and that the target is not slow.
const QUICK_ANSWER: Duration = Duration::from_millis(500);
/// Time for which other waiting requests may be sent again after that.
const STALLS_KNOWN: Duration = Duration::from_secs(2);
/// Shortest time between two probes of a target that turned out to be slow.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which of the requests that wait for long are sent again over new connections.
///
/// A request that waits on a stalled connection looks like one that waits for a slow target, and a slow target must not
/// receive each of its requests twice. So one request at a time is sent again as a probe. The others follow only when
/// the probe was answered quickly.
#[derive(Debug, Default)]
pub struct StallProbes {
    is_probing: bool,
    next_probe: Option<Instant>,
    stalls_known_until: Option<Instant>,
}

impl StallProbes {
    /// Whether a request that waits for long may be sent again now. If so, [`StallProbes::end`] must be called when the
    /// second copy has ended.
    pub fn try_begin(&mut self, now: Instant) -> bool {
        if self.stalls_known_until.is_some_and(|until| now < until) {
            return true;
        }
        if self.is_probing || self.next_probe.is_some_and(|at| now < at) {
            return false;
        }
        self.is_probing = true;
        true
    }

    /// Records the end of a second copy. `answered_after` is the time that its answer took; none if there was no answer.
    pub fn end(&mut self, answered_after: Option<Duration>, now: Instant) {
        self.is_probing = false;
        if answered_after.is_some_and(|after| after <= QUICK_ANSWER) {
            self.stalls_known_until = Some(now + STALLS_KNOWN);
        } else {
            self.stalls_known_until = None;
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
    }
}
