//! Outlier detection for one target: consecutive failures, failure rate and ejection.

use std::time::{Duration, Instant};

/// Consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Window over which the failure rate is computed.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Exchanges in a window before its failure rate can cause an ejection.
const RATE_SAMPLES: u32 = 20;
/// Duration of the first ejection. It doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Decides when a target is ejected because of failures.
///
/// After an ejection the target is half-open, as in a circuit breaker, until its first success: a failure before that
/// ejects it again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutlierDetector {
    consecutive: u32,
    failures: u32,
    total: u32,
    window_started: Instant,
    ejections: u32,
    half_open: bool,
    ejected_until: Option<Instant>,
}

impl OutlierDetector {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            consecutive: 0,
            failures: 0,
            total: 0,
            window_started: now,
            ejections: 0,
            half_open: false,
            ejected_until: None,
        }
    }

    /// Records a success, which ends the half-open state.
    pub(crate) fn on_success(&mut self, now: Instant) {
        self.count(false, now);
        self.consecutive = 0;
        self.half_open = false;
    }

    /// Records a failure. Returns true when the target should be ejected.
    pub(crate) fn on_failure(&mut self, now: Instant) -> bool {
        self.count(true, now);
        self.consecutive += 1;
        self.half_open
            || self.consecutive >= CONSECUTIVE_FAILURES
            || (self.total >= RATE_SAMPLES && self.failures * 2 >= self.total)
    }

    /// Failures since the last success or ejection, at most [`CONSECUTIVE_FAILURES`].
    pub(crate) fn consecutive(&self) -> u32 {
        self.consecutive.min(CONSECUTIVE_FAILURES)
    }

    /// Ejects the target and returns the end of the ejection.
    pub(crate) fn eject(&mut self, now: Instant) -> Instant {
        let time = FIRST_EJECTION
            .saturating_mul(1 << self.ejections.min(5))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.consecutive = 0;
        self.failures = 0;
        self.total = 0;
        self.ejected_until = Some(now + time);
        now + time
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(crate) const fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Ends an ejection whose time has passed. The target is half-open until its first success.
    pub(crate) fn release(&mut self, now: Instant) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.half_open = true;
        }
    }

    /// Counts an exchange, and starts a new window if the current one is over. A window without failures shortens the
    /// next ejection by one doubling.
    fn count(&mut self, failed: bool, now: Instant) {
        if now.saturating_duration_since(self.window_started) > RATE_WINDOW {
            if self.failures == 0 {
                self.ejections = self.ejections.saturating_sub(1);
            }
            self.failures = 0;
            self.total = 0;
            self.window_started = now;
        }
        self.total += 1;
        self.failures += u32::from(failed);
    }
}
