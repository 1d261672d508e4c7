//! Model of a few nodes, a shard table and a network, with the checks of at-most-once execution.
//!
//! A message stays in the network after its delivery, so each may be lost, late or duplicated without a limit. A paused
//! node is one that takes no step. An outage of the platform, and a lost response of a write that took effect, are
//! states in which no node reads the table.

use {
    crate::hashed::Hashed,
    jujubeline_coordination::claims::{
        Adopt, AdoptReply, AttemptId, Candidate, Claim, ClaimGate, ClaimOwner, ClaimReply,
        Completed, Fence, FenceReply, GateId, InjectedFault, KeyHash, OwnerState, RecordOutcome,
        RegisteredGate, Resolve, ResolveReply, ResolveResult, Run, RunReply, ShardTable,
    },
    jujubeline_core::{NodeId, Outcome, Refusal, RefusalReason, ShardId},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{Hash, Hasher},
        net::{Ipv4Addr, SocketAddr},
        time::Instant,
    },
};

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub nodes: u16,
    pub shards: u16,
    /// Requests with keys 0, 1, …; the last key repeats for requests beyond `keys`, each through its own entry node.
    pub keys: u16,
    pub requests: u16,
    /// Claims of each request that may lead to a run; those that are refused have no bound.
    pub claims: u8,
    pub takeovers: u8,
    pub crashes: u8,
    pub retirements: u8,
    pub gate_refusals: u8,
    /// Whether runs end within the exploration.
    pub finishes: bool,
    /// Whether the exploration begins after the first owner has authorised a run at the second node, has crashed and
    /// has registered again with a new incarnation.
    pub owner_lost: bool,
    pub fault: InjectedFault,
    /// Whether a takeover excuses the former owner although it had not settled.
    pub excuse_unsettled: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Run(NodeId, Run),
    FalseConfirmation(Resolve),
    Completed(NodeId, Completed),
    Resolve(GateId, Resolve),
    Resolved(GateId, ResolveReply),
    Fence(GateId, Fence),
    Fenced(GateId, FenceReply),
    Adopt(GateId, Adopt),
    Adopted(GateId, AdoptReply),
}

#[derive(Debug, Clone)]
pub enum Action {
    Claim {
        request: usize,
        owner: usize,
        gate: usize,
    },
    Deliver(Hashed<Message>),
    RefuseAtGate(NodeId, Run),
    Finish(usize, Run),
    Observe(usize),
    TakeOver(usize, ShardId),
    Settle(usize),
    Crash(usize),
    Register(usize),
    Retire(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    id: GateId,
    owner: ClaimOwner,
    gate: ClaimGate,
}

#[derive(Debug, Clone, Hash)]
pub struct System {
    now: Instant,
    nodes: Vec<Hashed<Node>>,
    table: Hashed<ShardTable>,
    network: BTreeSet<Hashed<Message>>,
    claims_left: Vec<u8>,
    takeovers: u8,
    crashes: u8,
    retirements: u8,
    gate_refusals: u8,
    /// Starts of each key at a target.
    starts: BTreeMap<KeyHash, Vec<(GateId, Run)>>,
    /// Attempts that were reported as not run.
    not_run: BTreeSet<(KeyHash, AttemptId)>,
    pub violations: BTreeSet<&'static str>,
    /// Situations that the history contains; they show that an exploration is not vacuous.
    pub reached: Reached,
}

/// Situations of a history. Two states that differ only here have the same future, so they count as one.
#[derive(Debug, Clone, Default)]
pub struct Reached(pub BTreeSet<&'static str>);

impl Hash for Reached {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

impl System {
    pub fn new(limits: &Limits) -> Self {
        let now = Instant::now();
        let mut system = Self {
            now,
            nodes: Vec::new(),
            table: Hashed::new(ShardTable::new(limits.shards)),
            network: BTreeSet::new(),
            claims_left: vec![limits.claims; usize::from(limits.requests)],
            takeovers: limits.takeovers,
            crashes: limits.crashes,
            retirements: limits.retirements,
            gate_refusals: limits.gate_refusals,
            starts: BTreeMap::new(),
            not_run: BTreeSet::new(),
            violations: BTreeSet::new(),
            reached: Reached::default(),
        };
        for number in 0..limits.nodes {
            let id = GateId {
                node: format!("n{number}").into(),
                incarnation: 1,
            };
            system
                .nodes
                .push(Hashed::new(system.start_node(id, limits)));
            system.register(usize::from(number));
        }
        for shard in 0..limits.shards {
            system.take_over(usize::from(shard % limits.nodes), shard, limits);
        }
        // The first owners settle before the exploration begins.
        for _ in 0..4 {
            (0..system.nodes.len()).for_each(|node| system.observe(node));
            for message in system.network.clone() {
                system.deliver(&message);
            }
            (0..system.nodes.len()).for_each(|node| system.settle(node));
        }
        system.network.clear();
        if limits.owner_lost {
            system.claim(0, 0, 1, limits);
            for message in system.network.clone() {
                system.deliver(&message);
            }
            system.crash(0, limits);
            system.register(0);
        }
        system.reached = Reached::default();
        system
    }

    /// All enabled actions with their results.
    pub fn next(&self, limits: &Limits) -> Vec<(Action, Self)> {
        let mut results = Vec::new();
        for action in self.actions(limits) {
            let mut state = self.clone();
            state.apply(&action, limits);
            results.push((action, state));
        }
        results
    }

    pub fn actions(&self, limits: &Limits) -> Vec<Action> {
        let nodes = 0..self.nodes.len();
        let mut actions: Vec<Action> = self
            .network
            .iter()
            .map(|message| Action::Deliver(message.clone()))
            .collect();
        for message in &self.network {
            if let (Message::Run(node, run), true) = (&**message, self.gate_refusals > 0) {
                actions.push(Action::RefuseAtGate(node.clone(), *run));
            }
        }
        for request in (0..self.claims_left.len()).filter(|request| self.claims_left[*request] > 0)
        {
            let shard = shard_in(key_of(request, limits), limits);
            for owner in nodes.clone() {
                let state = self.nodes[owner].owner.state_of(shard);
                if state.is_some_and(|(state, _)| state == OwnerState::Serving) {
                    actions.extend(nodes.clone().map(|gate| Action::Claim {
                        request,
                        owner,
                        gate,
                    }));
                }
            }
        }
        for node in nodes {
            let id = &self.nodes[node].id;
            let registered = self.table.is_registered(id);
            let running = self
                .starts
                .values()
                .flatten()
                .filter(|(gate, _)| gate == id && limits.finishes);
            actions.extend(running.map(|(_, run)| Action::Finish(node, *run)));
            if self.is_affected_by_table(node) {
                actions.push(Action::Observe(node));
            }
            actions.push(Action::Settle(node));
            if !registered && !self.table.departed.iter().any(|gone| gone.gate == *id) {
                actions.push(Action::Register(node));
            }
            if registered && self.takeovers > 0 {
                actions.extend((0..limits.shards).map(|shard| Action::TakeOver(node, shard)));
            }
            if self.crashes > 0 {
                actions.push(Action::Crash(node));
            }
            if registered && self.retirements > 0 {
                actions.push(Action::Retire(node));
            }
        }
        actions
    }

    /// Whether the node owns or owned a shard, or the table names it as an owner. A read of the table by any other node
    /// has no effect before its next read, so such reads are left out.
    fn is_affected_by_table(&self, node: usize) -> bool {
        let Node { id, owner, .. } = &*self.nodes[node];
        self.table.numbered().any(|(number, shard)| {
            shard.owner.as_ref() == Some(id) || owner.state_of(number).is_some()
        })
    }

    pub fn apply(&mut self, action: &Action, limits: &Limits) {
        match action {
            Action::Claim {
                request,
                owner,
                gate,
            } => self.claim(*request, *owner, *gate, limits),
            Action::Deliver(message) => self.deliver(message),
            Action::RefuseAtGate(node, run) => self.refuse(node, run),
            Action::Finish(node, run) => self.finish(*node, run),
            Action::Observe(node) => self.observe(*node),
            Action::TakeOver(node, shard) => {
                self.takeovers -= 1;
                self.take_over(*node, *shard, limits);
            }
            Action::Settle(node) => self.settle(*node),
            Action::Crash(node) => {
                self.crashes -= 1;
                self.crash(*node, limits);
            }
            Action::Register(node) => self.register(*node),
            Action::Retire(node) => {
                self.retirements -= 1;
                let id = self.nodes[*node].id.node.clone();
                self.table = Hashed::new(self.table.retire(&id).expect("registered"));
            }
        }
        self.check_owners(limits);
    }

    fn start_node(&self, id: GateId, limits: &Limits) -> Node {
        Node {
            owner: ClaimOwner::new(id.clone(), "dc".into(), self.now).with_fault(limits.fault),
            gate: ClaimGate::new(id.clone(), self.now).with_fault(limits.fault),
            id,
        }
    }

    fn claim(&mut self, request: usize, owner: usize, gate: usize, limits: &Limits) {
        let key = key_of(request, limits);
        let claim = Claim {
            key,
            fingerprint: 1,
            entry_data_centre: "dc".into(),
            avoid: None,
        };
        let candidate = Candidate {
            gate: self.nodes[gate].id.clone(),
            data_centre: "dc".into(),
            load: 0.0,
        };
        let shard = shard_in(key, limits);
        let solo = self.table.shard(shard).is_some_and(|entry| entry.solo);
        let id = self.nodes[owner].id.clone();
        let now = self.now;
        let step = self.update_node(owner, |node| {
            node.owner.claim_in(shard, &claim, &[candidate], now)
        });
        match step.reply {
            ClaimReply::Run { gate, run } => {
                if gate.node == id.node && !solo {
                    self.record_violation("an owner authorised its own gate outside a solo epoch");
                }
                if run.id.epoch > 1 {
                    self.reached.0.insert("claim by a successor");
                }
                self.claims_left[request] -= 1;
                self.send(Message::Run(gate.node, run));
            }
            ClaimReply::ConfirmNotRun { ask, .. } => {
                self.reached.0.insert("confirmation asked");
                // A confirmation changes no state, so only one that would be false is followed up.
                if self.starts.contains_key(&key) {
                    self.send(Message::FalseConfirmation(ask));
                }
            }
            ClaimReply::Refused(refusal) => self.refused(key, None, &refusal),
            ClaimReply::Answered { .. } => {
                self.reached.0.insert("answered");
            }
        }
        if let Some(query) = step.query {
            self.send(Message::Resolve(id, query));
        }
        self.send_work(owner);
    }

    fn deliver(&mut self, message: &Message) {
        let now = self.now;
        match message {
            Message::Run(node, run) => self.run(node, run),
            Message::FalseConfirmation(query) => {
                let node = self.node_of(&query.gate.node);
                let reply = self.update_node(node, |node| node.gate.resolve(query, now));
                if reply.result == ResolveResult::Known(RecordOutcome::NotRun) {
                    self.record_violation("a confirmed refusal of a key that had started");
                }
            }
            Message::Completed(node, completed) => {
                let node = self.node_of(node);
                self.update_node(node, |node| node.owner.apply_completion(completed, now));
                self.send_work(node);
            }
            Message::Resolve(from, query) => {
                let node = self.node_of(&query.gate.node);
                let reply = self.update_node(node, |node| node.gate.resolve(query, now));
                if let (ResolveResult::Known(RecordOutcome::NotRun), Some(id)) =
                    (reply.result, query.id)
                {
                    self.not_run.insert((query.key, id));
                }
                self.send(Message::Resolved(from.clone(), reply));
            }
            Message::Resolved(to, reply) => {
                self.update_owner(to, |owner| owner.apply_resolve_reply(reply, now));
            }
            Message::Fence(from, fence) => {
                let node = self.node_of(&fence.gate.node);
                let mut reply = self.update_node(node, |node| node.gate.fence(fence));
                if reply.accepted {
                    reply.owner = self
                        .update_node(node, |node| node.owner.end_epoch(fence.shard, reply.fence));
                }
                self.send(Message::Fenced(from.clone(), reply));
            }
            Message::Fenced(to, reply) => {
                self.update_owner(to, |owner| owner.apply_fence_reply(reply, now));
            }
            Message::Adopt(from, adopt) => {
                let node = self.node_of(&adopt.gate.node);
                let reply = self.update_node(node, |node| node.gate.adopt(adopt, now));
                self.send(Message::Adopted(from.clone(), reply));
            }
            Message::Adopted(to, reply) => {
                self.reached.0.insert("adopted");
                self.update_owner(to, |owner| owner.apply_adopt_reply(reply));
            }
        }
    }

    /// Applies a reply at the process that asked. A new incarnation does not receive replies to the former one.
    fn update_owner(&mut self, to: &GateId, act: impl FnOnce(&mut ClaimOwner)) {
        let node = self.node_of(&to.node);
        if self.nodes[node].id == *to {
            self.update_node(node, |node| act(&mut node.owner));
            self.send_work(node);
        }
    }

    fn run(&mut self, node: &NodeId, run: &Run) {
        let node = self.node_of(node);
        let now = self.now;
        match self.update_node(node, |node| node.gate.start(run, now)) {
            RunReply::Start => {
                if self.starts.contains_key(&run.key) {
                    self.record_violation("a key started twice");
                }
                if self.not_run.contains(&(run.key, run.id)) {
                    self.record_violation("an attempt started after it was reported as not run");
                }
                let id = self.nodes[node].id.clone();
                self.starts.entry(run.key).or_default().push((id, *run));
            }
            RunReply::Refused(refusal) => self.refused(run.key, Some(run.id), &refusal),
            RunReply::Answered => {}
        }
    }

    fn refuse(&mut self, node: &NodeId, run: &Run) {
        self.gate_refusals -= 1;
        let node = self.node_of(node);
        let now = self.now;
        let (reply, completed) = self.update_node(node, |node| {
            node.gate.refuse(run, RefusalReason::Draining, now)
        });
        if let RunReply::Refused(refusal) = reply {
            self.refused(run.key, Some(run.id), &refusal);
        }
        self.report(completed);
    }

    fn finish(&mut self, node: usize, run: &Run) {
        let now = self.now;
        let completed =
            self.update_node(node, |node| node.gate.finish(run, RecordOutcome::Done, now));
        self.report(completed);
    }

    /// A gate reports to the owner that the table names.
    fn report(&mut self, completed: Option<Completed>) {
        let owner =
            completed.and_then(|completed| self.table.shard(completed.shard)?.owner.clone());
        if let (Some(completed), Some(owner)) = (completed, owner) {
            self.send(Message::Completed(owner.node, completed));
        }
    }

    fn refused(&mut self, key: KeyHash, id: Option<AttemptId>, refusal: &Refusal) {
        if refusal.reason() == RefusalReason::RecordsIncomplete {
            self.reached.0.insert("records incomplete");
        }
        if refusal.outcome() != Outcome::NotRun {
            return;
        }
        self.reached.0.insert("not run");
        if self.starts.contains_key(&key) {
            self.record_violation("a key that had started was reported as not run");
        }
        self.not_run.extend(id.map(|id| (key, id)));
    }

    fn observe(&mut self, node: usize) {
        let (table, now) = (self.table.clone(), self.now);
        self.update_node(node, |node| node.owner.observe(&table, now));
        self.send_work(node);
    }

    fn send_work(&mut self, node: usize) {
        let id = self.nodes[node].id.clone();
        let work = self.update_node(node, |node| node.owner.pending_work());
        for fence in work.fences {
            self.send(Message::Fence(id.clone(), fence));
        }
        for adopt in work.adopts {
            self.send(Message::Adopt(id.clone(), adopt));
        }
    }

    fn take_over(&mut self, node: usize, shard: ShardId, limits: &Limits) {
        let before = self.table.shards[usize::from(shard)].clone();
        let id = &self.nodes[node].id;
        let mut table = self.table.take_over(&[shard], id).expect("registered");
        if limits.excuse_unsettled && before.owner.as_ref() != Some(id) {
            table.shards[usize::from(shard)].excused = before.owner;
        }
        self.table = Hashed::new(table);
    }

    fn settle(&mut self, node: usize) {
        let id = self.nodes[node].id.clone();
        let generation = self.table.generation;
        if self.nodes[node].owner.generation() != generation {
            return;
        }
        let settles: Vec<_> = self
            .update_node(node, |node| node.owner.pending_work())
            .settles;
        let shards: Vec<_> = settles
            .iter()
            .map(|settle| (settle.shard, settle.epoch))
            .collect();
        if let (false, Ok(table)) = (shards.is_empty(), self.table.settle(&shards, &id)) {
            self.reached.0.insert("settled");
            self.table = Hashed::new(table);
        }
    }

    fn crash(&mut self, node: usize, limits: &Limits) {
        let mut id = self.nodes[node].id.clone();
        id.incarnation += 1;
        let lost = self.nodes[node].id.clone();
        self.nodes[node] = Hashed::new(self.start_node(id, limits));
        // Replies to a lost process have no effect.
        self.network.retain(|message| match &**message {
            Message::Resolved(to, _) | Message::Fenced(to, _) | Message::Adopted(to, _) => {
                *to != lost
            }
            _ => true,
        });
    }

    fn register(&mut self, node: usize) {
        let gate = RegisteredGate {
            gate: self.nodes[node].id.clone(),
            control_address: SocketAddr::from((
                Ipv4Addr::LOCALHOST,
                7_000 + u16::try_from(node).unwrap(),
            )),
            data_centre: "dc".into(),
        };
        if let Ok(table) = self.table.register(gate) {
            self.table = Hashed::new(table);
        }
    }

    fn check_owners(&mut self, limits: &Limits) {
        for shard in 0..limits.shards {
            let mut epochs: Vec<_> = self
                .nodes
                .iter()
                .filter_map(|node| node.owner.state_of(shard))
                .filter(|(state, _)| *state == OwnerState::Serving)
                .map(|(_, epoch)| epoch)
                .collect();
            let serving = epochs.len();
            epochs.sort_unstable();
            epochs.dedup();
            if epochs.len() < serving {
                self.record_violation("two owners serve one epoch");
            }
        }
    }

    fn record_violation(&mut self, what: &'static str) {
        self.violations.insert(what);
    }

    fn update_node<R>(&mut self, node: usize, act: impl FnOnce(&mut Node) -> R) -> R {
        let mut changed = Node::clone(&self.nodes[node]);
        let result = act(&mut changed);
        self.nodes[node] = Hashed::new(changed);
        result
    }

    fn send(&mut self, message: Message) {
        if let Message::Resolved(to, _) | Message::Fenced(to, _) | Message::Adopted(to, _) =
            &message
            && self.nodes.iter().all(|node| node.id != *to)
        {
            return;
        }
        self.network.insert(Hashed::new(message));
    }

    fn node_of(&self, node: &NodeId) -> usize {
        self.nodes
            .iter()
            .position(|other| other.id.node == *node)
            .expect("known node")
    }
}

fn key_of(request: usize, limits: &Limits) -> KeyHash {
    request.min(usize::from(limits.keys) - 1) as KeyHash
}

fn shard_in(key: KeyHash, limits: &Limits) -> ShardId {
    ShardId::try_from(key % u128::from(limits.shards)).expect("fits")
}
