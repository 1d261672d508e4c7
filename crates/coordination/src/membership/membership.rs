//! The SWIM state machine (Das, Gupta and Motivala, 2002) with Lifeguard's local health and suspicion timeouts.

mod presence;
mod probing;
mod sending;

use {
    super::{
        Config, Counters, CrashReport, Datagram, DatagramKind, Member, MemberEvent, Output,
        Presence, PresenceClaim, TargetState, Update,
        budget::Budget,
        crash_reports::{Added, CrashReports},
        dissemination::UpdateQueue,
        health::Health,
        probe::{Probe, Relays},
        suspicion::Suspicion,
        table::Table,
    },
    jujubeline_core::{Incarnation, NodeId, Revision},
    rand::{Rng, seq::IteratorRandom},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between two ticks above which the process counts as paused. No peer is then suspected for answers that may have
/// been missed.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Members of another data centre that are probed next after a probe there failed, to tell a partition from a crash.
const PARTITION_PROBES: usize = 3;

/// Maximum number of updates from one table exchange that are gossiped further. More arise when a partition heals, and
/// then each node exchanges tables itself.
const MAX_GOSSIPED_FROM_TABLE: usize = 64;

/// Members that receive a hint when the node leaves.
const LEAVE_FANOUT: usize = 8;

/// Membership state machine of one node.
///
/// The caller delivers datagrams to [`Membership::receive`], calls [`Membership::tick`] about every 100 ms and sends
/// what the functions return.
#[derive(Debug, Clone)]
pub struct Membership {
    config: Config,
    own: Arc<Member>,
    table: Table,
    update_queue: UpdateQueue,
    crashes: CrashReports,
    budget: Budget,
    health: Health,
    suspicions: BTreeMap<NodeId, Suspicion>,
    /// Members that are unreachable, dead or left, each with the time at which this was recorded.
    lost: BTreeMap<NodeId, Instant>,
    probe: Option<Probe>,
    /// Members that are probed before the next regular one.
    priority_probes: VecDeque<NodeId>,
    relays: Relays,
    /// Sequence of the last datagram that was sent without being an answer.
    sequence: u64,
    /// Counts regular probes from a random start; determines which of them go to another data centre.
    probes: u64,
    next_probe: Instant,
    next_lost_probe: Instant,
    next_gossip: Instant,
    last_tick: Instant,
    /// Whether hints are to be sent at the end of the current call.
    urgent: bool,
    members_refused: u64,
    hints_over_budget: u64,
}

impl Membership {
    /// Creates the membership of a node without other members. `rng` spreads the probes of nodes that start together.
    pub fn new(config: Config, own: Member, now: Instant, rng: &mut impl Rng) -> Self {
        let first = config.probe_period.mul_f64(rng.random());
        let mut update_queue = UpdateQueue::default();
        let own = Arc::new(own);
        update_queue.push(Update::Described(Arc::clone(&own)), now);
        Self {
            table: Table::new(own.data_centre.clone()),
            budget: Budget::new(config.bytes_per_second, now),
            next_probe: now + first,
            // Nodes that start together would otherwise all probe a lost member at the same time.
            next_lost_probe: now + config.lost_probe_period.mul_f64(rng.random()),
            next_gossip: now + config.gossip_period.mul_f64(rng.random()),
            last_tick: now,
            own,
            update_queue,
            crashes: CrashReports::default(),
            health: Health::default(),
            suspicions: BTreeMap::new(),
            lost: BTreeMap::new(),
            probe: None,
            priority_probes: VecDeque::new(),
            relays: Relays::default(),
            sequence: 0,
            // Nodes that start together would otherwise all probe other data centres at the same time.
            probes: rng.random_range(0..config.remote_probe_interval.max(1)),
            urgent: false,
            members_refused: 0,
            hints_over_budget: 0,
            config,
        }
    }

    /// Description of this node, as it is sent to the other members.
    #[must_use]
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// All known members, including this node, sorted by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.table.snapshot().collect();
        members.push(Member::clone(&self.own));
        members.sort_by(|one, other| one.node.cmp(&other.node));
        members
    }

    /// Presence of a member, if it is known.
    #[must_use]
    pub fn presence(&self, node: &str) -> Option<Presence> {
        if *self.own.node == *node {
            return Some(self.own.presence);
        }
        self.table.get(node).map(|record| record.presence)
    }

    /// Description of a member, if it is known.
    #[must_use]
    pub fn description(&self, node: &str) -> Option<&Member> {
        if *self.own.node == *node {
            return Some(&self.own);
        }
        self.table.get(node).map(|record| &*record.member)
    }

    /// Control address of a random member that is alive, for a table exchange; none if no such member was found.
    pub fn random_peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let picked = self.table.pick(1, rng, |_| true);
        picked.first().map(|record| record.member.control_address)
    }

    /// Digest of the table for a table exchange: one hash for each bucket of members.
    #[must_use]
    pub fn digest(&self) -> Vec<u64> {
        self.table.digest(&self.own)
    }

    /// Members in the buckets that differ from the digest of a peer; all members for an empty digest.
    #[must_use]
    pub fn members_differing_from(&self, digest: &[u64]) -> Vec<Member> {
        self.table.differing(&self.own, digest)
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters {
            sent_bytes: self.budget.sent_bytes(),
            updates_waiting: self.update_queue.len(),
            updates_dropped: self.update_queue.dropped(),
            members_refused: self.members_refused,
            relays_refused: self.relays.refused(),
            hints_over_budget: self.hints_over_budget,
            crash_reports_refused: self.crashes.refused(),
            local_health: self.health.score(),
        }
    }

    /// Merges members from the table of a peer, received in a table exchange or in a join.
    pub fn merge(&mut self, members: Vec<Member>, now: Instant, rng: &mut impl Rng) -> Output {
        let mut output = Output::default();
        let joining = self.table.len() == 0;
        let mut applied = Vec::new();
        for member in members {
            let known = self.table.get(&member.node).is_some() || member.node == self.own.node;
            match member.presence {
                // The end of a member matters only if the member is in this node's table.
                Presence::Dead | Presence::Left if !known => {}
                Presence::Dead => {
                    let claim = PresenceClaim {
                        node: member.node,
                        incarnation: member.incarnation,
                        update: member.update,
                        presence: member.presence,
                        reporter: self.own.node.clone(),
                    };
                    self.apply_claim(claim, now, &mut output);
                }
                _ => {
                    let member = Arc::new(member);
                    if self.apply_description(Arc::clone(&member), false, now, &mut output) {
                        applied.push(member);
                    }
                }
            }
        }
        if !joining && applied.len() <= MAX_GOSSIPED_FROM_TABLE {
            for member in applied {
                self.update_queue.push(Update::Described(member), now);
            }
        }
        self.send_urgent_hints(now, rng, &mut output);
        output
    }

    /// Sets the state and slots of the local target in this node's description.
    pub fn set_target(
        &mut self,
        state: TargetState,
        slots: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Output {
        let mut output = Output::default();
        if (self.own.target_state, self.own.slots) == (state, slots) {
            return output;
        }
        self.urgent |= !takes_work(state) && takes_work(self.own.target_state);
        self.update_description(now, |own| {
            own.target_state = state;
            own.slots = slots;
        });
        self.send_urgent_hints(now, rng, &mut output);
        output
    }

    /// Sets whether this node can read the platform. Others watch it in its place as soon as they know that it cannot.
    pub fn set_platform_unreachable(
        &mut self,
        unreachable: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Output {
        let mut output = Output::default();
        if self.own.platform_unreachable == unreachable {
            return output;
        }
        self.urgent |= unreachable;
        self.update_description(now, |own| own.platform_unreachable = unreachable);
        self.send_urgent_hints(now, rng, &mut output);
        output
    }

    /// Sets the catalogue revision in effect, which every datagram carries. This does not update the description:
    /// 16,000 catalogue changes a day at 5,600 nodes would be 1,000 updates a second.
    pub fn set_revision(&mut self, revision: Revision) {
        Arc::make_mut(&mut self.own).catalogue_revision = revision;
    }

    /// Sends hints with the catalogue revision in effect to random members.
    pub fn announce_revision(&mut self, now: Instant, rng: &mut impl Rng) -> Output {
        let mut output = Output::default();
        self.send_hints(self.config.hint_fanout, now, rng, &mut output);
        output
    }

    /// Spreads a crash report of the local target, from the next tick on.
    pub fn report_crash(&mut self, report: CrashReport, now: Instant) {
        self.urgent |= self.crashes.add_report(report, now) != Added::Nothing;
    }

    /// Takes crash reports that were kept outside of the nodes.
    pub fn learn_crashes(&mut self, reports: Vec<CrashReport>, now: Instant) -> Output {
        let mut output = Output::default();
        self.merge_crashes(reports, now, &mut output);
        output
    }

    fn merge_crashes(&mut self, reports: Vec<CrashReport>, now: Instant, output: &mut Output) {
        for report in reports {
            let added = self.crashes.add_report(report, now);
            if added != Added::Nothing {
                output.events.push(MemberEvent::Crash(report));
            }
            self.urgent |= added == Added::Verdict;
        }
    }

    /// Number of reports so far that decided whether a request is quarantined.
    #[must_use]
    pub const fn quarantine_changes(&self) -> u64 {
        self.crashes.verdicts()
    }

    /// All known crash reports.
    #[must_use]
    pub fn crash_reports(&self, now: Instant) -> Vec<CrashReport> {
        self.crashes.all(now)
    }

    /// Sends this node's description to random members at once, after the table of a peer was merged.
    pub fn announce_description(&mut self, now: Instant, rng: &mut impl Rng) -> Output {
        let mut output = Output::default();
        self.update_queue
            .push(Update::Described(Arc::clone(&self.own)), now);
        self.send_hints(self.config.hint_fanout, now, rng, &mut output);
        output
    }

    /// Pings an address whose node is not known. The datagram makes this node known there if it carries this node's
    /// description, which it can only while the description is queued.
    pub fn ping_at(&mut self, address: SocketAddr, now: Instant) -> Output {
        let mut output = Output::default();
        let sequence = self.next_sequence();
        self.send(
            address,
            DatagramKind::Ping,
            sequence,
            None,
            now,
            &mut output,
        );
        output
    }

    /// Pings at most `limit` members whose last known catalogue revision is behind that of this node. Their replies
    /// carry the revision.
    pub fn ping_lagging(&mut self, limit: usize, now: Instant, rng: &mut impl Rng) -> Output {
        let revision = self.own.catalogue_revision;
        let lagging = self.members().into_iter().filter(|member| {
            member.catalogue_revision < revision
                && matches!(member.presence, Presence::Alive | Presence::Suspect)
        });
        let pinged: Vec<SocketAddr> = lagging
            .map(|member| member.control_address)
            .choose_multiple(rng, limit);
        let mut output = Output::default();
        for address in pinged {
            let sequence = self.next_sequence();
            self.send(
                address,
                DatagramKind::Ping,
                sequence,
                None,
                now,
                &mut output,
            );
        }
        output
    }

    /// Announces that the node leaves. This cannot be refuted.
    pub fn leave(&mut self, now: Instant, rng: &mut impl Rng) -> Output {
        let mut output = Output::default();
        self.update_description(now, |own| {
            own.presence = Presence::Left;
            own.target_state = TargetState::Gone;
        });
        self.send_hints(LEAVE_FANOUT, now, rng, &mut output);
        output
    }

    /// Control address that a member declares, if this incarnation of it is known.
    #[must_use]
    pub fn declared_address(&self, node: &str, incarnation: Incarnation) -> Option<SocketAddr> {
        let record = self.table.get(node)?;
        let is_same = record.member.incarnation == incarnation;
        is_same.then_some(record.member.control_address)
    }

    /// Handles a datagram from an address.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        datagram: Datagram,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Output {
        let mut output = Output::default();
        if datagram.sender == self.own.node {
            return output;
        }
        self.table
            .raise_revision(&datagram.sender, datagram.catalogue_revision);
        self.record_reachable(&datagram.sender, now, &mut output);
        let mut own_node_claimed = false;
        for update in datagram.updates {
            match update {
                Update::Described(member) => {
                    self.apply_description(member, true, now, &mut output);
                }
                Update::Claimed(claim) => {
                    own_node_claimed |= claim.node == self.own.node;
                    self.apply_claim(claim, now, &mut output);
                }
            }
        }
        self.merge_crashes(datagram.crashes, now, &mut output);
        let sender = &datagram.sender;
        match datagram.kind {
            DatagramKind::Ping => {
                // A refutation is sent even over budget; otherwise the claim would stay in effect at the sender.
                let refutation = own_node_claimed.then(|| Update::Described(Arc::clone(&self.own)));
                let first = refutation.or_else(|| self.claim_about(sender));
                let sequence = datagram.sequence;
                self.send_with(from, DatagramKind::Ack, sequence, first, now, &mut output);
            }
            DatagramKind::PingReq(target) => {
                self.relay(from, target, datagram.sequence, now, &mut output);
            }
            DatagramKind::Ack => self.handle_ack(sender, datagram.sequence, now, &mut output),
            DatagramKind::Nack => self.handle_nack(sender, datagram.sequence),
            DatagramKind::Hint | DatagramKind::AllowanceAsk(_) | DatagramKind::AllowanceLoan(_) => {
            }
        }
        self.send_urgent_hints(now, rng, &mut output);
        output
    }

    /// Runs the probes, timeouts and gossip that are due.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Output {
        let mut output = Output::default();
        self.detect_pause(now);
        self.advance_probe(now, rng, &mut output);
        if self.probe.is_none() && now >= self.next_probe {
            self.start_probe(now, rng, &mut output);
        }
        if now >= self.next_lost_probe {
            self.next_lost_probe = now + self.config.lost_probe_period;
            self.forget_lost(now, &mut output);
            self.probe_lost(now, rng, &mut output);
        }
        for relay in self.relays.expired(now) {
            let sequence = relay.origin_sequence;
            self.send(
                relay.origin,
                DatagramKind::Nack,
                sequence,
                None,
                now,
                &mut output,
            );
        }
        self.expire_suspicions(now, rng, &mut output);
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_period;
            self.crashes.expire(now);
            let retransmits = self.config.retransmits(self.table.probed_count());
            if self.update_queue.len() > 0 || self.crashes.has_pending(retransmits) {
                self.send_hints(1, now, rng, &mut output);
            }
        }
        self.send_urgent_hints(now, rng, &mut output);
        output
    }

    /// Applies a description. Returns whether it was new.
    fn apply_description(
        &mut self,
        member: Arc<Member>,
        gossip: bool,
        now: Instant,
        output: &mut Output,
    ) -> bool {
        let version = (member.incarnation, member.update);
        if member.node == self.own.node {
            // This node's description is often received back; only a newer one under the same name needs an answer.
            if version > (self.own.incarnation, self.own.update) {
                self.handle_own_name(member.incarnation, member.update, now, output);
            }
            return false;
        }
        let node = member.node.clone();
        let before = self.table.get(&node).cloned();
        match &before {
            Some(record) if version <= (record.member.incarnation, record.member.update) => {
                return false;
            }
            None if self.table.len() >= self.config.max_members => {
                self.members_refused += 1;
                return false;
            }
            _ => {}
        }
        let stopped_before = before
            .as_ref()
            .is_some_and(|record| record.is_gone() || !takes_work(record.member.target_state));
        let could_read = before
            .as_ref()
            .is_some_and(|record| !record.member.platform_unreachable);
        self.table.describe(Arc::clone(&member));
        self.apply_presence(&member, before.as_ref(), now, output);
        if member.control_address == self.own.control_address {
            self.handle_reused_address(&node, now, output);
            return false;
        }
        if gossip {
            let leaves = member.presence == Presence::Left;
            let stops = !takes_work(member.target_state) && !stopped_before;
            let loses_platform = member.platform_unreachable && could_read;
            self.urgent |= before.is_some() && (leaves || stops || loses_platform);
            self.update_queue.push(Update::Described(member), now);
        }
        true
    }

    /// Detects a pause of the process, during which answers may have been missed. The current probe is dropped,
    /// suspicions are prolonged and the local health score rises.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap <= MAX_TICK_GAP {
            return;
        }
        self.health.worsen(1);
        self.probe = None;
        self.relays.clear();
        self.next_probe = now;
        for suspicion in self.suspicions.values_mut() {
            suspicion.started += gap;
        }
    }
}

/// Whether a target in this state receives new work.
const fn takes_work(state: TargetState) -> bool {
    matches!(state, TargetState::Cold | TargetState::Ready)
}
