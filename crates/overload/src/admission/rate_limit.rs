//! Limit on the rate of requests that the local target states in its responses.

use {
    jujubeline_core::StatedRate,
    std::time::{Duration, Instant},
};

/// Time whose share of the limit may be spent at once after a pause.
const BURST: Duration = Duration::from_millis(250);
/// Lowest rate in requests per second. A target that gets no request at all could not state that its limit has ended.
const MIN_PER_S: f64 = 0.25;
/// Longest wait that [`RateLimit::wait`] returns.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Token bucket that holds the requests to a target to the limit that the target stated last. Without a limit it always
/// has a token.
#[derive(Debug)]
pub struct RateLimit {
    per_s: Option<f64>,
    /// Time of the last response that stated a limit.
    stated: Instant,
    /// Whether a response of the present process of the target was seen.
    is_observed: bool,
    tokens: f64,
    /// Time at which `tokens` was counted.
    counted: Instant,
}

/// Change of a stated limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// Requests per second before; `None` without a limit.
    pub before: Option<f64>,
    /// Requests per second from now on; `None` without a limit.
    pub after: Option<f64>,
}

impl RateLimit {
    /// Without a limit until a response states one.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            per_s: None,
            stated: now,
            is_observed: false,
            tokens: 0.0,
            counted: now,
        }
    }

    /// Requests per second that the target accepts; `None` without a limit.
    #[must_use]
    pub const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Applies the statement in a response to a request that was sent at `sent`. A response without a limit ends one
    /// only if its request was sent after the last response with a limit, because responses can overtake each other.
    pub fn observe(
        &mut self,
        stated: StatedRate,
        sent: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let before = self.per_s;
        self.is_observed = true;
        match stated {
            StatedRate::PerSecond(per_s) => {
                self.set(per_s, now);
                self.stated = now;
            }
            StatedRate::Unlimited if sent >= self.stated => self.per_s = None,
            StatedRate::Unlimited | StatedRate::Unreadable => {}
        }
        let after = self.per_s;
        (before != after).then_some(RateChange { before, after })
    }

    /// Adopts a limit that another node heard from the target, unless the target has responded here.
    pub fn adopt(&mut self, per_s: f64, now: Instant) -> Option<RateChange> {
        if self.is_observed || self.per_s.is_some() {
            return None;
        }
        self.set(per_s, now);
        Some(RateChange {
            before: None,
            after: self.per_s,
        })
    }

    /// Removes the limit, when another process of the target has started.
    pub const fn clear(&mut self) {
        self.per_s = None;
        self.is_observed = false;
    }

    /// Whether one more request may be sent now.
    #[must_use]
    pub fn has_token(&self, now: Instant) -> bool {
        self.wait(1, now).is_zero()
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        if self.per_s.is_some() {
            self.count(now);
            self.tokens -= 1.0;
        }
    }

    /// Time until `position` requests may have been sent, one of them being the first in the queue.
    #[must_use]
    pub fn wait(&self, position: usize, now: Instant) -> Duration {
        let Some(per_s) = self.effective_per_s() else {
            return Duration::ZERO;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "a queue is shorter than 2 to the power of 52"
        )]
        let missing = position as f64 - self.tokens_at(now);
        if missing <= ROUNDING {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((missing / per_s).min(MAX_WAIT.as_secs_f64()))
    }

    /// Share of the burst that is spent; zero without a limit.
    #[must_use]
    pub fn utilisation(&self, now: Instant) -> f64 {
        match self.effective_per_s() {
            Some(per_s) => (1.0 - self.tokens_at(now) / burst(per_s)).clamp(0.0, 1.0),
            None => 0.0,
        }
    }

    /// A limit begins with one token. What was sent before counts toward the same windows at the target.
    fn set(&mut self, per_s: f64, now: Instant) {
        if self.per_s.is_none() {
            self.tokens = 1.0;
            self.counted = now;
        }
        self.count(now);
        self.per_s = Some(per_s);
        self.tokens = self.tokens.min(burst(per_s.max(MIN_PER_S)));
    }

    fn count(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.counted = now;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let Some(per_s) = self.effective_per_s() else {
            return self.tokens;
        };
        let elapsed = now.saturating_duration_since(self.counted);
        (self.tokens + per_s * elapsed.as_secs_f64()).min(burst(per_s))
    }

    fn effective_per_s(&self) -> Option<f64> {
        Some(self.per_s?.max(MIN_PER_S))
    }
}

/// Part of a token that is missing only because of rounding.
const ROUNDING: f64 = 1e-6;

fn burst(per_s: f64) -> f64 {
    (per_s * BURST.as_secs_f64()).max(1.0)
}
