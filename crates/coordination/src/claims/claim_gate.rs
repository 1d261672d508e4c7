//! State machine of a gate: starts runs that carry the epoch of its fence, and records what ran.

use {
    super::{
        Adopt, AdoptReply, AttemptId, ClaimCounters, Completed, Fence, FenceReply, GateId,
        InjectedFault, KeyHash, MAX_RECORDS, RECORD_RETENTION, RESERVED_RECORDS, RecordCopy,
        RecordOutcome, Resolve, ResolveReply, ResolveResult, Run, RunReply,
    },
    jujubeline_core::{Attempt, Epoch, Fingerprint, NotRunProof, Refusal, RefusalReason, ShardId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A gate's record of a key: the last attempt and how it ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GateRecord {
    fingerprint: Fingerprint,
    id: AttemptId,
    /// Seconds from the start of the gate to the last change of the outcome.
    changed_s: u32,
    outcome: RecordOutcome,
}

/// Fence and records of one shard at a gate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct GateState {
    /// Epoch whose runs may start; 0 before the first fence.
    fence: Epoch,
    /// Owner of that epoch. A platform that was restored from a copy can assign an epoch to a second owner.
    owner: Option<GateId>,
    /// Attempts of the epoch up to this number may not start.
    floor: Attempt,
    records: BTreeMap<KeyHash, GateRecord>,
}

/// State machine of a gate, for the service of its target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimGate {
    own_id: GateId,
    started: Instant,
    max_records: usize,
    /// Number of records in all shards.
    records: usize,
    shards: BTreeMap<ShardId, GateState>,
    /// First shard that the next call of [`ClaimGate::expire`] considers.
    next_expiry: ShardId,
    counters: ClaimCounters,
    fault: InjectedFault,
}

impl ClaimGate {
    /// Creates a gate without fences. It refuses every run of a shard until an owner has fenced the shard.
    #[must_use]
    pub fn new(own_id: GateId, now: Instant) -> Self {
        Self {
            own_id,
            started: now,
            max_records: MAX_RECORDS,
            records: 0,
            shards: BTreeMap::new(),
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

    /// Node and incarnation of this gate.
    #[must_use]
    pub const fn id(&self) -> &GateId {
        &self.own_id
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

    /// Epoch below which the gate refuses runs of the shard; 0 before the first fence.
    #[must_use]
    pub fn fence_of(&self, shard: ShardId) -> Epoch {
        self.shards.get(&shard).map_or(0, |state| state.fence)
    }

    /// Outcome of the last recorded attempt of a key, or none without a record.
    #[must_use]
    pub fn outcome_of(&self, shard: ShardId, key: KeyHash) -> Option<RecordOutcome> {
        let record = self.shards.get(&shard)?.records.get(&key)?;
        Some(record.outcome)
    }

    /// Raises the fence of a shard to a higher epoch and returns the gate's records of the shard. The fence in effect
    /// is accepted again; a lower one, one of another owner with the same epoch, or one for another incarnation, is not
    /// accepted.
    pub fn fence(&mut self, fence: &Fence) -> FenceReply {
        let is_recipient = fence.gate == self.own_id;
        if !is_recipient {
            self.counters.ignored += 1;
        }
        let state = self.shards.entry(fence.shard).or_default();
        if is_recipient && fence.epoch > state.fence {
            state.fence = fence.epoch;
            state.owner = Some(fence.owner.clone());
            state.floor = if self.fault == InjectedFault::FenceWithoutFloor {
                0
            } else {
                fence.floor
            };
        }
        let is_of_owner = state.owner.as_ref() == Some(&fence.owner);
        let accepted = is_recipient && fence.epoch == state.fence && is_of_owner;
        if is_recipient && !accepted {
            self.counters.stale_epoch += 1;
        }
        let records = if accepted {
            state.copies(&self.own_id)
        } else {
            Vec::new()
        };
        FenceReply {
            gate: self.own_id.clone(),
            shard: fence.shard,
            epoch: fence.epoch,
            accepted,
            fence: state.fence,
            records,
            owner: None,
        }
    }

    /// Records the run of a key if its authorisation is in effect. After `Start` the target may be called once.
    pub fn start(&mut self, run: &Run, now: Instant) -> RunReply {
        if let Some(reply) = self.check(run) {
            return reply;
        }
        if self.records >= self.max_records {
            return self.refuse(run, RefusalReason::RecordsFull, now).0;
        }
        self.insert_record(
            run.shard,
            run.key,
            run.fingerprint,
            run.id,
            RecordOutcome::Running,
            now,
        );
        RunReply::Start
    }

    /// Refuses an authorised run for another reason, such as admission. The refusal is recorded, so a late copy of
    /// the authorisation cannot start. Without room for the record, the outcome of the refusal is unknown.
    pub fn refuse(
        &mut self,
        run: &Run,
        reason: RefusalReason,
        now: Instant,
    ) -> (RunReply, Option<Completed>) {
        if let Some(reply) = self.check(run) {
            return (reply, None);
        }
        if !self.has_room_for_refusal(run.shard, run.key) {
            self.counters.records_full += 1;
            return (RunReply::Refused(Refusal::unknown(reason)), None);
        }
        self.insert_record(
            run.shard,
            run.key,
            run.fingerprint,
            run.id,
            RecordOutcome::NotRun,
            now,
        );
        let refusal = Refusal::not_run(NotRunProof::RefusedByGate, reason);
        (
            RunReply::Refused(refusal),
            Some(run.completed(RecordOutcome::NotRun)),
        )
    }

    /// Records the end of a run and returns the report for the owner, or none if the attempt is not running here.
    /// `NotRun` is for a target that stated that it did not run the request.
    pub fn finish(&mut self, run: &Run, outcome: RecordOutcome, now: Instant) -> Option<Completed> {
        let changed_s = seconds_since(self.started, now);
        let record = self
            .shards
            .get_mut(&run.shard)
            .and_then(|state| state.records.get_mut(&run.key))
            .filter(|record| record.id == run.id && record.outcome == RecordOutcome::Running);
        let Some(record) = record else {
            self.counters.ignored += 1;
            return None;
        };
        record.outcome = outcome;
        record.changed_s = changed_s;
        Some(run.completed(outcome))
    }

    /// Answers the owner's query for an attempt. An attempt without a record is first recorded as refused, so that the
    /// reply stays true if the authorisation arrives later.
    pub fn resolve(&mut self, query: &Resolve, now: Instant) -> ResolveReply {
        let result = self.resolve_attempt(query, now);
        ResolveReply {
            ask: query.clone(),
            result,
        }
    }

    /// Stores copies of records from the owner. The reply names the keys whose records the gate now holds.
    pub fn adopt(&mut self, adopt: &Adopt, now: Instant) -> AdoptReply {
        let fence = self.fence_of(adopt.shard);
        let mut keys = Vec::new();
        if adopt.gate == self.own_id && adopt.epoch == fence && fence > 0 {
            for copy in &adopt.records {
                if self.adopt_one(adopt.shard, copy, now) {
                    keys.push(copy.key);
                }
            }
        } else {
            self.counters.stale_epoch += 1;
        }
        AdoptReply {
            gate: self.own_id.clone(),
            shard: adopt.shard,
            fence,
            keys,
        }
    }

    /// Removes the expired records of one shard. Successive calls go through all shards in turn.
    pub fn expire(&mut self, now: Instant) {
        let now_s = seconds_since(self.started, now);
        let Some((&shard, state)) = self.shards.range_mut(self.next_expiry..).next() else {
            self.next_expiry = 0;
            return;
        };
        self.next_expiry = shard + 1;
        let before = state.records.len();
        state.records.retain(|_, record| {
            record.outcome == RecordOutcome::Running || !is_expired(record.changed_s, now_s)
        });
        self.records -= before - state.records.len();
    }

    /// Returns the reply to a run that must not start, or none if it may start.
    fn check(&mut self, run: &Run) -> Option<RunReply> {
        let state = self.shards.get(&run.shard);
        let fence = state.map_or(0, |state| state.fence);
        let floor = state.map_or(0, |state| state.floor);
        let fenced_off = fence == 0 || run.id.epoch != fence || run.id.attempt <= floor;
        if fenced_off && self.fault != InjectedFault::GateWithoutFenceCheck {
            self.counters.stale_epoch += 1;
            return Some(unknown(RefusalReason::StaleEpoch));
        }
        let record = state?.records.get(&run.key)?;
        match record.outcome {
            RecordOutcome::Running => Some(unknown(RefusalReason::InProgress)),
            _ if record.fingerprint != run.fingerprint => {
                self.counters.key_reused += 1;
                Some(unknown(RefusalReason::KeyReused))
            }
            RecordOutcome::Done => Some(RunReply::Answered),
            RecordOutcome::Failed => Some(unknown(RefusalReason::OutcomeLost)),
            // A later attempt may have started elsewhere since the refusal was recorded.
            RecordOutcome::NotRun if record.id >= run.id => {
                Some(unknown(RefusalReason::OutcomeLost))
            }
            RecordOutcome::NotRun => None,
        }
    }

    fn resolve_attempt(&mut self, query: &Resolve, now: Instant) -> ResolveResult {
        let fence = self.fence_of(query.shard);
        if query.gate != self.own_id || query.epoch != fence || fence == 0 {
            self.counters.stale_epoch += 1;
            return ResolveResult::Stale(fence);
        }
        let record = self
            .shards
            .get(&query.shard)
            .and_then(|state| state.records.get(&query.key));
        let id = match (record, query.id) {
            (Some(record), _) if record.outcome != RecordOutcome::NotRun => {
                return ResolveResult::Known(record.outcome);
            }
            (Some(record), Some(id)) if record.id >= id => {
                return ResolveResult::Known(RecordOutcome::NotRun);
            }
            (_, None) => return ResolveResult::Known(RecordOutcome::NotRun),
            (_, Some(id)) => id,
        };
        if self.fault == InjectedFault::ResolveWithoutRecord {
            return ResolveResult::Known(RecordOutcome::NotRun);
        }
        if !self.has_room_for_refusal(query.shard, query.key) {
            self.counters.records_full += 1;
            return ResolveResult::Full;
        }
        self.insert_record(
            query.shard,
            query.key,
            query.fingerprint,
            id,
            RecordOutcome::NotRun,
            now,
        );
        ResolveResult::Known(RecordOutcome::NotRun)
    }

    fn adopt_one(&mut self, shard: ShardId, copy: &RecordCopy, now: Instant) -> bool {
        let known = self
            .shards
            .get(&shard)
            .and_then(|state| state.records.get(&copy.key));
        if known.is_some_and(|record| record.outcome != RecordOutcome::NotRun) {
            return true;
        }
        if !self.has_room_for_refusal(shard, copy.key) {
            self.counters.records_full += 1;
            return false;
        }
        self.insert_record(
            shard,
            copy.key,
            copy.fingerprint,
            copy.id,
            copy.outcome,
            now,
        );
        true
    }

    fn has_room_for_refusal(&self, shard: ShardId, key: KeyHash) -> bool {
        let known = self
            .shards
            .get(&shard)
            .is_some_and(|state| state.records.contains_key(&key));
        known || self.records < self.max_records + RESERVED_RECORDS
    }

    fn insert_record(
        &mut self,
        shard: ShardId,
        key: KeyHash,
        fingerprint: Fingerprint,
        id: AttemptId,
        outcome: RecordOutcome,
        now: Instant,
    ) {
        let record = GateRecord {
            fingerprint,
            id,
            changed_s: seconds_since(self.started, now),
            outcome,
        };
        let state = self.shards.entry(shard).or_default();
        if state.records.insert(key, record).is_none() {
            self.records += 1;
        }
    }
}

impl GateState {
    /// Copies of all records except refusals, which have no use after the epoch that they belong to.
    fn copies(&self, holder: &GateId) -> Vec<RecordCopy> {
        self.records
            .iter()
            .filter(|(_, record)| record.outcome != RecordOutcome::NotRun)
            .map(|(key, record)| RecordCopy {
                key: *key,
                fingerprint: record.fingerprint,
                id: record.id,
                outcome: record.outcome,
                holder: holder.clone(),
            })
            .collect()
    }
}

impl Run {
    /// Report to the owner of how this attempt ended.
    #[must_use]
    pub const fn completed(&self, outcome: RecordOutcome) -> Completed {
        Completed {
            shard: self.shard,
            key: self.key,
            id: self.id,
            outcome,
        }
    }
}

fn unknown(reason: RefusalReason) -> RunReply {
    RunReply::Refused(Refusal::unknown(reason))
}

/// Whole seconds between two times. Records store them in place of an [`Instant`] to save space.
pub(super) fn seconds_since(started: Instant, now: Instant) -> u32 {
    let seconds = now.saturating_duration_since(started).as_secs();
    u32::try_from(seconds).unwrap_or(u32::MAX)
}

/// Whether a record that last changed at second `changed_s` is older than [`RECORD_RETENTION`] at second `now_s`.
pub(super) fn is_expired(changed_s: u32, now_s: u32) -> bool {
    Duration::from_secs(u64::from(now_s.saturating_sub(changed_s))) > RECORD_RETENTION
}
