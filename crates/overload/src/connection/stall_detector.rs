//! Stall detection for one connection.

use std::time::{Duration, Instant};

/// Shortest time without received bytes after which a connection is probed.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Multiple of the 99th percentile of latency for which a request may wait without received bytes.
const STALL_LATENCY_FACTOR: u32 = 3;
/// Time within which the reply to a probe must arrive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How a connection without received bytes is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// HTTP/2: a PING frame on the connection itself.
    Ping,
    /// HTTP/1.1: a request on a second, new connection to the same target. A response there while the first connection
    /// stays silent shows that the first one is stalled.
    FreshConnection,
}

/// Next action of the owner of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallAction {
    /// No request is waiting. Check again after the next request is sent.
    Idle,
    /// Check again at this time.
    CheckAt(Instant),
    /// Send a probe, and check again at this time.
    Probe(Instant),
    /// The connection is stalled. Close it and open a new one.
    Replace,
}

/// Stall detector of one connection. Its owner reports requests, received bytes and probe replies, and polls
/// [`StallDetector::check`] for the next action.
#[derive(Debug)]
pub struct StallDetector {
    kind: ProbeKind,
    waiting: u32,
    /// Start of the period without received bytes that counts towards a stall. Time without a waiting request does not
    /// count.
    silent_since: Instant,
    probed_at: Option<Instant>,
    stalled: bool,
}

impl StallDetector {
    /// Creates the detector of a new connection.
    #[must_use]
    pub const fn new(kind: ProbeKind, now: Instant) -> Self {
        Self {
            kind,
            waiting: 0,
            silent_since: now,
            probed_at: None,
            stalled: false,
        }
    }

    /// Records that a request was sent and waits for its response.
    pub fn request_sent(&mut self, now: Instant) {
        if self.waiting == 0 {
            self.silent_since = self.silent_since.max(now);
        }
        self.waiting += 1;
    }

    /// Records that a request ended, with or without a response.
    pub const fn request_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.probed_at = None;
        }
    }

    /// Records that bytes arrived on the connection, including a PING reply.
    pub fn byte_received(&mut self, now: Instant) {
        self.silent_since = self.silent_since.max(now);
        self.probed_at = None;
    }

    /// Records the reply to the probe: the PING reply on this connection, or a response on the new connection.
    pub fn probe_answered(&mut self, now: Instant) {
        match self.kind {
            ProbeKind::Ping => self.byte_received(now),
            ProbeKind::FreshConnection => self.stalled |= self.probed_at.is_some(),
        }
    }

    /// Time without received bytes after which the connection is probed: three times `latency_p99`, at least one
    /// second.
    #[must_use]
    pub fn stall_timeout(latency_p99: Duration) -> Duration {
        latency_p99
            .saturating_mul(STALL_LATENCY_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }

    /// Returns the next action at `now`.
    pub fn check(&mut self, latency_p99: Duration, now: Instant) -> StallAction {
        if self.stalled {
            return StallAction::Replace;
        }
        if self.waiting == 0 {
            return StallAction::Idle;
        }
        if let Some(probed_at) = self.probed_at {
            return self.check_probe(probed_at, now);
        }
        let due = self.silent_since + Self::stall_timeout(latency_p99);
        if now < due {
            return StallAction::CheckAt(due);
        }
        self.probed_at = Some(now);
        StallAction::Probe(now + PROBE_TIMEOUT)
    }

    fn check_probe(&mut self, probed_at: Instant, now: Instant) -> StallAction {
        let due = probed_at + PROBE_TIMEOUT;
        if now < due {
            return StallAction::CheckAt(due);
        }
        match self.kind {
            ProbeKind::Ping => {
                self.stalled = true;
                StallAction::Replace
            }
            // The target answers on neither connection, so it is slow or unreachable and this connection is not
            // stalled.
            ProbeKind::FreshConnection => {
                self.probed_at = None;
                self.silent_since = now;
                StallAction::CheckAt(now + MIN_STALL_TIMEOUT)
            }
        }
    }
}
