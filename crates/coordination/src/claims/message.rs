//! Messages of claims and fences, and their replies.

use {
    super::{GateId, SHARDS},
    jujubeline_core::{Attempt, DataCentre, Epoch, Fingerprint, NodeId, Refusal, ShardId},
    xxhash_rust::xxh3::xxh3_128,
};

/// Hash of an idempotency key. Two keys that collide count as one, which the fingerprint then refuses.
pub type KeyHash = u128;

/// Hash of an idempotency key within a service.
#[must_use]
pub fn key_hash(service: &str, key: &str) -> KeyHash {
    let mut bytes = Vec::with_capacity(service.len() + key.len() + 1);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// Shard of a key.
#[must_use]
pub fn shard_of(key: KeyHash) -> ShardId {
    ShardId::try_from(key % u128::from(SHARDS)).unwrap_or_default()
}

/// An attempt to run a key, unique within a shard. Later attempts compare as greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Epoch of the owner that authorised it.
    pub epoch: Epoch,
    /// Number within the epoch, from 1.
    pub attempt: Attempt,
}

/// Request to the owner to authorise a run of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Hash of the idempotency key.
    pub key: KeyHash,
    /// Hash of the request's content; a key that is reused for another content is refused.
    pub fingerprint: Fingerprint,
    /// Data centre of the entry node.
    pub entry_data_centre: DataCentre,
    /// Node whose gate refused an earlier attempt of this exchange; chosen only if there is no other.
    pub avoid: Option<NodeId>,
}

/// A gate that could run a key, with its load as known to the owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Identity of the gate.
    pub gate: GateId,
    /// Data centre of the gate; one other than the owner's is preferred.
    pub data_centre: DataCentre,
    /// Load of the gate; lower is better.
    pub load: f64,
}

/// Reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The gate may run the key.
    Run {
        /// Gate that is authorised.
        gate: GateId,
        /// The authorisation, to be sent to the gate.
        run: Run,
    },
    /// The key ran. The gate holds its record, and the first response may still be kept there.
    Answered {
        /// Gate that holds the record of the run: the one that ran the key, or one that adopted a copy of the record.
        gate: GateId,
    },
    /// The owner holds no record of the key and cannot take one. The entry node may report `NotRun` with this reason
    /// only after the gate has confirmed with `resolve` that the owner's epoch is in effect; until then the outcome
    /// is unknown.
    ConfirmNotRun {
        /// Query to be sent to the gate.
        ask: Resolve,
        /// Refusal to report if the gate confirms.
        refusal: Refusal,
    },
    /// The key may not run now.
    Refused(Refusal),
}

/// Result of a claim at the owner: the reply, and a query to a gate for the outcome of an earlier attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimStep {
    /// Reply to the entry node.
    pub reply: ClaimReply,
    /// Query for an earlier attempt, to be sent to the gate that was authorised for it.
    pub query: Option<Resolve>,
}

/// Authorisation to run a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// Shard of the key.
    pub shard: ShardId,
    /// Hash of the idempotency key.
    pub key: KeyHash,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// The attempt; its epoch must be the gate's fence.
    pub id: AttemptId,
}

/// Reply of a gate to an authorisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunReply {
    /// The gate has recorded the run; the target may be called now.
    Start,
    /// The key has run here; the first response may still be kept.
    Answered,
    /// The key must not run.
    Refused(Refusal),
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordOutcome {
    /// The attempt is running.
    Running,
    /// The attempt ran and its response is known to the gate.
    Done,
    /// The attempt started and its outcome is not known.
    Failed,
    /// The attempt never started and never will.
    NotRun,
}

/// Report to the owner of how an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Completed {
    /// Shard of the key.
    pub shard: ShardId,
    /// Hash of the idempotency key.
    pub key: KeyHash,
    /// Attempt that ended.
    pub id: AttemptId,
    /// How the attempt ended.
    pub outcome: RecordOutcome,
}

/// Query to a gate for the outcome of an attempt. A gate without a record of the attempt refuses it for good.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Resolve {
    /// Gate that is addressed; another incarnation replies `Stale`.
    pub gate: GateId,
    /// Shard of the key.
    pub shard: ShardId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Hash of the idempotency key.
    pub key: KeyHash,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// The attempt, or none to confirm only that the epoch is in effect.
    pub id: Option<AttemptId>,
}

/// Answer of a gate to [`Resolve`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResolveResult {
    /// The epoch of the query is in effect at this gate. Holds the outcome of the key's record, or `NotRun` if the gate
    /// has no record of the key or only one of a refusal.
    Known(RecordOutcome),
    /// The epoch of the query is not in effect at this gate; holds the gate's fence.
    Stale(Epoch),
    /// The gate has no room to record a refusal; the query can be repeated later.
    Full,
}

/// Reply to [`Resolve`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResolveReply {
    /// The query, repeated.
    pub ask: Resolve,
    /// Answer of the gate.
    pub result: ResolveResult,
}

/// Ends all lower epochs of a shard at a gate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence {
    /// Gate that is addressed; another incarnation does not accept the fence.
    pub gate: GateId,
    /// Number of the shard.
    pub shard: ShardId,
    /// The new epoch.
    pub epoch: Epoch,
    /// Owner of the epoch, so that each gate can name it without a read of the table.
    pub owner: GateId,
    /// Attempts of this epoch up to this number were authorised before the gate joined and must not start there.
    pub floor: Attempt,
}

/// A record as it is sent between owners and gates.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordCopy {
    /// Hash of the idempotency key.
    pub key: KeyHash,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Last attempt to run the key.
    pub id: AttemptId,
    /// How the attempt ended.
    pub outcome: RecordOutcome,
    /// Gate that holds the record or was authorised.
    pub holder: GateId,
}

/// Records that a node held as an owner of the shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerRecords {
    /// Epoch under which the node owned the shard.
    pub epoch: Epoch,
    /// Whether the node served the shard with complete records.
    pub complete: bool,
    /// All records that the node held of the shard.
    pub records: Vec<RecordCopy>,
}

/// Reply to [`Fence`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceReply {
    /// Gate that replies.
    pub gate: GateId,
    /// Number of the shard.
    pub shard: ShardId,
    /// Epoch of the fence that this replies to.
    pub epoch: Epoch,
    /// Whether the gate accepted the fence. A reply to an older fence can show the epoch of a newer one and has no
    /// records, so acceptance does not follow from the fence in effect.
    pub accepted: bool,
    /// Fence in effect at the gate.
    pub fence: Epoch,
    /// Records of the shard at the gate; empty if the fence was not accepted.
    pub records: Vec<RecordCopy>,
    /// Records that the node of the gate holds as a former owner of the shard.
    pub owner: Option<OwnerRecords>,
}

/// Copies records to a gate, because their only other copy is lost or is at the owner's own gate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Adopt {
    /// Gate that is addressed.
    pub gate: GateId,
    /// Number of the shard.
    pub shard: ShardId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// The records, all `Done` or `Failed`.
    pub records: Vec<RecordCopy>,
}

/// Reply to [`Adopt`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdoptReply {
    /// Gate that replies.
    pub gate: GateId,
    /// Number of the shard.
    pub shard: ShardId,
    /// Fence in effect at the gate.
    pub fence: Epoch,
    /// Keys whose records the gate now holds.
    pub keys: Vec<KeyHash>,
}

/// A table edit that marks shards as settled: each of their records has a copy outside the owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Settle {
    /// Number of the shard.
    pub shard: ShardId,
    /// Epoch of the owner.
    pub epoch: Epoch,
}

/// Messages and table edits that are due at an owner. They follow from its state, so a lost message is sent again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerWork {
    /// Fences that have no reply yet.
    pub fences: Vec<Fence>,
    /// Records that need a copy.
    pub adopts: Vec<Adopt>,
    /// Shards to mark as settled, in one conditional update of the observed table.
    pub settles: Vec<Settle>,
}
