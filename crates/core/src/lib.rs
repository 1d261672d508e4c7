//! Shared vocabulary: identifiers, classes of importance, outcomes, reasons and errors.
//!
//! Every other package depends on this one. It does no I/O.

mod cases;
mod class;
mod dialect;
mod error;
mod header;
mod ids;
mod key_digest;
mod key_hash;
mod noted_once;
mod notice;
mod outcome;
mod quarantine;
mod reason;
mod statement;

pub use {
    class::{Class, UnknownClass},
    dialect::{Dialect, ParentAttempt, ReadNotice, TargetLoad},
    error::{Peer, Step, StepError},
    header::names as header_names,
    ids::{
        Attempt, DataCentre, EntryName, Epoch, Fingerprint, HopId, Incarnation, NodeId, ProcessId,
        Region, Revision, RootId, ServiceName, ShardId, WorkspaceName,
    },
    key_digest::{InvalidKeyDigest, KeyDigest},
    key_hash::{ROOT_SLOTS, rendezvous_weight, root_slot, stable_hash},
    noted_once::NotedOnce,
    notice::{AnnouncedState, Heartbeat, TargetNotice},
    outcome::{NotRunProof, Outcome, Refusal},
    quarantine::{CRASHES_TO_QUARANTINE, QUARANTINE_TIME},
    reason::{RefusalReason, RetryReason, RetryStop},
    statement::{StatedRate, TargetStatement},
};
