//! Retry allowance of a request: its own, or the one that it shares with other calls of the same inbound exchange.

use {
    super::Hops,
    jujubeline_core::HopId,
    jujubeline_overload::{RetryAllowance, RetryGrant},
};

/// Retry allowance of one request at its entry node.
#[derive(Debug)]
pub enum Allowance {
    /// Allowance of a root request.
    Own(RetryAllowance),
    /// Allowance of an inbound exchange of the local target, kept in the ledger.
    Shared(HopId),
    /// No allowance, because the request names an inbound exchange that is not in flight here.
    Unknown,
}

impl Allowance {
    /// Takes the part of the allowance that is sent with an attempt.
    pub fn grant(&mut self, hops: &Hops) -> RetryGrant {
        match self {
            Self::Own(allowance) => allowance.grant(),
            Self::Shared(hop) => hops.grant(*hop),
            Self::Unknown => RetryAllowance::default().grant(),
        }
    }

    /// Returns the unused retries of an attempt; `returned` is none when the count is unknown.
    pub fn settle(&mut self, hops: &Hops, grant: RetryGrant, returned: Option<u32>) {
        match self {
            Self::Own(allowance) => allowance.settle(grant, returned),
            Self::Shared(hop) => hops.settle(*hop, grant, returned),
            Self::Unknown => drop(grant),
        }
    }

    /// Calls `decide` with the allowance, or with an empty one when there is none.
    pub fn with<T>(&mut self, hops: &Hops, decide: impl FnOnce(&mut RetryAllowance) -> T) -> T {
        match self {
            Self::Own(allowance) => decide(allowance),
            Self::Shared(hop) => hops.with_allowance(*hop, decide),
            Self::Unknown => decide(&mut RetryAllowance::default()),
        }
    }
}
