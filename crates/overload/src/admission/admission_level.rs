//! Admission level of a gate, controlled by queueing delay.

use {
    crate::admission::Level,
    jujubeline_core::{Class, RootId},
    std::time::{Duration, Instant},
};

/// Shortest time between two adjustments of the level.
const WINDOW: Duration = Duration::from_millis(100);
/// Longest time for collecting the completions that a reduction of the level needs.
const MAX_WINDOW: Duration = Duration::from_millis(500);
/// Completions that a reduction of the level needs. With fewer, noise alone changes the measured capacity by more than
/// a quarter.
const FALL_SAMPLES: u32 = 20;
/// Standing delay above which the level is reduced. DAGOR uses the same 20 ms.
const HIGH_DELAY: Duration = Duration::from_millis(20);
/// The same bound as the time of this many completions, for targets that complete so few requests that even a short
/// queue waits for longer than [`HIGH_DELAY`].
const HIGH_DELAY_COMPLETIONS: u32 = 4;
/// Upper bound of that delay, below the queue timeouts of all classes but the lowest.
const MAX_HIGH_DELAY: Duration = Duration::from_millis(200);
/// Standing delay of critical requests above which the level may exclude them as well: a quarter of their queue
/// timeout. With 20 ms, random bursts excluded some critical requests at 0.9 of the capacity of a target with 15 slots.
const CRITICAL_HIGH_DELAY: Duration = Duration::from_millis(250);
/// Largest reduction in one window, as a share of the admitted requests.
const MAX_FALL: f64 = 0.5;
/// Factor on the measured capacity that is admitted after a reduction. It is above 1 so that the queue does not run
/// empty.
const OVERSHOOT: f64 = 1.1;
/// Smallest increase in one window, in keys.
const MIN_RISE: u16 = 24;

/// Feedback controller of the admission level of one gate.
///
/// Its input is the standing delay: the minimum, over a window, of the age of the oldest waiting request of a class. A
/// burst that the target completes within the window does not raise it.
#[derive(Debug)]
pub struct AdmissionLevel {
    level: Level,
    admitted: [u32; Level::KEYS],
    admitted_total: u32,
    completed: u32,
    standing_delay: [Duration; 4],
    /// Whether requests were refused in this window because of the limit that the target states, and whether critical
    /// ones were.
    rate_refused: (bool, bool),
    window_started: Instant,
    /// Whether a reduction is due and waits for completions.
    is_postponed: bool,
}

impl AdmissionLevel {
    /// Creates a controller that admits everything.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            level: Level::OPEN,
            admitted: [0; Level::KEYS],
            admitted_total: 0,
            completed: 0,
            standing_delay: [Duration::MAX; 4],
            rate_refused: (false, false),
            window_started: now,
            is_postponed: false,
        }
    }

    /// The level in effect. The header of a response carries the lower one of this level and the level of the calls of
    /// the target.
    #[must_use]
    pub const fn level(&self) -> Level {
        self.level
    }

    /// Returns whether the level admits a request, and counts the request if so.
    pub fn admit(&mut self, class: Class, root: RootId) -> bool {
        if !self.level.admits(class, root) {
            return false;
        }
        self.admitted[usize::from(Level::key(class, root))] += 1;
        self.admitted_total += 1;
        true
    }

    /// Records the age of the oldest waiting request of a class; zero when none is waiting.
    pub fn record_delay(&mut self, class: Class, delay: Duration) {
        let standing = &mut self.standing_delay[class.rank()];
        *standing = delay.min(*standing);
    }

    /// Records a request that was refused because of the limit that the target states. Such a request does not wait, so
    /// the standing delay would not show the excess.
    pub fn record_rate_refusal(&mut self, class: Class) {
        let (_, critical) = self.rate_refused;
        self.rate_refused = (true, critical || class == Class::Critical);
    }

    /// Counts a request that the target completed.
    pub const fn record_completed(&mut self) {
        self.completed += 1;
    }

    /// Adjusts the level at the end of a window. Returns whether the level has changed.
    pub fn adjust(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.window_started);
        if elapsed < WINDOW {
            return false;
        }
        let before = self.level;
        let high = if self.completed == 0 {
            HIGH_DELAY
        } else {
            (elapsed * HIGH_DELAY_COMPLETIONS / self.completed).clamp(HIGH_DELAY, MAX_HIGH_DELAY)
        };
        let delays = self.standing_delay.map(|delay| {
            if delay == Duration::MAX {
                Duration::ZERO
            } else {
                delay
            }
        });
        let longest = delays.into_iter().max().unwrap_or_default();
        let (is_rate_exceeded, is_critical_refused) = self.rate_refused;
        if longest > high || is_rate_exceeded {
            if self.completed < FALL_SAMPLES && elapsed < MAX_WINDOW {
                self.is_postponed = true;
                return false;
            }
            let is_critical_delayed =
                delays[Class::Critical.rank()] > CRITICAL_HIGH_DELAY.max(high);
            self.fall(is_critical_delayed || is_critical_refused);
        } else if longest < high / 4 {
            let keys = self.level.keys();
            self.level = Level::new(keys + MIN_RISE.max(keys / 8));
        }
        self.admitted.fill(0);
        self.admitted_total = 0;
        self.completed = 0;
        self.standing_delay = [Duration::MAX; 4];
        self.rate_refused = (false, false);
        self.window_started = now;
        self.is_postponed = false;
        self.level != before
    }

    /// Time of the next adjustment if nothing completes until then.
    #[must_use]
    pub fn next_adjustment(&self) -> Instant {
        let window = if self.is_postponed {
            MAX_WINDOW
        } else {
            WINDOW
        };
        self.window_started + window
    }

    fn fall(&mut self, critical_delayed: bool) {
        let floor = if critical_delayed {
            Level::LOWEST
        } else {
            Level::CRITICAL_ONLY
        };
        let admitted = f64::from(self.admitted_total);
        let wanted = (f64::from(self.completed) * OVERSHOOT)
            .min(admitted)
            .max(admitted * (1.0 - MAX_FALL));
        let mut sum = 0.0;
        let mut keys = 0;
        for count in &self.admitted[..usize::from(self.level.keys())] {
            sum += f64::from(*count);
            if sum > wanted {
                break;
            }
            keys += 1;
        }
        self.level = Level::new(keys).max(floor).min(self.level);
    }
}
