//! At-most-once execution: shard owners decide on claims, gates run them, and fences end the epochs of former owners.

mod claim_gate;
mod claim_owner;
mod counters;
mod faults;
mod message;
mod shard_table;

pub use {
    claim_gate::{ClaimGate, GateRecord, GateState},
    claim_owner::{ClaimOwner, OwnerRecord, OwnerState},
    counters::ClaimCounters,
    faults::InjectedFault,
    message::{
        Adopt, AdoptReply, AttemptId, Candidate, Claim, ClaimReply, ClaimStep, Completed, Fence,
        FenceReply, KeyHash, OwnerRecords, OwnerWork, RecordCopy, RecordOutcome, Resolve,
        ResolveReply, ResolveResult, Run, RunReply, Settle, key_hash, shard_of,
    },
    shard_table::{
        Assignment, DepartedGate, GateId, MAX_DEPARTED, MAX_GATES, RegisteredGate, SHARDS, Shard,
        ShardTable, TableRefusal,
    },
};

use std::time::Duration;

/// Time for which records are kept. A caller must not reuse a key after this time.
pub const RECORD_RETENTION: Duration = Duration::from_hours(24);

/// Bound on the records of an owner, and on those of a gate. Either table takes 76 MB when full: the example
/// `claim_memory` measured 76.4 bytes per record.
pub const MAX_RECORDS: usize = 1_000_000;

/// Records beyond the bound that are reserved for refusals and adopted copies, so that a full gate can still prove
/// a refusal.
pub const RESERVED_RECORDS: usize = 100_000;

/// Records in one `adopt` message; keeps the message under 100 KB.
pub const ADOPT_BATCH: usize = 1_000;
