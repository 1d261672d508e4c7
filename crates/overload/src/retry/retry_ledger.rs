//! Retry allowances of the exchanges in flight at the local target.

use {
    crate::retry::{RetryAllowance, RetryGrant},
    jujubeline_core::HopId,
    std::collections::HashMap,
};

/// Capacity of the ledger in exchanges in flight: six times the connections of the largest target.
const MAX_HOPS: usize = 4_096;

/// Allowances by inbound exchange. All calls made on behalf of one exchange share its allowance.
#[derive(Debug, Default)]
pub struct RetryLedger {
    allowances: HashMap<HopId, RetryAllowance>,
    refused: u64,
}

impl RetryLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the allowance of an inbound exchange.
    ///
    /// Returns false, and records nothing, if the ledger is full or already contains the hop. In a full ledger, the
    /// calls of such an exchange have an allowance of zero.
    pub fn open(&mut self, hop: HopId, allowance: RetryAllowance) -> bool {
        if self.allowances.len() >= MAX_HOPS || self.allowances.contains_key(&hop) {
            self.refused += 1;
            return false;
        }
        self.allowances.insert(hop, allowance);
        true
    }

    /// The allowance of an exchange in flight, shared by its calls. `None` if the hop is unknown.
    pub fn allowance_mut(&mut self, hop: HopId) -> Option<&mut RetryAllowance> {
        self.allowances.get_mut(&hop)
    }

    /// Removes the part of the allowance for one call made on behalf of an exchange. The grant is zero if the hop is
    /// unknown.
    pub fn grant(&mut self, hop: HopId) -> RetryGrant {
        self.allowances
            .get_mut(&hop)
            .map_or_else(|| RetryAllowance::default().grant(), RetryAllowance::grant)
    }

    /// Adds the unused retries that a call returned. They are lost if the exchange has ended in the meantime.
    pub fn settle(&mut self, hop: HopId, grant: RetryGrant, returned: Option<u32>) {
        if let Some(allowance) = self.allowances.get_mut(&hop) {
            allowance.settle(grant, returned);
        }
    }

    /// Removes an exchange and returns its unused retries, as sent in the header of its response.
    pub fn close(&mut self, hop: HopId) -> u32 {
        self.allowances
            .remove(&hop)
            .map_or(0, |allowance| allowance.left())
    }

    /// Number of recorded exchanges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.allowances.len()
    }

    /// Whether no exchange is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.allowances.is_empty()
    }

    /// Total number of exchanges that were not recorded because the ledger was full or already contained the hop.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}
