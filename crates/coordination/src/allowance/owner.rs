//! Owner of shares: token buckets from which tokens are lent.

use {
    super::{AllowanceAsk, AllowanceLoan, SHARES, WorkspaceHash},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time between a change of the owners, as this node sees it, and the first loan of a share that is new here. The
/// previous owner learns of the change within this time.
pub const OWNER_DELAY: Duration = Duration::from_secs(1);

/// Tokens that each bucket holds in addition to its part of the burst. The parts of a small burst would hold less than
/// one token each.
const EXTRA_TOKENS: f64 = 2.0;

/// Capacity of the table: the shares of 16,384 workspaces if this node owned them all.
const MAX_BUCKETS: usize = 49_152;

/// Time after which a bucket that lends nothing is dropped. It begins empty if it is needed again.
const IDLE_TIME: Duration = Duration::from_mins(1);

/// Limit of one share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLimit {
    /// Tokens added per second.
    pub rate_per_s: f64,
    /// Most tokens that the bucket holds.
    pub capacity: f64,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    counted: Instant,
    used: Instant,
}

/// Token buckets of the shares that a node owns.
#[derive(Debug)]
pub struct AllowanceOwner {
    buckets: HashMap<(WorkspaceHash, u8), Bucket>,
    /// Last change of the set of nodes that may own shares, or the start of the process.
    owners_since: Instant,
    refused: u64,
}

impl ShareLimit {
    /// Limit of each share of a workspace with this rate and burst.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "the number of shares is small")]
    pub fn of_allowance(rate_per_s: f64, burst: u32) -> Self {
        let shares = SHARES as f64;
        Self {
            rate_per_s: rate_per_s / shares,
            capacity: f64::from(burst) / shares + EXTRA_TOKENS,
        }
    }
}

impl AllowanceOwner {
    /// An owner that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            buckets: HashMap::new(),
            owners_since: now,
            refused: 0,
        }
    }

    /// Records that the set of nodes that may own shares has changed.
    pub const fn owners_changed(&mut self, now: Instant) {
        self.owners_since = now;
    }

    /// Number of buckets in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no bucket is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Total number of loans that were refused because the table was full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Lends tokens of a share that this node owns. The needed tokens are lent as far as there are any, those ahead
    /// only while the bucket stays at least half full.
    pub fn lend(&mut self, ask: &AllowanceAsk, limit: ShareLimit, now: Instant) -> AllowanceLoan {
        let key = (ask.workspace, ask.share);
        let ready = self.owners_since + OWNER_DELAY;
        if !self.buckets.contains_key(&key) {
            if now < ready {
                return loan(ask, 0, ready - now);
            }
            if !self.make_room(now) {
                self.refused += 1;
                return loan(ask, 0, OWNER_DELAY);
            }
        }
        // A share that is new here begins empty at the end of the delay: the previous owner may have lent all of it.
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            tokens: 0.0,
            counted: ready,
            used: now,
        });
        bucket.refill(limit, now);
        bucket.used = now;
        let needed = f64::from(ask.needed).min(bucket.tokens.floor());
        bucket.tokens -= needed;
        let spare = (bucket.tokens - limit.capacity / 2.0).floor().max(0.0);
        let ahead = f64::from(ask.ahead).min(spare);
        bucket.tokens -= ahead;
        let lent = whole(needed + ahead);
        if lent >= ask.needed {
            return loan(ask, lent, Duration::ZERO);
        }
        loan(ask, lent, bucket.time_to_token(limit))
    }

    /// Whether the table has room for one more bucket, after idle ones were dropped if it was full.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.buckets.len() >= MAX_BUCKETS {
            self.buckets
                .retain(|_, bucket| now.saturating_duration_since(bucket.used) < IDLE_TIME);
        }
        self.buckets.len() < MAX_BUCKETS
    }
}

impl Bucket {
    fn refill(&mut self, limit: ShareLimit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted);
        self.tokens = (self.tokens + limit.rate_per_s * elapsed.as_secs_f64()).min(limit.capacity);
        self.counted = self.counted.max(now);
    }

    fn time_to_token(&self, limit: ShareLimit) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / limit.rate_per_s).unwrap_or(IDLE_TIME)
    }
}

const fn loan(ask: &AllowanceAsk, tokens: u32, retry_after: Duration) -> AllowanceLoan {
    AllowanceLoan {
        question: ask.question,
        workspace: ask.workspace,
        tokens,
        retry_after,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the sum of two counts of 32 bits is rounded down and saturates"
)]
const fn whole(tokens: f64) -> u32 {
    tokens as u32
}
