//! Budget for the retries of one service at one node, as a share of its first attempts.

use std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
};

/// Default number of retries earned by one first attempt.
const RETRY_SHARE: f64 = 0.1;
/// Default number of retries earned per second regardless of traffic, so that a service with few requests can still
/// retry.
const MIN_RETRIES_PER_SECOND: f64 = 0.5;
/// Default capacity of the token bucket. A larger reserve would be spent in one burst when a target fails.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Time within which a repeated request counts as a resend by its caller.
const RESEND_WINDOW: Duration = Duration::from_secs(10);
/// Requests that are stored to detect resends. At a higher rate the window becomes shorter.
const MAX_TRACKED_REQUESTS: usize = 8_192;

/// Whether an arriving request is a resend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The request has not arrived before within the resend window.
    First,
    /// The request has arrived before within the resend window, so the caller sent it again.
    Resend,
}

/// Parameters of a retry budget. Its unit is one retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries earned by one first attempt, such as 0.1.
    pub share: f64,
    /// Retries earned per second regardless of traffic.
    pub per_s: f64,
    /// Largest number of unused retries that is kept.
    pub reserve: f64,
    /// Cost in retries of a retry by which the request may run a second time. Its calls may then be repeated as well,
    /// and count as load of the downstream services.
    pub rerun_cost: f64,
    /// Whether what was not spent in the last 10 s may still be spent. The bound then holds in each window of
    /// that length; without this, it holds from each second to the next, but for the reserve.
    pub is_windowed: bool,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            share: RETRY_SHARE,
            per_s: MIN_RETRIES_PER_SECOND,
            reserve: MAX_SAVED_RETRIES,
            rerun_cost: 1.0,
            is_windowed: false,
        }
    }
}

/// Bound on the retries that a service may receive from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimits {
    /// Retries as a share of the requests for the service.
    pub share: f64,
    /// Retries allowed in a window in addition to that share.
    pub slack: f64,
}

impl FleetRetryLimits {
    /// Part of the share that nodes may use for their own retries. The rest is left for calls that are repeated because
    /// the exchange that made them ran again.
    const DIRECT_PART: f64 = 0.6;
    /// Part of the slack that nodes hold as reserve. Not all of it, because a node that restarts has a full reserve a
    /// second time within the same window.
    const RESERVE_PART: f64 = 0.5;
    /// Number of runs caused by one repeated run of a call chain with two calls on each of two levels, minus those that
    /// are cut short.
    const RERUN_COST: f64 = 3.0;

    /// Limits of each of `nodes` nodes. If all nodes apply them, the bound holds without coordination between the
    /// nodes.
    #[must_use]
    pub fn per_node(self, nodes: usize) -> RetryLimits {
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        RetryLimits {
            share: self.share * Self::DIRECT_PART,
            per_s: 0.0,
            reserve: (self.slack * Self::RESERVE_PART / nodes).max(1.0),
            rerun_cost: Self::RERUN_COST,
            is_windowed: true,
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
    /// Retries spent within the window and their costs, where the limits are windowed.
    spent: VecDeque<(Instant, f64)>,
    spent_sum: f64,
    evicted: u64,
}

impl RetryBudget {
    /// Creates a full bucket with the default limits.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RetryLimits::default(), now)
    }

    /// Creates a full bucket with the given limits.
    #[must_use]
    pub fn with_limits(limits: RetryLimits, now: Instant) -> Self {
        Self {
            limits,
            tokens: limits.reserve,
            refilled: now,
            seen: HashSet::new(),
            order: VecDeque::new(),
            spent: VecDeque::new(),
            spent_sum: 0.0,
            evicted: 0,
        }
    }

    /// Replaces the limits. Retries above the new reserve are discarded.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(limits.reserve);
    }

    /// Records a request from a caller. A first attempt earns a share of a retry; a resend uses up to one retry.
    ///
    /// `identity` is a hash of the idempotency key, or of root, hop and fingerprint.
    pub fn record_arrival(&mut self, identity: u64, now: Instant) -> Arrival {
        self.refill(now);
        self.evict_expired(now);
        if self.seen.contains(&identity) {
            if self.limits.is_windowed {
                self.withdraw_within_window(1.0, now);
            }
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Arrival::Resend;
        }
        if self.order.len() >= MAX_TRACKED_REQUESTS
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
            self.evicted += 1;
        }
        self.seen.insert(identity);
        self.order.push_back((now, identity));
        self.tokens = (self.tokens + self.limits.share).min(self.limits.reserve);
        Arrival::First
    }

    /// Withdraws one retry. Returns false, and withdraws nothing, if the budget has less.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.withdraw_cost(1.0, now)
    }

    /// Withdraws the cost of a retry by which the request may run a second time. Returns false, and withdraws nothing,
    /// if the budget has less.
    pub fn withdraw_rerun(&mut self, now: Instant) -> bool {
        // Without the cap, a reserve below the cost would never allow such a retry.
        self.withdraw_cost(self.limits.rerun_cost.min(self.limits.reserve), now)
    }

    fn withdraw_cost(&mut self, cost: f64, now: Instant) -> bool {
        if self.limits.is_windowed {
            return self.withdraw_within_window(cost, now);
        }
        self.refill(now);
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// A service that sheds many requests at once needs more retries for a while than it earns meanwhile. What it has
    /// earned and not spent in the window before is left for it.
    fn withdraw_within_window(&mut self, cost: f64, now: Instant) -> bool {
        self.evict_expired(now);
        #[expect(
            clippy::cast_precision_loss,
            reason = "the number of tracked requests is far below the precision of a float"
        )]
        let earned = self.limits.share * self.order.len() as f64;
        if self.spent_sum + cost > self.limits.reserve + earned {
            return false;
        }
        self.spend(cost, now);
        true
    }

    fn spend(&mut self, cost: f64, now: Instant) {
        self.spent.push_back((now, cost));
        self.spent_sum += cost;
    }

    /// Number of retries in the bucket, as of the last refill.
    #[must_use]
    pub const fn available(&self) -> f64 {
        self.tokens
    }

    /// Total number of requests that were evicted before the end of the resend window because the table was full.
    #[must_use]
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.limits.per_s).min(self.limits.reserve);
    }

    /// Removes the requests and the spent retries that are older than the resend window.
    fn evict_expired(&mut self, now: Instant) {
        while let Some(&(at, cost)) = self.spent.front() {
            if now.saturating_duration_since(at) < RESEND_WINDOW {
                break;
            }
            self.spent.pop_front();
            self.spent_sum -= cost;
        }
        while let Some(&(at, identity)) = self.order.front() {
            if now.saturating_duration_since(at) < RESEND_WINDOW {
                break;
            }
            self.order.pop_front();
            self.seen.remove(&identity);
        }
    }
}
