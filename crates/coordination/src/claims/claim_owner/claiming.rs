//! Decisions on claims: whether a key may run, and at which gate.

use {
    super::{
        ClaimOwner,
        holders::NO_HOLDER,
        owned_shard::{OwnedShard, OwnerRecord, RecordStatus},
        refused,
    },
    crate::claims::{
        AttemptId, Candidate, Claim, ClaimReply, ClaimStep, GateId, InjectedFault, KeyHash,
        Resolve, Run, claim_gate::seconds_since,
    },
    jujubeline_core::{Fingerprint, NotRunProof, Refusal, RefusalReason, ShardId},
    std::time::Instant,
};

impl ClaimOwner {
    /// Replies to a claim of a key that has a record.
    pub(super) fn claim_known(
        &mut self,
        shard: ShardId,
        key: KeyHash,
        fingerprint: Fingerprint,
        record: &OwnerRecord,
    ) -> ClaimStep {
        if record.fingerprint != fingerprint {
            self.counters.key_reused += 1;
            return refused(RefusalReason::KeyReused);
        }
        let holder = self
            .holders
            .get(record.holder)
            .filter(|gate| self.gates.iter().any(|entry| entry.gate == **gate))
            .cloned();
        let epoch = self.shards.get(&shard).map_or(0, |owned| owned.entry.epoch);
        match (record.status, holder) {
            (RecordStatus::Done, Some(gate)) => ClaimStep {
                reply: ClaimReply::Answered { gate },
                query: None,
            },
            (RecordStatus::Done, None) => ClaimStep {
                reply: ClaimReply::Refused(Refusal::ran(RefusalReason::AnswerExpired)),
                query: None,
            },
            (RecordStatus::Claimed, Some(gate)) => ClaimStep {
                reply: ClaimReply::Refused(Refusal::unknown(RefusalReason::InProgress)),
                query: Some(Resolve {
                    gate,
                    shard,
                    epoch,
                    key,
                    fingerprint,
                    id: Some(record.id),
                }),
            },
            _ => refused(RefusalReason::OutcomeLost),
        }
    }

    /// Authorises a run of a key without a record, or refuses the claim.
    pub(super) fn claim_new(
        &mut self,
        shard: ShardId,
        claim: &Claim,
        candidates: &[Candidate],
        now: Instant,
    ) -> ClaimStep {
        let Some(owned) = self.shards.get(&shard) else {
            return refused(RefusalReason::StaleEpoch);
        };
        let gate = self.choose_gate(owned, claim, candidates);
        let Some(gate) = gate else {
            return self.not_run(shard, claim, RefusalReason::NoTarget);
        };
        if self.records >= self.max_records {
            self.counters.records_full += 1;
            return self.not_run(shard, claim, RefusalReason::RecordsFull);
        }
        let holder = self.holders.intern(&gate);
        if holder == NO_HOLDER {
            return refused(RefusalReason::Internal);
        }
        let changed_s = seconds_since(self.started, now);
        let Some(owned) = self.shards.get_mut(&shard) else {
            return refused(RefusalReason::StaleEpoch);
        };
        let id = AttemptId {
            epoch: owned.entry.epoch,
            attempt: owned.next_attempt,
        };
        owned.next_attempt += 1;
        let record = OwnerRecord {
            fingerprint: claim.fingerprint,
            id,
            changed_s,
            holder,
            status: RecordStatus::Claimed,
        };
        owned.records.insert(claim.key, record);
        self.records += 1;
        let run = Run {
            shard,
            key: claim.key,
            fingerprint: claim.fingerprint,
            id,
        };
        ClaimStep {
            reply: ClaimReply::Run { gate, run },
            query: None,
        }
    }

    /// Refuses a key without a record. An owner that was paused may already have a successor, so the refusal counts as
    /// proven only after a gate that every successor must fence has confirmed the epoch.
    pub(super) fn not_run(
        &self,
        shard: ShardId,
        claim: &Claim,
        reason: RefusalReason,
    ) -> ClaimStep {
        let proven = Refusal::not_run(NotRunProof::NoRecordAtOwner, reason);
        let Some(owned) = self.shards.get(&shard) else {
            return refused(reason);
        };
        // A successor of a solo owner needs a fence reply of this node, so the records of this node are proof enough.
        if owned.entry.solo || self.fault == InjectedFault::NotRunWithoutConfirmation {
            return ClaimStep {
                reply: ClaimReply::Refused(proven),
                query: None,
            };
        }
        let confirming_gate = owned
            .fenced_gates
            .iter()
            .find(|gate| self.is_durable(owned, gate));
        let Some(gate) = confirming_gate else {
            return refused(reason);
        };
        let ask = Resolve {
            gate: gate.clone(),
            shard,
            epoch: owned.entry.epoch,
            key: claim.key,
            fingerprint: claim.fingerprint,
            id: None,
        };
        ClaimStep {
            reply: ClaimReply::ConfirmNotRun {
                ask,
                refusal: proven,
            },
            query: None,
        }
    }

    /// Chooses the candidate to authorise: by the preferences for its node and data centre, then by load.
    pub(super) fn choose_gate(
        &self,
        owned: &OwnedShard,
        claim: &Claim,
        candidates: &[Candidate],
    ) -> Option<GateId> {
        let own_allowed = owned.entry.solo || self.fault == InjectedFault::OwnGateAllowed;
        candidates
            .iter()
            .filter(|candidate| {
                let own = candidate.gate == self.own_id && own_allowed;
                let is_fenced = owned.fenced_gates.contains(&candidate.gate);
                is_fenced && (own || self.is_durable(owned, &candidate.gate))
            })
            .min_by(|a, b| {
                let rank = |candidate: &Candidate| {
                    (
                        claim.avoid.as_ref() == Some(&candidate.gate.node),
                        candidate.data_centre == self.data_centre,
                        candidate.data_centre != claim.entry_data_centre,
                    )
                };
                rank(a)
                    .cmp(&rank(b))
                    .then(a.load.total_cmp(&b.load))
                    .then_with(|| a.gate.cmp(&b.gate))
            })
            .map(|candidate| candidate.gate.clone())
    }

    /// Whether a copy at the gate survives the loss of this node and is returned to each later takeover.
    pub(super) fn is_durable(&self, owned: &OwnedShard, gate: &GateId) -> bool {
        gate.node != self.own_id.node
            && owned.fenced_gates.contains(gate)
            && owned.entry.excused.as_ref() != Some(gate)
            && self.gates.iter().any(|entry| entry.gate == *gate)
    }
}
