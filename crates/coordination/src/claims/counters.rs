//! Counters of refused work.

use std::hash::{Hash, Hasher};

/// Counts of what bounds and fences have refused since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClaimCounters {
    /// Records refused because the table is full.
    pub records_full: u64,
    /// Messages of an epoch that has been fenced off.
    pub stale_epoch: u64,
    /// Claims refused while a takeover waits for gates.
    pub fence_incomplete: u64,
    /// Claims refused because records of a departed gate are missing.
    pub records_incomplete: u64,
    /// Claims refused because the key belongs to another request.
    pub key_reused: u64,
    /// Messages that were addressed to another incarnation or had already been handled.
    pub ignored: u64,
}

// Counters do not influence decisions, so states that differ only in them are equal.
impl PartialEq for ClaimCounters {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for ClaimCounters {}

impl Hash for ClaimCounters {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
