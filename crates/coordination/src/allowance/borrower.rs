//! Borrower of tokens for the requests of one workspace that enter at a node.

use {
    super::{AllowanceLoan, LOAN_TIME, SHARES},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time after which an owner that has not answered counts as silent and the next one is asked.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a silent owner is not asked again.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Shortest time for which a share that had no token is not asked again. Without it, the nodes of a workspace above its
/// allowance would ask once for each token.
pub const MIN_EMPTY_TIME: Duration = Duration::from_millis(50);

/// Requests of a workspace that may wait for tokens at one node.
pub const MAX_WAITING_REQUESTS: u32 = 1_024;

/// Questions whose answers are still accepted: those of the time of a loan.
const MAX_QUESTIONS: usize = 8;

/// Part of the requests expected within the time of a loan that is borrowed ahead. The rest is asked for when it comes,
/// so that little runs out unused.
const AHEAD_PART: f64 = 0.5;

/// Time over which grants and denials are counted.
const BACKLOG_WINDOW: Duration = Duration::from_secs(1);

/// Longest time that a denial states.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Grants and denials of the last full window and the present one.
#[derive(Debug, Clone, Copy)]
struct Backlog {
    started: Instant,
    granted: u32,
    denied: u32,
    last_granted: u32,
    last_denied: u32,
}

impl Backlog {
    const fn new(now: Instant) -> Self {
        Self {
            started: now,
            granted: 0,
            denied: 0,
            last_granted: 0,
            last_denied: 0,
        }
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
        if elapsed < BACKLOG_WINDOW {
            return;
        }
        let is_recent = elapsed < BACKLOG_WINDOW * 2;
        self.last_granted = if is_recent { self.granted } else { 0 };
        self.last_denied = if is_recent { self.denied } else { 0 };
        (self.granted, self.denied) = (0, 0);
        self.started = now;
    }

    /// Time in which the callers that were denied recently would all get a token, at the rate of the recent grants.
    fn time_to_clear(&self) -> Duration {
        let (granted, denied) = (
            self.granted + self.last_granted,
            self.denied + self.last_denied,
        );
        let windows = f64::from(denied) / f64::from(granted.max(1));
        BACKLOG_WINDOW.mul_f64(windows).min(MAX_RETRY_AFTER)
    }
}

/// Why requests get no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The allowance is used up; there is a token for one more caller after this time.
    UsedUp(Duration),
    /// No owner has answered, so nothing is known about the allowance.
    Unknown,
}

/// What a borrower wants next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BorrowerStep {
    /// Ask the owner of a share.
    Ask {
        /// Number of the share.
        share: usize,
        /// Number of the question.
        question: u64,
        /// Requests that wait.
        needed: u32,
        /// Requests expected within the time of the loan.
        ahead: u32,
    },
    /// Refuse all requests that wait.
    Deny(Denial),
    /// Nothing before this time, unless a request or an answer comes.
    WaitUntil(Instant),
    /// Nothing until a request comes.
    Idle,
}

#[derive(Debug, Clone, Copy)]
struct Question {
    number: u64,
    share: usize,
    asked: Instant,
}

/// Tokens, open question and waiting requests of one workspace at one node.
#[derive(Debug)]
pub struct Borrower {
    tokens: u32,
    tokens_until: Instant,
    waiting: u32,
    open: Option<Question>,
    recent: VecDeque<Question>,
    /// Times before which the shares are not asked, because they had no token or their owner was silent.
    blocked_until: [Option<(Instant, bool)>; SHARES],
    arrivals: u32,
    arrivals_since: Instant,
    rate_per_s: f64,
    backlog: Backlog,
}

impl Borrower {
    /// A borrower without tokens.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            tokens_until: now,
            waiting: 0,
            open: None,
            recent: VecDeque::new(),
            blocked_until: [None; SHARES],
            arrivals: 0,
            arrivals_since: now,
            rate_per_s: 0.0,
            backlog: Backlog::new(now),
        }
    }

    /// A request arrives. Returns whether it may run; otherwise it waits, or is refused if too many do.
    ///
    /// # Errors
    ///
    /// When too many requests wait.
    pub fn arrive(&mut self, now: Instant) -> Result<bool, Denial> {
        self.count_arrival(now);
        if self.waiting == 0 && self.take(now) {
            return Ok(true);
        }
        if self.waiting >= MAX_WAITING_REQUESTS {
            return Err(Denial::UsedUp(MIN_EMPTY_TIME));
        }
        self.waiting += 1;
        Ok(false)
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&mut self, now: Instant) {
        if now < self.tokens_until {
            self.tokens = self.tokens.saturating_add(1);
        }
    }

    /// Takes a token for the request that has waited longest. Returns whether it may run.
    pub fn grant_waiting(&mut self, now: Instant) -> bool {
        let granted = self.waiting > 0 && self.take(now);
        if granted {
            self.waiting -= 1;
        }
        granted
    }

    /// Records the answer to a question. One that is late by more than the time of a loan, doubled or unknown has no
    /// effect.
    pub fn answer(&mut self, loan: &AllowanceLoan, now: Instant) {
        let Some(position) = self
            .recent
            .iter()
            .position(|question| question.number == loan.question)
        else {
            return;
        };
        let Some(question) = self.recent.remove(position) else {
            return;
        };
        if self.open.is_some_and(|open| open.number == question.number) {
            self.open = None;
        }
        self.blocked_until[question.share] = (!loan.retry_after.is_zero())
            .then(|| (now + loan.retry_after.max(MIN_EMPTY_TIME), false));
        let until = question.asked + LOAN_TIME;
        if loan.tokens == 0 || until <= now {
            return;
        }
        if now >= self.tokens_until {
            self.tokens = 0;
            self.tokens_until = until;
        }
        self.tokens = self.tokens.saturating_add(loan.tokens);
        // The earlier end holds for all tokens, so that none is used after its own.
        self.tokens_until = self.tokens_until.min(until);
    }

    /// Decides what to do for the requests that wait. `order` lists the shares in the order in which they are asked.
    pub fn step(
        &mut self,
        order: [usize; SHARES],
        next_question: &mut u64,
        now: Instant,
    ) -> BorrowerStep {
        if let Some(open) = self.open {
            let timeout = open.asked + REPLY_TIMEOUT;
            if now < timeout {
                return BorrowerStep::WaitUntil(timeout);
            }
            self.open = None;
            self.blocked_until[open.share] = Some((now + SILENT_TIME, true));
        }
        if self.waiting == 0 {
            return BorrowerStep::Idle;
        }
        let is_blocked =
            |share: &usize| self.blocked_until[*share].is_some_and(|(until, _)| now < until);
        let Some(share) = order.into_iter().find(|share| !is_blocked(share)) else {
            return BorrowerStep::Deny(self.denial(now));
        };
        *next_question += 1;
        let question = Question {
            number: *next_question,
            share,
            asked: now,
        };
        self.open = Some(question);
        if self.recent.len() >= MAX_QUESTIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(question);
        BorrowerStep::Ask {
            share,
            question: question.number,
            needed: self.waiting,
            ahead: self.ahead(),
        }
    }

    /// All waiting requests were refused.
    pub fn denied(&mut self, now: Instant) {
        self.backlog.roll(now);
        self.backlog.denied += self.waiting;
        self.waiting = 0;
    }

    /// Whether the state may be dropped.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.waiting == 0
            && self.open.is_none()
            && now >= self.tokens_until
            && now.saturating_duration_since(self.arrivals_since) > SILENT_TIME
    }

    /// Tokens that can be used now.
    #[must_use]
    pub fn tokens(&self, now: Instant) -> u32 {
        if now < self.tokens_until {
            self.tokens
        } else {
            0
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let has_token = now < self.tokens_until && self.tokens > 0;
        if has_token {
            self.tokens -= 1;
            self.backlog.roll(now);
            self.backlog.granted += 1;
        }
        has_token
    }

    /// Why no share can be asked. An owner that said that its share is empty makes the denial certain only if every
    /// other one has said so too.
    fn denial(&self, now: Instant) -> Denial {
        let mut shortest = Duration::MAX;
        for (until, is_silent) in self.blocked_until.iter().flatten() {
            if *is_silent {
                return Denial::Unknown;
            }
            shortest = shortest.min(until.saturating_duration_since(now));
        }
        // A caller that returns for the next token would find others there that were denied before it.
        Denial::UsedUp(shortest.max(self.backlog.time_to_clear()))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate of requests is small and not negative"
    )]
    fn ahead(&self) -> u32 {
        (self.rate_per_s * LOAN_TIME.as_secs_f64() * AHEAD_PART) as u32
    }

    /// Measures the rate of arrivals over windows of the time of a loan.
    fn count_arrival(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.arrivals_since);
        if elapsed >= LOAN_TIME {
            self.rate_per_s = f64::from(self.arrivals) / elapsed.as_secs_f64();
            self.arrivals = 0;
            self.arrivals_since = now;
        }
        self.arrivals += 1;
    }
}
