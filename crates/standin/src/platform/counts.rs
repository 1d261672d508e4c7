//! Call counters of the stand-in.

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Calls since the start of the stand-in and watches in progress. Served as JSON at `/counts`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls of the object API; a watch counts as one call.
    pub calls: u64,
    /// Create, update and delete calls, rejected ones included.
    pub writes: u64,
    /// Get and list calls.
    pub reads: u64,
    /// Watches that wait for a change.
    pub pending_watches: u64,
    /// Total size of all response bodies, in bytes.
    pub body_bytes: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) calls: AtomicU64,
    pub(super) writes: AtomicU64,
    pub(super) reads: AtomicU64,
    pub(super) pending_watches: AtomicU64,
    pub(super) body_bytes: AtomicU64,
}

impl Counters {
    pub(super) fn snapshot(&self) -> Counts {
        Counts {
            calls: self.calls.load(Ordering::SeqCst),
            writes: self.writes.load(Ordering::SeqCst),
            reads: self.reads.load(Ordering::SeqCst),
            pending_watches: self.pending_watches.load(Ordering::SeqCst),
            body_bytes: self.body_bytes.load(Ordering::SeqCst),
        }
    }
}
