//! The actor that owns the claim records of a node.

use {
    super::{ClaimAnswer, ClaimCalls, KeptResponse, KeptResponses},
    bytes::Bytes,
    http::Response,
    jujubeline_coordination::claims::{
        Adopt, AdoptReply, Candidate, Claim, ClaimCounters, ClaimGate, ClaimOwner, ClaimReply,
        Completed, Fence, FenceReply, GateId, KeyHash, RecordOutcome, RegisteredGate, Resolve,
        ResolveReply, Run, RunReply, Settle, ShardTable, shard_of,
    },
    jujubeline_core::{Epoch, RefusalReason, ShardId},
    kameo::{
        Actor,
        message::{Context, Message},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        time::Instant,
    },
};

/// Maximum number of queries to gates that wait to be sent. A query beyond it is dropped and made again with the next
/// claim of its key.
const MAX_RESOLVES: usize = 1_024;

/// Maximum number of reports to owners that wait to be sent. In place of a lost report, the owner queries the gate.
const MAX_REPORTS: usize = 8_192;

/// Owns the claim records of a node, as owner of shards and as gate, and the responses stored for repeats.
#[derive(Debug, Actor)]
pub struct ClaimsActor {
    own_gate: RegisteredGate,
    calls: ClaimCalls,
    owner: ClaimOwner,
    gate: ClaimGate,
    responses: KeptResponses,
    table: ShardTable,
    /// Owners named by accepted fences whose epoch is newer than the shard table that was read last.
    owners_from_fences: BTreeMap<ShardId, (Epoch, GateId)>,
    resolves: BTreeSet<Resolve>,
    reports: VecDeque<Completed>,
    must_read: bool,
    dropped_messages: u64,
}

/// Message that runs a function on the actor's state.
pub(super) struct RunOnActor(pub(super) Box<dyn FnOnce(&mut ClaimsActor) + Send>);

impl Message<RunOnActor> for ClaimsActor {
    type Reply = ();

    async fn handle(&mut self, message: RunOnActor, _: &mut Context<Self, ()>) {
        (message.0)(self);
    }
}

/// Messages that are due to be sent to other nodes.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub fences: Vec<(SocketAddr, Fence)>,
    pub adopts: Vec<(SocketAddr, Adopt)>,
    pub resolves: Vec<(SocketAddr, Resolve)>,
    pub reports: Vec<(RegisteredGate, Completed)>,
}

impl ClaimsActor {
    pub(super) fn new(own_gate: RegisteredGate, calls: ClaimCalls, now: Instant) -> Self {
        Self {
            owner: ClaimOwner::new(own_gate.gate.clone(), own_gate.data_centre.clone(), now),
            gate: ClaimGate::new(own_gate.gate.clone(), now),
            own_gate,
            calls,
            responses: KeptResponses::default(),
            table: ShardTable::default(),
            owners_from_fences: BTreeMap::new(),
            resolves: BTreeSet::new(),
            reports: VecDeque::new(),
            must_read: false,
            dropped_messages: 0,
        }
    }

    /// Applies a table from the platform if its generation is higher than that of the current one.
    pub(super) fn observe(&mut self, table: &ShardTable, now: Instant) {
        if table.generation > self.table.generation {
            self.table = table.clone();
            self.owners_from_fences.retain(|shard, (epoch, _)| {
                table
                    .shard(*shard)
                    .is_some_and(|entry| entry.epoch < *epoch)
            });
            self.owner.observe(table, now);
        }
    }

    /// Decides on a claim as owner of its shard, or names the owner.
    pub(super) fn claim(&mut self, claim: &Claim, now: Instant) -> ClaimAnswer {
        let shard = shard_of(claim.key);
        let owner = self.owner_of(shard);
        if owner != Some(&self.own_gate.gate) {
            let entry = owner.and_then(|owner| self.entry_of(owner)).cloned();
            return entry.map_or(ClaimAnswer::NoOwner, ClaimAnswer::Owner);
        }
        let candidates: Vec<Candidate> = self
            .table
            .gates
            .iter()
            .filter_map(|entry| {
                Some(Candidate {
                    gate: entry.gate.clone(),
                    data_centre: entry.data_centre.clone(),
                    load: (self.calls.load)(&entry.gate)?,
                })
            })
            .collect();
        let step = self.owner.claim(claim, &candidates, now);
        if let Some(query) = step.query {
            if self.resolves.len() < MAX_RESOLVES {
                self.resolves.insert(query);
            } else {
                self.dropped_messages += 1;
            }
        }
        let named = match &step.reply {
            ClaimReply::Run { gate, .. } | ClaimReply::Answered { gate } => Some(gate),
            ClaimReply::ConfirmNotRun { ask, .. } => Some(&ask.gate),
            ClaimReply::Refused(_) => None,
        };
        // The owner may name a gate that only holds a copy of the record. The response is stored where the key ran,
        // which may be here.
        let is_kept_here = matches!(step.reply, ClaimReply::Answered { .. })
            && self.kept_response(claim.key, now).is_some();
        let named = if is_kept_here {
            Some(&self.own_gate.gate)
        } else {
            named
        };
        let gate = named.and_then(|gate| self.entry_of(gate)).cloned();
        ClaimAnswer::Decided {
            reply: step.reply,
            gate,
        }
    }

    /// Handles a fence as gate and as former owner. Both parts change within one message, so no claim is handled
    /// between them.
    pub(super) fn fence(&mut self, fence: &Fence) -> FenceReply {
        let mut reply = self.gate.fence(fence);
        if reply.accepted {
            reply.owner = self.owner.end_epoch(fence.shard, reply.fence);
        }
        let known = self.table.shard(fence.shard).map_or(0, |shard| shard.epoch);
        if reply.accepted && fence.epoch > known {
            self.must_read = true;
            let owner = (fence.epoch, fence.owner.clone());
            self.owners_from_fences.insert(fence.shard, owner);
        }
        reply
    }

    pub(super) fn resolve(&mut self, query: &Resolve, now: Instant) -> ResolveReply {
        self.gate.resolve(query, now)
    }

    pub(super) fn adopt(&mut self, adopt: &Adopt, now: Instant) -> AdoptReply {
        self.gate.adopt(adopt, now)
    }

    pub(super) fn apply_completion(&mut self, completed: &Completed, now: Instant) {
        self.owner.apply_completion(completed, now);
    }

    pub(super) fn apply_fence_reply(&mut self, reply: &FenceReply, now: Instant) {
        self.owner.apply_fence_reply(reply, now);
    }

    pub(super) fn apply_adopt_reply(&mut self, reply: &AdoptReply) {
        self.owner.apply_adopt_reply(reply);
    }

    pub(super) fn apply_resolve_reply(&mut self, reply: &ResolveReply, now: Instant) {
        self.owner.apply_resolve_reply(reply, now);
    }

    pub(super) fn start_run(&mut self, run: &Run, now: Instant) -> RunReply {
        self.gate.start(run, now)
    }

    pub(super) fn refuse_run(
        &mut self,
        run: &Run,
        reason: RefusalReason,
        now: Instant,
    ) -> RunReply {
        let (reply, report) = self.gate.refuse(run, reason, now);
        self.report(report);
        reply
    }

    /// Records the end of a run, and stores its response if it is complete.
    pub(super) fn finish_run(
        &mut self,
        run: &Run,
        outcome: RecordOutcome,
        response: Option<Response<Bytes>>,
        now: Instant,
    ) {
        let report = self.gate.finish(run, outcome, now);
        if let (Some(_), RecordOutcome::Done, Some(response)) = (&report, outcome, response) {
            self.responses.keep(run.key, response, now);
        }
        self.report(report);
    }

    pub(super) fn kept_response(&self, key: KeyHash, now: Instant) -> Option<KeptResponse> {
        self.responses.get(key, now)
    }

    /// Takes everything that is due to be sent. Fences, record copies and settlements are repeated until their replies
    /// arrive.
    pub(super) fn outbox(&mut self) -> Outbox {
        let work = self.owner.pending_work();
        let resolves = std::mem::take(&mut self.resolves);
        let reports = std::mem::take(&mut self.reports);
        Outbox {
            fences: work
                .fences
                .into_iter()
                .filter_map(|fence| Some((self.address_of(&fence.gate)?, fence)))
                .collect(),
            adopts: work
                .adopts
                .into_iter()
                .filter_map(|adopt| Some((self.address_of(&adopt.gate)?, adopt)))
                .collect(),
            resolves: resolves
                .into_iter()
                .filter_map(|query| Some((self.address_of(&query.gate)?, query)))
                .collect(),
            reports: reports
                .into_iter()
                .filter_map(|report| {
                    let owner = self.entry_of(self.owner_of(report.shard)?)?;
                    Some((owner.clone(), report))
                })
                .collect(),
        }
    }

    /// Whether a fence since the last call had a newer epoch than the table, so that the platform holds a newer table.
    pub(super) fn take_must_read(&mut self) -> bool {
        std::mem::take(&mut self.must_read)
    }

    /// Control address of a gate; none if it is not registered.
    pub(super) fn address_of(&self, gate: &GateId) -> Option<SocketAddr> {
        Some(self.entry_of(gate)?.control_address)
    }

    /// Shards to mark as settled; none if the owner has not processed this generation of the table yet.
    pub(super) fn settles(&mut self, generation: u64) -> Vec<Settle> {
        if self.owner.generation() != generation {
            return Vec::new();
        }
        self.owner.pending_work().settles
    }

    /// Removes expired records, one shard at a time, and expired responses.
    pub(super) fn expire(&mut self, now: Instant) {
        self.owner.expire(now);
        self.gate.expire(now);
        self.responses.expire(now);
    }

    /// Counters of the owner and of the gate, and the number of messages and responses dropped because of a bound.
    pub(super) fn counters(&self) -> (ClaimCounters, ClaimCounters, u64) {
        (
            *self.owner.counters(),
            *self.gate.counters(),
            self.dropped_messages + self.responses.dropped(),
        )
    }

    fn report(&mut self, report: Option<Completed>) {
        let Some(report) = report else {
            return;
        };
        if self.reports.len() >= MAX_REPORTS {
            self.dropped_messages += 1;
            return;
        }
        self.reports.push_back(report);
    }

    /// Owner of a shard: from a fence that is newer than the table, else from the table.
    fn owner_of(&self, shard: ShardId) -> Option<&GateId> {
        match self.owners_from_fences.get(&shard) {
            Some((_, owner)) => Some(owner),
            None => self.table.shard(shard)?.owner.as_ref(),
        }
    }

    fn entry_of(&self, gate: &GateId) -> Option<&RegisteredGate> {
        self.table.gates.iter().find(|entry| entry.gate == *gate)
    }
}
