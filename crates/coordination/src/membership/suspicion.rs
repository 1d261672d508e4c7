//! Suspicions with a timeout that shrinks as distinct reporters confirm them, as in Lifeguard.

use {
    super::Config,
    jujubeline_core::NodeId,
    std::time::{Duration, Instant},
};

/// Pings sent with the suspicion to a suspect before it is declared dead. With three it is unlikely that all are lost.
const FINAL_PINGS: u32 = 3;

/// Next step for a suspect whose suspicion has timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalPing {
    /// Ping it, so that it can refute.
    Send,
    /// Wait for its refutation.
    Await,
    /// Declare it dead.
    Unanswered,
}

/// A suspicion of one member.
#[derive(Debug, Clone)]
pub(super) struct Suspicion {
    pub(super) started: Instant,
    /// Whether this node's own probe raised the suspicion.
    pub(super) own: bool,
    reporters: Vec<NodeId>,
    final_pings_sent: u32,
    next_final_ping: Option<Instant>,
    confirmations_needed: u32,
    min_timeout: Duration,
    max_timeout: Duration,
}

impl Suspicion {
    /// Starts a suspicion in a group of `members`, first reported by `reporter`.
    pub(super) fn new(
        config: &Config,
        members: usize,
        reporter: NodeId,
        own: bool,
        now: Instant,
    ) -> Self {
        let min_timeout = min_timeout(config, members);
        // A group too small to confirm a suspicion would otherwise always wait for the maximum timeout.
        let confirmations_needed = match u32::try_from(members.saturating_sub(2)) {
            Ok(others) if others < config.suspicion_confirmations => 0,
            _ => config.suspicion_confirmations,
        };
        Self {
            started: now,
            own,
            reporters: vec![reporter],
            final_pings_sent: 0,
            next_final_ping: None,
            confirmations_needed,
            min_timeout,
            max_timeout: min_timeout * config.suspicion_max_factor,
        }
    }

    /// Adds a reporter. Returns whether it is new and shortens the timeout.
    pub(super) fn confirm(&mut self, reporter: &NodeId) -> bool {
        if self.confirmations() >= self.confirmations_needed || self.reporters.contains(reporter) {
            return false;
        }
        self.reporters.push(reporter.clone());
        true
    }

    /// Time at which the suspicion times out.
    pub(super) fn deadline(&self) -> Instant {
        self.started + self.timeout()
    }

    /// Returns the next step for a suspect whose suspicion has timed out. `wait` is the time between two final pings.
    pub(super) fn final_ping(&mut self, wait: Duration, now: Instant) -> FinalPing {
        if self.next_final_ping.is_some_and(|at| now < at) {
            return FinalPing::Await;
        }
        if self.final_pings_sent == FINAL_PINGS {
            return FinalPing::Unanswered;
        }
        self.final_pings_sent += 1;
        self.next_final_ping = Some(now + wait);
        FinalPing::Send
    }

    fn confirmations(&self) -> u32 {
        u32::try_from(self.reporters.len() - 1).unwrap_or(u32::MAX)
    }

    fn timeout(&self) -> Duration {
        if self.confirmations() >= self.confirmations_needed {
            return self.min_timeout;
        }
        let share = f64::from(self.confirmations() + 1).ln()
            / f64::from(self.confirmations_needed + 1).ln();
        self.min_timeout
            + self
                .max_timeout
                .saturating_sub(self.min_timeout)
                .mul_f64(1.0 - share)
    }
}

/// Minimum suspicion timeout in a group of this size, which applies once enough reporters have confirmed.
pub(super) fn min_timeout(config: &Config, members: usize) -> Duration {
    let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
    let scale = f64::from(members).log10().max(1.0);
    (config.probe_period * config.suspicion_multiplier).mul_f64(scale)
}
