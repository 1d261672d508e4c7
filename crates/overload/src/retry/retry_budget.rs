//! Retries of one service at one node, as a share of its first attempts.

use std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
};

/// Retries earned by one first attempt.
const RETRY_SHARE: f64 = 0.1;
/// Retries earned each second without traffic, so that a quiet service can still retry.
const MIN_RETRIES_PER_SECOND: f64 = 0.5;
/// Retries that can be saved up. A larger reserve would be spent at once when a target fails.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Time within which the same request counts as a resend by its caller.
const RESEND_WINDOW: Duration = Duration::from_secs(10);
/// Requests that are remembered to recognise resends. At a higher rate the window becomes shorter.
const MAX_REMEMBERED: usize = 8_192;

/// Whether a request that arrived was seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Not seen within the window.
    First,
    /// Seen within the window: the caller sent it again.
    Resend,
}

/// Bounds of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries earned by one first attempt.
    pub share: f64,
    /// Retries earned each second without traffic.
    pub per_s: f64,
    /// Retries that can be saved up.
    pub reserve: f64,
    /// Cost of a retry after which the request may run again. Its calls then run again as well and count at the services
    /// below.
    pub rerun_cost: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            share: RETRY_SHARE,
            per_s: MIN_RETRIES_PER_SECOND,
            reserve: MAX_SAVED_RETRIES,
            rerun_cost: 1.0,
        }
    }
}

/// Retries that a service may get from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimits {
    /// As a share of the requests for the service.
    pub share: f64,
    /// Beyond that share, within a window.
    pub slack: f64,
}

impl FleetRetryLimits {
    /// Part of the share that nodes spend on retries of their own. The rest is for calls that run again because the
    /// exchange that made them did.
    const OWN_PART: f64 = 0.6;
    /// Part of the slack that nodes save up. A node that starts again has a full reserve again within the same window.
    const RESERVED_PART: f64 = 0.5;
    /// Runs that one repeated run of a chain with two calls on each of two levels causes, less those that are cut short.
    const RERUN_COST: f64 = 3.0;

    /// The part of one of `nodes` nodes, which keep the bound together without a message between them.
    #[must_use]
    pub fn of_one(self, nodes: usize) -> RetryLimits {
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        RetryLimits {
            share: self.share * Self::OWN_PART,
            per_s: 0.0,
            reserve: (self.slack * Self::RESERVED_PART / nodes).max(1.0),
            rerun_cost: Self::RERUN_COST,
        }
    }
}

/// Token bucket that limits retries to a share of first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    tokens: f64,
    refilled: Instant,
    seen: HashSet<u64>,
    order: VecDeque<(Instant, u64)>,
    forgotten: u64,
}

impl RetryBudget {
    /// A full bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RetryLimits::default(), now)
    }

    /// A full bucket with bounds of its own.
    #[must_use]
    pub fn with_limits(limits: RetryLimits, now: Instant) -> Self {
        Self {
            limits,
            tokens: limits.reserve,
            refilled: now,
            seen: HashSet::new(),
            order: VecDeque::new(),
            forgotten: 0,
        }
    }

    /// Uses other bounds from now on. What is saved beyond them is lost.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(limits.reserve);
    }

    /// Records a request of a caller. A first attempt earns a share of a retry, a resend uses one.
    ///
    /// `identity` is a hash of the idempotency key, or of root, hop and fingerprint.
    pub fn arrive(&mut self, identity: u64, now: Instant) -> Arrival {
        self.refill(now);
        self.forget(now);
        if self.seen.contains(&identity) {
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Arrival::Resend;
        }
        if self.order.len() >= MAX_REMEMBERED
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
            self.forgotten += 1;
        }
        self.seen.insert(identity);
        self.order.push_back((now, identity));
        self.tokens = (self.tokens + self.limits.share).min(self.limits.reserve);
        Arrival::First
    }

    /// Uses one retry, if the budget has one.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.withdraw_cost(1.0, now)
    }

    /// Uses one retry after which the request may run again, if the budget has enough.
    pub fn withdraw_rerun(&mut self, now: Instant) -> bool {
        // A reserve below the cost would otherwise allow none.
        self.withdraw_cost(self.limits.rerun_cost.min(self.limits.reserve), now)
    }

    fn withdraw_cost(&mut self, cost: f64, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// Retries that can be made at once.
    #[must_use]
    pub const fn available(&self) -> f64 {
        self.tokens
    }

    /// Requests that were forgotten before the end of the window because the table was full.
    #[must_use]
    pub const fn forgotten(&self) -> u64 {
        self.forgotten
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.limits.per_s).min(self.limits.reserve);
    }

    fn forget(&mut self, now: Instant) {
        while let Some(&(at, identity)) = self.order.front() {
            if now.saturating_duration_since(at) < RESEND_WINDOW {
                break;
            }
            self.order.pop_front();
            self.seen.remove(&identity);
        }
    }
}
