//! What travels with a request from hop to hop.

use {
    super::claim_header::ClaimHeader,
    jujubeline_core::{Class, EntryName, RootId, ServiceName},
    std::time::{Duration, Instant},
};

/// Time kept back at each hop so that a response can still travel back before the deadline.
pub const RETURN_ALLOWANCE: Duration = Duration::from_millis(1);

/// Time left before a deadline, less the allowance for the return path.
#[must_use]
pub fn remaining(deadline: Instant, now: Instant) -> Duration {
    deadline
        .saturating_duration_since(now)
        .saturating_sub(RETURN_ALLOWANCE)
}

/// What travels with a request from the entry node to the gate.
#[derive(Debug, Clone)]
pub struct ExchangeContext {
    /// When the whole response must have arrived.
    pub deadline: Instant,
    /// Root request.
    pub root: RootId,
    /// Class of the request.
    pub class: Class,
    /// Catalogue entry.
    pub entry: EntryName,
    /// Service that shall run it.
    pub service: ServiceName,
    /// Whether a target makes the request on behalf of an exchange in flight.
    pub is_call: bool,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Retry allowance granted to this hop.
    pub retries: u32,
    /// Claim of at-most-once work.
    pub claim: Option<ClaimHeader>,
}

impl ExchangeContext {
    /// Time left before the deadline, less the allowance for the return path.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        remaining(self.deadline, now)
    }
}
