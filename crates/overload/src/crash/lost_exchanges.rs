//! Attribution of exchanges without a response to crashes of the target's process.

use {
    jujubeline_core::Fingerprint,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time before a detected crash within which exchanges that ended without a response may have caused it. A port can
/// accept for a moment after the process has closed its connections, and a caller may leave just before.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Time for which exchanges without a response are kept until a new process announces itself. A process that is back
/// after some seconds sends its first heartbeat some seconds later still, and heartbeats may be delayed.
const NEW_PROCESS_WINDOW: Duration = Duration::from_secs(30);
/// Time after which a lost connection counts as a crash if the process has given no sign of life.
const CONFIRMATION_TIME: Duration = Duration::from_millis(500);
/// Bound on the kept exchanges: the number of connections of the largest target.
const MAX_EXCHANGES: usize = 660;

/// Number of a process of the target, as far as crashes and announcements tell them apart.
pub type Life = u64;

/// How an exchange ended without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The target closed the connection.
    Connection,
    /// The deadline passed or the caller left while the target was at work.
    Unfinished,
}

#[derive(Debug)]
struct LostExchange {
    fingerprint: Fingerprint,
    loss: Loss,
    at: Instant,
    is_confirmed: bool,
}

impl LostExchange {
    /// Whether the process has had enough time for a sign of life since the connection was lost.
    fn is_due(&self, now: Instant) -> bool {
        self.loss == Loss::Connection
            && !self.is_confirmed
            && now.saturating_duration_since(self.at) >= CONFIRMATION_TIME
    }
}

/// Exchanges with the present process of a target that ended without a response. Any of them may have crashed it.
#[derive(Debug, Default)]
pub struct LostExchanges {
    life: Life,
    is_unannounced: bool,
    exchanges: VecDeque<LostExchange>,
    dropped: u64,
}

impl LostExchanges {
    /// Number of the present process.
    #[must_use]
    pub const fn life(&self) -> Life {
        self.life
    }

    /// Whether the present process follows one whose crash was detected, and has not announced itself yet.
    #[must_use]
    pub const fn is_unannounced(&self) -> bool {
        self.is_unannounced
    }

    /// Records an exchange that ended without a response. Exchanges with a former process are ignored: they were in
    /// flight at its crash.
    pub fn record(&mut self, fingerprint: Fingerprint, life: Life, loss: Loss, now: Instant) {
        if life != self.life {
            return;
        }
        self.retain_since(now, NEW_PROCESS_WINDOW);
        if self.exchanges.len() >= MAX_EXCHANGES {
            self.exchanges.pop_front();
            self.dropped += 1;
        }
        self.exchanges.push_back(LostExchange {
            fingerprint,
            loss,
            at: now,
            is_confirmed: false,
        });
    }

    /// Records a complete response to a request that was sent after `sent` on a connection that was opened at `opened`.
    /// The process that accepted the connection has outlived those that were lost in between. A response to an earlier
    /// request may have been on its way at a crash.
    pub fn record_response(&mut self, opened: Instant, sent: Instant) {
        self.exchanges.retain(|exchange| {
            exchange.loss != Loss::Connection || exchange.at < opened || exchange.at > sent
        });
    }

    /// Whether [`Self::confirm`] would return an exchange.
    #[must_use]
    pub fn is_confirmation_due(&self, now: Instant) -> bool {
        self.exchanges.iter().any(|exchange| exchange.is_due(now))
    }

    /// Returns, once each, the exchanges whose lost connections now count as a crash although the port still accepts.
    pub fn confirm(&mut self, now: Instant) -> Vec<Fingerprint> {
        let due = self
            .exchanges
            .iter_mut()
            .filter(|exchange| exchange.is_due(now));
        due.map(|exchange| {
            exchange.is_confirmed = true;
            exchange.fingerprint
        })
        .collect()
    }

    /// Ends the present process after a detected crash. Returns the exchanges that may have caused it.
    pub fn end_by_crash(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.is_unannounced = true;
        self.end(now, CRASH_WINDOW)
    }

    /// Ends the present process because another one has announced itself. Returns the exchanges that may have crashed
    /// the former one. After a detected crash, the announcement is about the present process, which goes on. It also
    /// goes on if no exchange was lost: those in flight may run at the announced process.
    pub fn end_by_new_process(&mut self, now: Instant) -> Vec<Fingerprint> {
        if std::mem::take(&mut self.is_unannounced) {
            return Vec::new();
        }
        self.retain_since(now, NEW_PROCESS_WINDOW);
        if self.exchanges.is_empty() {
            return Vec::new();
        }
        self.end(now, NEW_PROCESS_WINDOW)
    }

    /// Ends the present process after a planned exit. What it left unfinished is no crash.
    pub fn end_by_exit(&mut self) {
        self.is_unannounced = false;
        self.life += 1;
        self.exchanges.clear();
    }

    /// Total number of exchanges that were not kept because the table was full.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    fn end(&mut self, now: Instant, window: Duration) -> Vec<Fingerprint> {
        self.retain_since(now, window);
        self.life += 1;
        let ended = self.exchanges.drain(..);
        ended.map(|exchange| exchange.fingerprint).collect()
    }

    fn retain_since(&mut self, now: Instant, window: Duration) {
        self.exchanges
            .retain(|exchange| now.saturating_duration_since(exchange.at) < window);
    }
}
