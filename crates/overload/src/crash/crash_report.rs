//! Reports about crashes that nodes exchange.

use jujubeline_core::{Fingerprint, Incarnation, NodeId};

/// Identity of one crash, the same at every node that reports it.
///
/// The node beside the target numbers the crashes that it detects, starting at 1. A crash that a node learns of through
/// membership has number 0, and the hash of the original identity as its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CrashId {
    /// Instance whose target crashed.
    pub node: NodeId,
    /// Incarnation of the node beside the target at the time of the crash.
    pub incarnation: Incarnation,
    /// Number of the crash within the incarnation.
    pub number: u64,
}

/// A crash and the requests that were in flight at the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Identity of the crash.
    pub crash: CrashId,
    /// Fingerprints of the requests that were in flight at the target.
    pub fingerprints: Vec<Fingerprint>,
}

/// Report that a suspect ran to completion and is cleared of earlier crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClearReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes that no longer count towards the quarantine of the request.
    pub crashes: Vec<CrashId>,
}

/// A report that is disseminated between nodes. Merging is idempotent and commutative.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineReport {
    /// A target crashed.
    Crash(CrashReport),
    /// A suspect was cleared.
    Clear(ClearReport),
}
