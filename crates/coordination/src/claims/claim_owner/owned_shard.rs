//! A shard that a node owns or owned, and its records.

use {
    super::holders::Holders,
    crate::claims::{AttemptId, GateId, KeyHash, RecordOutcome, Shard},
    jujubeline_core::{Attempt, Fingerprint},
    std::collections::{BTreeMap, BTreeSet},
};

/// An owner's record of a key: the attempt, its status, and the gate that holds the other copy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnerRecord {
    pub(super) fingerprint: Fingerprint,
    pub(super) id: AttemptId,
    /// Seconds from the start of the owner to the last change of the status.
    pub(super) changed_s: u32,
    /// Index in [`Holders`] of the gate that holds the other copy.
    pub(super) holder: u16,
    pub(super) status: RecordStatus,
}

/// Status of a key at its owner, in order of certainty: a received copy replaces only a record of an earlier status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RecordStatus {
    /// Claimed in an earlier epoch; no fence reply has shown a record of the run yet.
    Tentative,
    /// The holder is authorised to run the key.
    Claimed,
    /// May have run, so it is never authorised again.
    Unknown,
    /// Ran, and its response was known to the gate.
    Done,
}

/// Phase of a node's ownership of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnerState {
    /// Waits for the gates to accept the fence.
    Fencing,
    /// Decides on claims.
    Serving,
    /// Has been fenced off; keeps its records for the successor.
    Former,
}

/// A shard that this node owns or owned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct OwnedShard {
    /// The shard in the last table that named this node as its owner.
    pub(super) entry: Shard,
    pub(super) state: OwnerState,
    /// Whether the node has served the shard in this epoch; stays true after the node was fenced off.
    pub(super) served: bool,
    /// Gates that have accepted the fence, and departed gates whose records have expired meanwhile.
    pub(super) fenced_gates: BTreeSet<GateId>,
    /// Whether the records of the direct predecessor were complete and have been received.
    pub(super) predecessor_complete: bool,
    /// Departed gates whose records are missing, with the second at which the departure was observed.
    pub(super) missing: BTreeMap<GateId, u32>,
    /// Whether a record may lack a copy outside this node.
    pub(super) copies_dirty: bool,
    pub(super) next_attempt: Attempt,
    pub(super) records: BTreeMap<KeyHash, OwnerRecord>,
}

impl OwnedShard {
    pub(super) fn empty() -> Self {
        Self {
            entry: Shard::default(),
            state: OwnerState::Former,
            served: false,
            fenced_gates: BTreeSet::new(),
            predecessor_complete: false,
            missing: BTreeMap::new(),
            copies_dirty: true,
            next_attempt: 1,
            records: BTreeMap::new(),
        }
    }

    /// Starts the takeover for a new epoch. Records of an earlier epoch of this node are kept until they expire, and
    /// its claims become tentative.
    pub(super) fn begin_takeover(&mut self, shard: &Shard) {
        let predecessor_complete =
            self.served && self.missing.is_empty() && self.entry.epoch + 1 == shard.epoch;
        let mut records = std::mem::take(&mut self.records);
        for record in records.values_mut() {
            if record.status == RecordStatus::Claimed {
                record.status = RecordStatus::Tentative;
            }
        }
        *self = Self {
            entry: shard.clone(),
            state: OwnerState::Fencing,
            predecessor_complete,
            records,
            ..Self::empty()
        };
    }

    /// Ends the tentative status of claims of former owners. A gate that accepted the fence and has no record of the
    /// key never started it and never will, so the claim is dropped. With any other gate the outcome of the key is
    /// unknown. Returns the number of dropped records.
    pub(super) fn finalise_tentative(&mut self, holders: &Holders, now_s: u32) -> usize {
        let before = self.records.len();
        let fenced_gates = &self.fenced_gates;
        self.records.retain(|_, record| {
            if record.status != RecordStatus::Tentative {
                return true;
            }
            record.status = RecordStatus::Unknown;
            record.changed_s = now_s;
            let gate = holders.get(record.holder);
            !gate.is_some_and(|gate| fenced_gates.contains(gate))
        });
        before - self.records.len()
    }
}

impl RecordStatus {
    pub(super) const fn of(outcome: RecordOutcome) -> Self {
        match outcome {
            RecordOutcome::Running => Self::Claimed,
            RecordOutcome::Done => Self::Done,
            RecordOutcome::Failed | RecordOutcome::NotRun => Self::Unknown,
        }
    }

    pub(super) const fn outcome(self) -> RecordOutcome {
        match self {
            Self::Tentative | Self::Claimed => RecordOutcome::Running,
            Self::Unknown => RecordOutcome::Failed,
            Self::Done => RecordOutcome::Done,
        }
    }
}
