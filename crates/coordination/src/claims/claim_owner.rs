//! The owner of claim shards: decides which gate may run a key.

mod claiming;
mod copies;
mod holders;
mod owned_shard;

pub use owned_shard::{OwnerRecord, OwnerState};
use {
    super::{
        AdoptReply, Candidate, Claim, ClaimCounters, ClaimReply, ClaimStep, Completed, FenceReply,
        GateId, InjectedFault, MAX_RECORDS, OwnerRecords, OwnerWork, RecordCopy, RecordOutcome,
        RegisteredGate, ResolveReply, ResolveResult, Shard, ShardTable,
        claim_gate::{is_expired, seconds_since},
        shard_of,
    },
    holders::Holders,
    jujubeline_core::{DataCentre, Epoch, Refusal, RefusalReason, ShardId},
    owned_shard::{OwnedShard, RecordStatus},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// State machine of an owner of claim shards, for the service of its node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimOwner {
    own_id: GateId,
    data_centre: DataCentre,
    started: Instant,
    max_records: usize,
    /// Number of records in all shards.
    records: usize,
    generation: u64,
    gates: Vec<RegisteredGate>,
    /// Departed gates, with the shards for which their records are not copied yet.
    departed: Vec<(GateId, BTreeSet<ShardId>)>,
    shards: BTreeMap<ShardId, OwnedShard>,
    holders: Holders,
    /// First shard that the next call of [`ClaimOwner::expire`] considers.
    next_expiry: ShardId,
    counters: ClaimCounters,
    fault: InjectedFault,
}

impl ClaimOwner {
    /// Creates an owner without shards; [`ClaimOwner::observe`] adds them.
    #[must_use]
    pub fn new(own_id: GateId, data_centre: DataCentre, now: Instant) -> Self {
        Self {
            own_id,
            data_centre,
            started: now,
            max_records: MAX_RECORDS,
            records: 0,
            generation: 0,
            gates: Vec::new(),
            departed: Vec::new(),
            shards: BTreeMap::new(),
            holders: Holders::default(),
            next_expiry: 0,
            counters: ClaimCounters::default(),
            fault: InjectedFault::None,
        }
    }

    /// Replaces the default bound of [`MAX_RECORDS`] records.
    #[must_use]
    pub const fn with_max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records;
        self
    }

    /// Injects a protocol fault, so that tests can show that the exploration detects it.
    #[doc(hidden)]
    #[must_use]
    pub const fn with_fault(mut self, fault: InjectedFault) -> Self {
        self.fault = fault;
        self
    }

    /// Counts of what bounds and fences have refused since the start.
    #[must_use]
    pub const fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    /// Number of records held.
    #[must_use]
    pub const fn record_count(&self) -> usize {
        self.records
    }

    /// Generation of the last observed table; 0 before the first.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// State and epoch of a shard, if this node owns or owned it.
    #[must_use]
    pub fn state_of(&self, shard: ShardId) -> Option<(OwnerState, Epoch)> {
        let owned = self.shards.get(&shard)?;
        Some((owned.state, owned.entry.epoch))
    }

    /// Whether this node serves the shard with complete records, so that keys without a record may run.
    #[must_use]
    pub fn is_complete(&self, shard: ShardId) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|owned| owned.state == OwnerState::Serving && owned.missing.is_empty())
    }

    /// Applies a table that was read from the platform or returned by an update. Tables that are not newer than the
    /// last one are ignored.
    ///
    /// Fencing starts for shards that this node owns in a new epoch, other owners' shards are given up, and records of
    /// departed gates become due for copying. Gates are added only here, because a table that lists a new gate also
    /// names any later owner.
    pub fn observe(&mut self, table: &ShardTable, now: Instant) {
        if table.generation <= self.generation {
            return;
        }
        self.generation = table.generation;
        self.gates.clone_from(&table.gates);
        self.departed = table
            .departed
            .iter()
            .map(|departed| (departed.gate.clone(), departed.shards.clone()))
            .collect();
        for (number, shard) in table.numbered() {
            self.observe_shard(number, shard);
        }
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for number in shards {
            self.apply_gates(number, now);
        }
    }

    /// Decides whether a key may run, and at which of the candidates.
    pub fn claim(&mut self, claim: &Claim, candidates: &[Candidate], now: Instant) -> ClaimStep {
        self.claim_in(shard_of(claim.key), claim, candidates, now)
    }

    /// As [`ClaimOwner::claim`], in a given shard; tests use fewer shards than services do.
    pub fn claim_in(
        &mut self,
        shard: ShardId,
        claim: &Claim,
        candidates: &[Candidate],
        now: Instant,
    ) -> ClaimStep {
        let Some(owned) = self.shards.get(&shard) else {
            return refused(RefusalReason::StaleEpoch);
        };
        match owned.state {
            OwnerState::Former => {
                self.counters.stale_epoch += 1;
                return refused(RefusalReason::StaleEpoch);
            }
            OwnerState::Fencing => {
                self.counters.fence_incomplete += 1;
                return refused(RefusalReason::FenceIncomplete);
            }
            OwnerState::Serving => {}
        }
        if let Some(record) = owned.records.get(&claim.key).cloned() {
            return self.claim_known(shard, claim.key, claim.fingerprint, &record);
        }
        if !owned.missing.is_empty() {
            self.counters.records_incomplete += 1;
            return refused(RefusalReason::RecordsIncomplete);
        }
        self.claim_new(shard, claim, candidates, now)
    }

    /// Applies a gate's report of how an attempt ended. A report of another attempt, or of a key that is already known
    /// to have run, is ignored.
    pub fn apply_completion(&mut self, completed: &Completed, now: Instant) {
        let changed_s = seconds_since(self.started, now);
        let Some(owned) = self.shards.get_mut(&completed.shard) else {
            self.counters.ignored += 1;
            return;
        };
        let Some(record) = owned
            .records
            .get_mut(&completed.key)
            .filter(|record| record.id == completed.id && record.status <= RecordStatus::Unknown)
        else {
            self.counters.ignored += 1;
            return;
        };
        match completed.outcome {
            RecordOutcome::Done => record.status = RecordStatus::Done,
            RecordOutcome::Failed => record.status = RecordStatus::Unknown,
            // Only a claim of this owner's own epochs is released; a key with an unknown outcome keeps its record.
            RecordOutcome::NotRun if record.status == RecordStatus::Claimed => {
                owned.records.remove(&completed.key);
                self.records -= 1;
                return;
            }
            RecordOutcome::Running | RecordOutcome::NotRun => return,
        }
        record.changed_s = changed_s;
        let holder = self.holders.get(record.holder);
        owned.copies_dirty |= holder.is_none_or(|gate| gate.node == self.own_id.node);
    }

    /// Applies a gate's reply about an attempt. `Stale` with a later epoch ends this owner's epoch.
    pub fn apply_resolve_reply(&mut self, reply: &ResolveReply, now: Instant) {
        match (reply.result, reply.ask.id) {
            (ResolveResult::Known(outcome), Some(id)) => {
                let completed = Completed {
                    shard: reply.ask.shard,
                    key: reply.ask.key,
                    id,
                    outcome,
                };
                self.apply_completion(&completed, now);
            }
            (ResolveResult::Stale(fence), _) => self.step_down(reply.ask.shard, fence),
            (ResolveResult::Full, _) | (_, None) => {}
        }
    }

    /// Ends this node's ownership of a shard if its epoch is below `epoch`, and returns its records for the successor.
    pub fn end_epoch(&mut self, shard: ShardId, epoch: Epoch) -> Option<OwnerRecords> {
        self.step_down(shard, epoch);
        let owned = self
            .shards
            .get(&shard)
            .filter(|owned| owned.entry.epoch < epoch)?;
        let records = owned
            .records
            .iter()
            .map(|(key, record)| RecordCopy {
                key: *key,
                fingerprint: record.fingerprint,
                id: record.id,
                outcome: record.status.outcome(),
                holder: self
                    .holders
                    .get(record.holder)
                    .cloned()
                    .unwrap_or_else(|| self.own_id.clone()),
            })
            .collect();
        Some(OwnerRecords {
            epoch: owned.entry.epoch,
            complete: owned.served && owned.missing.is_empty(),
            records,
        })
    }

    /// Gives up a shard whose epoch is below `epoch`. Its records are kept for the successor.
    pub fn step_down(&mut self, shard: ShardId, epoch: Epoch) {
        if let Some(owned) = self.shards.get_mut(&shard)
            && owned.entry.epoch < epoch
        {
            owned.state = OwnerState::Former;
        }
    }

    /// Applies a gate's reply to a fence. A fence above this owner's epoch ends that epoch.
    pub fn apply_fence_reply(&mut self, reply: &FenceReply, now: Instant) {
        self.step_down(reply.shard, reply.fence);
        let is_new = self.shards.get(&reply.shard).is_some_and(|owned| {
            let accepted = reply.accepted && owned.entry.epoch == reply.epoch;
            let faulty = self.fault == InjectedFault::RefusedFenceCountsAsAccepted
                && owned.entry.epoch == reply.fence;
            (accepted || faulty)
                && owned.state != OwnerState::Former
                && !owned.fenced_gates.contains(&reply.gate)
        });
        if !is_new || !self.gates.iter().any(|entry| entry.gate == reply.gate) {
            self.counters.ignored += 1;
            return;
        }
        for copy in &reply.records {
            let status = RecordStatus::of(copy.outcome);
            self.merge(reply.shard, copy, status, now);
        }
        if let Some(former) = &reply.owner {
            for copy in &former.records {
                let status = match RecordStatus::of(copy.outcome) {
                    RecordStatus::Claimed => RecordStatus::Tentative,
                    other => other,
                };
                self.merge(reply.shard, copy, status, now);
            }
        }
        let Some(owned) = self.shards.get_mut(&reply.shard) else {
            return;
        };
        owned.fenced_gates.insert(reply.gate.clone());
        owned.predecessor_complete |= reply
            .owner
            .as_ref()
            .is_some_and(|former| former.complete && former.epoch + 1 == owned.entry.epoch);
        self.apply_gates(reply.shard, now);
    }

    /// Applies a gate's reply to copies of records: the gate becomes the holder of the records that it names.
    pub fn apply_adopt_reply(&mut self, reply: &AdoptReply) {
        self.step_down(reply.shard, reply.fence);
        let holder = self.holders.intern(&reply.gate);
        let Some(owned) = self
            .shards
            .get_mut(&reply.shard)
            .filter(|owned| owned.entry.epoch == reply.fence && owned.state == OwnerState::Serving)
        else {
            self.counters.ignored += 1;
            return;
        };
        for key in &reply.keys {
            if let Some(record) = owned.records.get_mut(key)
                && record.status >= RecordStatus::Unknown
            {
                record.holder = holder;
            }
        }
        owned.copies_dirty = true;
    }

    /// Messages and table edits that are due now. The caller sends them again until the replies have arrived.
    pub fn pending_work(&mut self) -> OwnerWork {
        let mut work = OwnerWork::default();
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for number in shards {
            self.shard_work(number, &mut work);
        }
        work
    }

    /// Removes the expired records of one shard, and stops waiting for missing records that have expired meanwhile.
    /// Successive calls go through all shards in turn.
    pub fn expire(&mut self, now: Instant) {
        let now_s = seconds_since(self.started, now);
        let Some((&number, owned)) = self.shards.range_mut(self.next_expiry..).next() else {
            self.next_expiry = 0;
            return;
        };
        self.next_expiry = number + 1;
        let before = owned.records.len();
        owned
            .records
            .retain(|_, record| !is_expired(record.changed_s, now_s));
        self.records -= before - owned.records.len();
        let expired: Vec<GateId> = owned
            .missing
            .iter()
            .filter(|(_, since_s)| is_expired(**since_s, now_s))
            .map(|(gate, _)| gate.clone())
            .collect();
        for gate in expired {
            owned.missing.remove(&gate);
            owned.fenced_gates.insert(gate);
            owned.copies_dirty = true;
        }
        if owned.state == OwnerState::Former && owned.records.is_empty() {
            self.shards.remove(&number);
        }
    }

    fn observe_shard(&mut self, number: ShardId, shard: &Shard) {
        if shard.owner.as_ref() != Some(&self.own_id) {
            self.step_down(number, shard.epoch);
            return;
        }
        let owned = self.shards.entry(number).or_insert_with(OwnedShard::empty);
        if owned.entry.epoch < shard.epoch {
            owned.begin_takeover(shard);
        }
        owned.entry.clone_from(shard);
    }

    /// Applies the observed gates to a shard: marks claims at lost gates as unknown, updates the missing records, and
    /// starts to serve once all registered gates, except an excused one, have accepted the fence.
    fn apply_gates(&mut self, number: ShardId, now: Instant) {
        let now_s = seconds_since(self.started, now);
        let Some(owned) = self
            .shards
            .get_mut(&number)
            .filter(|owned| owned.state != OwnerState::Former)
        else {
            return;
        };
        owned.copies_dirty = true;
        let registered: BTreeSet<&GateId> = self.gates.iter().map(|entry| &entry.gate).collect();
        let present: Vec<bool> = self
            .holders
            .0
            .iter()
            .map(|gate| registered.contains(gate))
            .collect();
        for record in owned.records.values_mut() {
            let is_present = present.get(usize::from(record.holder)).is_some_and(|p| *p);
            if record.status == RecordStatus::Claimed && !is_present {
                record.status = RecordStatus::Unknown;
                record.changed_s = now_s;
            }
        }
        owned.missing.retain(|gate, _| {
            !owned.predecessor_complete
                && self
                    .departed
                    .iter()
                    .any(|(known, shards)| known == gate && shards.contains(&number))
        });
        for (gate, shards) in &self.departed {
            if shards.contains(&number)
                && !owned.predecessor_complete
                && !owned.fenced_gates.contains(gate)
            {
                owned.missing.entry(gate.clone()).or_insert(now_s);
            }
        }
        let ready = self.fault == InjectedFault::ServeBeforeAllFences
            || registered.iter().all(|gate| {
                owned.fenced_gates.contains(*gate) || owned.entry.excused.as_ref() == Some(gate)
            });
        if owned.state == OwnerState::Fencing && ready {
            owned.state = OwnerState::Serving;
            owned.served = true;
        }
        if owned.state == OwnerState::Serving {
            let dropped = owned.finalise_tentative(&self.holders, now_s);
            self.records -= dropped;
        }
    }

    /// Adds a record from a fence reply, unless the record held here has the same or a later status.
    fn merge(&mut self, shard: ShardId, copy: &RecordCopy, status: RecordStatus, now: Instant) {
        let holder = self.holders.intern(&copy.holder);
        let changed_s = seconds_since(self.started, now);
        let Some(owned) = self.shards.get_mut(&shard) else {
            return;
        };
        let record = OwnerRecord {
            fingerprint: copy.fingerprint,
            id: copy.id,
            changed_s,
            holder,
            status,
        };
        match owned.records.get_mut(&copy.key) {
            Some(known) if known.status >= status => {}
            Some(known) => *known = record,
            // Records of earlier owners are added beyond the bound, because the shard cannot be served without them.
            None => {
                owned.records.insert(copy.key, record);
                self.records += 1;
            }
        }
    }
}

fn refused(reason: RefusalReason) -> ClaimStep {
    ClaimStep {
        reply: ClaimReply::Refused(Refusal::unknown(reason)),
        query: None,
    }
}
