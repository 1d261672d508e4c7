//! Share of the requests for a service that leaves the data centre.

use std::time::{Duration, Instant};

/// Time between two adjustments of the share.
const PERIOD: Duration = Duration::from_millis(100);
/// Change of the share in one period for a relative difference of 1 between near and far.
const GAIN: f64 = 0.5;
/// Largest change in one period. Reports are older than a request, so a larger step would overshoot.
const MAX_STEP: f64 = 0.15;
/// Part of the threshold below which the difference must fall before requests return. Between it and the threshold the
/// share stays, so that it does not swing.
const RETURN_PART: f64 = 0.5;
/// Fall in one period while near targets serve without a queue.
const RETURN_STEP: f64 = 0.05;
/// Smallest fall in one period while leaving saves too little.
const MIN_FALL: f64 = 0.02;
/// Part of the near completion that a crossing must save as well. Where both sides have long queues, smaller differences
/// are noise, and crossings would help nobody.
const MARGIN: f64 = 0.1;
/// Share that leaves to learn how far targets do, while near ones have a queue.
const PROBE_SHARE: f64 = 0.05;

/// Expected completion of one more request at the targets of one side.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SideCompletion {
    /// Mean over the targets, in seconds.
    pub mean_s: f64,
    /// Part of it that is spent waiting.
    pub wait_s: f64,
}

/// Decides which share of the requests of an entry node goes to targets of other data centres.
///
/// The share rises while a request is expected to complete sooner there by more than the cost of a crossing, and falls
/// while it is not. It is adjusted in small steps, because each node decides for itself and all see the same targets.
#[derive(Debug, Clone)]
pub struct LeavingShare {
    crossing_cost_s: f64,
    share: f64,
    adjusted: Instant,
    is_informed: bool,
}

impl LeavingShare {
    /// A share of zero. `crossing_cost` is the time that a crossing must save to be worth its price.
    #[must_use]
    pub const fn new(crossing_cost: Duration, now: Instant) -> Self {
        Self {
            crossing_cost_s: crossing_cost.as_secs_f64(),
            share: 0.0,
            adjusted: now,
            is_informed: false,
        }
    }

    /// Replaces the cost of a crossing.
    pub const fn set_crossing_cost(&mut self, crossing_cost: Duration) {
        self.crossing_cost_s = crossing_cost.as_secs_f64();
    }

    /// Whether an adjustment is due.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.adjusted) >= PERIOD
    }

    /// Adjusts the share to what is known of both sides; `None` where nothing recent is known. Far targets are known only
    /// while requests leave.
    pub fn adjust(
        &mut self,
        near: Option<SideCompletion>,
        far: Option<SideCompletion>,
        now: Instant,
    ) {
        self.adjusted = now;
        self.is_informed = near.is_some();
        let Some(near) = near else {
            return;
        };
        self.share = (self.share + self.step(near, far)).clamp(0.0, 1.0);
    }

    /// Probability with which a request leaves, given what was reported recently of the near and the far target that were
    /// drawn for it. It is the share, or more where the near target has a queue and the far one has not: targets with few
    /// slots fill and empty within the time of an adjustment.
    #[must_use]
    pub fn chance(&self, near: Option<SideCompletion>, far: Option<SideCompletion>) -> f64 {
        let (Some(near), Some(far)) = (near, far) else {
            return self.share;
        };
        if near.wait_s <= self.crossing_cost_s {
            return self.share;
        }
        let saved_s = near.mean_s - far.mean_s - self.threshold_s(near.mean_s);
        (saved_s / near.mean_s.max(f64::MIN_POSITIVE)).clamp(self.share, 1.0)
    }

    /// Time that leaving must save.
    fn threshold_s(&self, near_s: f64) -> f64 {
        self.crossing_cost_s + MARGIN * near_s
    }

    fn step(&self, near: SideCompletion, far: Option<SideCompletion>) -> f64 {
        if near.wait_s <= self.crossing_cost_s {
            return -RETURN_STEP;
        }
        let Some(far) = far else {
            return PROBE_SHARE - self.share;
        };
        let saved_s = near.mean_s - far.mean_s;
        let threshold_s = self.threshold_s(near.mean_s);
        let gain_per_s = GAIN / (near.mean_s + far.mean_s).max(f64::MIN_POSITIVE);
        if saved_s > threshold_s {
            return (gain_per_s * (saved_s - threshold_s)).min(MAX_STEP);
        }
        let lacking_s = threshold_s * RETURN_PART - saved_s;
        if lacking_s > 0.0 {
            return -(gain_per_s * lacking_s).clamp(MIN_FALL, MAX_STEP);
        }
        0.0
    }

    /// The share, from 0 to 1; `None` while too little is known to decide by it.
    #[must_use]
    pub fn share(&self) -> Option<f64> {
        self.is_informed.then_some(self.share)
    }
}
