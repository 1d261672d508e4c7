//! Work that is due for a shard: fences, copies of records, and marking the shard as settled.

use {
    super::{
        ClaimOwner,
        owned_shard::{OwnedShard, OwnerRecord, OwnerState},
    },
    crate::claims::{
        ADOPT_BATCH, Adopt, Fence, GateId, OwnerWork, RecordCopy, RecordOutcome, Settle,
    },
    jujubeline_core::{ShardId, rendezvous_weight},
};

impl ClaimOwner {
    /// Adds the work that is due for one shard.
    pub(super) fn shard_work(&mut self, number: ShardId, work: &mut OwnerWork) {
        let Some(owned) = self
            .shards
            .get(&number)
            .filter(|owned| owned.state != OwnerState::Former)
        else {
            return;
        };
        let unfenced = self
            .gates
            .iter()
            .filter(|entry| !owned.fenced_gates.contains(&entry.gate));
        work.fences.extend(unfenced.map(|entry| Fence {
            gate: entry.gate.clone(),
            shard: number,
            epoch: owned.entry.epoch,
            owner: self.own_id.clone(),
            floor: owned.next_attempt - 1,
        }));
        if owned.state != OwnerState::Serving || owned.entry.solo || !owned.copies_dirty {
            return;
        }
        let uncopied = self.records_without_copy(owned);
        if uncopied.is_empty() {
            let awaits_copy = self
                .departed
                .iter()
                .any(|(_, shards)| shards.contains(&number));
            if owned.missing.is_empty() && (!owned.entry.settled || awaits_copy) {
                work.settles.push(Settle {
                    shard: number,
                    epoch: owned.entry.epoch,
                });
            } else if let Some(owned) = self.shards.get_mut(&number) {
                owned.copies_dirty = false;
            }
            return;
        }
        let records: Vec<RecordCopy> = uncopied
            .into_iter()
            .filter(|copy| copy.outcome != RecordOutcome::Running)
            .take(ADOPT_BATCH)
            .collect();
        let target = self.adopter(owned, number);
        if let Some(gate) = target.filter(|_| !records.is_empty()) {
            work.adopts.push(Adopt {
                gate,
                shard: number,
                epoch: owned.entry.epoch,
                records,
            });
        }
    }

    /// Records without a copy that survives the loss of this node.
    pub(super) fn records_without_copy(&self, owned: &OwnedShard) -> Vec<RecordCopy> {
        let durable: Vec<bool> = self
            .holders
            .0
            .iter()
            .map(|gate| self.is_durable(owned, gate))
            .collect();
        let is_durable =
            |record: &OwnerRecord| durable.get(usize::from(record.holder)) == Some(&true);
        owned
            .records
            .iter()
            .filter(|(_, record)| !is_durable(record))
            .map(|(key, record)| RecordCopy {
                key: *key,
                fingerprint: record.fingerprint,
                id: record.id,
                outcome: record.status.outcome(),
                holder: self.own_id.clone(),
            })
            .collect()
    }

    /// Chooses the gate that stores copies, in another data centre if there is one.
    pub(super) fn adopter(&self, owned: &OwnedShard, number: ShardId) -> Option<GateId> {
        self.gates
            .iter()
            .filter(|entry| self.is_durable(owned, &entry.gate))
            .max_by_key(|entry| {
                let weight = rendezvous_weight(&number.to_be_bytes(), entry.gate.node.as_bytes());
                (entry.data_centre != self.data_centre, weight)
            })
            .map(|entry| entry.gate.clone())
    }
}
