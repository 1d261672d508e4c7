//! Reports about crashes that nodes exchange.

use {
    jujubeline_core::{Fingerprint, Incarnation, NodeId},
    std::time::Duration,
};

/// Identity of one crash, as stored by a node.
///
/// The node beside the target numbers the crashes that it detects, starting at 1. Membership carries only a hash of
/// this identity, so a crash that a node receives through membership has a fixed node name, the hash as its incarnation
/// and number 0. These are the same at every node that receives the crash.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CrashId {
    /// Instance whose target crashed; a fixed name for a crash received through membership.
    pub node: NodeId,
    /// Incarnation of the node beside the target at the time of the crash; the hash of the original identity for a
    /// crash received through membership.
    pub incarnation: Incarnation,
    /// Number of the crash within the incarnation; 0 for a crash received through membership.
    pub number: u64,
}

/// A crash and the requests that were in flight at the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Identity of the crash.
    pub crash: CrashId,
    /// Fingerprints of the requests that were in flight at the target.
    pub fingerprints: Vec<Fingerprint>,
    /// Time since the crash.
    pub age: Duration,
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
