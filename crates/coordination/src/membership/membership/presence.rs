//! Changes of presence: suspicion, death, return and refutation.

use {
    super::Membership,
    crate::membership::{
        Member, MemberEvent, Output, Presence, PresenceClaim, Update,
        suspicion::{FinalPing, Suspicion},
        table::Record,
    },
    jujubeline_core::{Incarnation, NodeId},
    rand::Rng,
    std::{sync::Arc, time::Instant},
};

impl Membership {
    /// Sets the presence that follows from a newer description.
    pub(super) fn apply_presence(
        &mut self,
        member: &Member,
        before: Option<&Record>,
        now: Instant,
        output: &mut Output,
    ) {
        let node = &member.node;
        if member.presence == Presence::Left {
            self.end_suspicion(node);
            self.mark_lost(node, Presence::Left, member.update, now);
            output.events.push(MemberEvent::Left(node.clone()));
            return;
        }
        let Some(before) = before else {
            output.events.push(MemberEvent::Joined(node.clone()));
            return;
        };
        let same_process = before.member.incarnation == member.incarnation;
        let claim_stands = same_process && before.presence_update >= member.update;
        if claim_stands && before.presence != Presence::Alive {
            return;
        }
        self.table
            .set_presence(node, Presence::Alive, member.update);
        self.end_suspicion(node);
        self.lost.remove(node);
        output.events.push(if before.is_gone() {
            MemberEvent::Joined(node.clone())
        } else if before.presence == Presence::Alive {
            MemberEvent::Changed(node.clone())
        } else {
            MemberEvent::Returned(node.clone())
        });
    }

    /// Applies a claim about the presence of a member.
    pub(super) fn apply_claim(&mut self, claim: PresenceClaim, now: Instant, output: &mut Output) {
        if claim.node == self.own.node {
            self.handle_own_name(claim.incarnation, claim.update, now, output);
            return;
        }
        let Some(record) = self.table.get(&claim.node) else {
            return;
        };
        let stale = claim.incarnation != record.member.incarnation
            || claim.update < record.presence_update.max(record.member.update);
        if stale || record.is_gone() {
            return;
        }
        match claim.presence {
            Presence::Suspect => self.apply_suspect_claim(claim, now, output),
            Presence::Dead => self.apply_dead_claim(claim, now, output),
            // Members announce their departure themselves, and each node determines on its own what it cannot reach.
            Presence::Alive | Presence::Unreachable | Presence::Left => {}
        }
    }

    pub(super) fn apply_suspect_claim(
        &mut self,
        claim: PresenceClaim,
        now: Instant,
        output: &mut Output,
    ) {
        let Some(record) = self.table.get(&claim.node) else {
            return;
        };
        let data_centre = &record.member.data_centre;
        if claim.reporter != self.own.node && self.table.silence_ended_recently(data_centre, now) {
            return;
        }
        match record.presence {
            Presence::Alive => self.suspect(claim, now, output),
            Presence::Suspect => {
                let confirmed = self
                    .suspicions
                    .get_mut(&claim.node)
                    .is_some_and(|suspicion| suspicion.confirm(&claim.reporter));
                if confirmed {
                    self.update_queue.push(Update::Claimed(claim), now);
                }
            }
            _ => {}
        }
    }

    pub(super) fn apply_dead_claim(
        &mut self,
        claim: PresenceClaim,
        now: Instant,
        output: &mut Output,
    ) {
        let Some(record) = self.table.get(&claim.node) else {
            return;
        };
        // During a correlated failure a death cannot be told from a partition, so claims of deaths are ignored.
        let unreachable = record.presence == Presence::Unreachable;
        if unreachable || self.table.is_correlated(&record.member.data_centre) {
            return;
        }
        self.declare_dead(claim, now, output);
    }

    /// Starts a suspicion. If it completes a correlated failure, the suspects of the data centre become unreachable.
    pub(super) fn suspect(&mut self, claim: PresenceClaim, now: Instant, output: &mut Output) {
        let node = claim.node.clone();
        let Some(record) = self.table.get(&node) else {
            return;
        };
        let data_centre = record.member.data_centre.clone();
        let members = self.table.probed_count() + 1;
        let reporter = claim.reporter.clone();
        let own = reporter == self.own.node;
        let suspicion = Suspicion::new(&self.config, members, reporter, own, now);
        self.table
            .set_presence(&node, Presence::Suspect, claim.update);
        self.suspicions.insert(node.clone(), suspicion);
        self.update_queue.push(Update::Claimed(claim), now);
        output.events.push(MemberEvent::Suspected(node));
        if self.table.is_correlated(&data_centre) {
            self.set_unreachable(&data_centre, now, output);
        }
    }

    /// Marks the suspects of a data centre as unreachable, which keeps them from being declared dead.
    pub(super) fn set_unreachable(&mut self, data_centre: &str, now: Instant, output: &mut Output) {
        for node in self.table.in_data_centre(data_centre, Presence::Suspect) {
            let update = self.presence_update(&node);
            self.end_suspicion(&node);
            self.mark_lost(&node, Presence::Unreachable, update, now);
            output.events.push(MemberEvent::Unreachable(node));
        }
    }

    /// Records a datagram from the sender's data centre. After a silence of the whole data centre, suspicions there say
    /// nothing about a single member: all its members return, which needs no update for each of them, and claims that
    /// other nodes made during the silence are ignored for a while. Members that have really died are found by the
    /// nodes of their own data centre and by the next probes.
    pub(super) fn record_reachable(&mut self, sender: &NodeId, now: Instant, output: &mut Output) {
        let Some(record) = self.table.get(sender) else {
            return;
        };
        let data_centre = record.member.data_centre.clone();
        let unreachable = record.presence == Presence::Unreachable;
        let silent = self
            .table
            .record_datagram(&data_centre, self.config.probe_period, now);
        if !(unreachable || silent && self.table.any_lost(&data_centre)) {
            return;
        }
        for presence in [Presence::Suspect, Presence::Unreachable] {
            for node in self.table.in_data_centre(&data_centre, presence) {
                let update = self.presence_update(&node);
                self.end_suspicion(&node);
                self.table.set_presence(&node, Presence::Alive, update);
                self.lost.remove(&node);
                output.events.push(MemberEvent::Returned(node));
            }
        }
    }

    /// Declares a member dead whose control address now belongs to another node.
    ///
    /// Missing answers to probes cannot show this, because the other node answers them. Traffic for the member would go
    /// to the other node for as long as that node runs.
    pub(super) fn handle_reused_address(
        &mut self,
        node: &NodeId,
        now: Instant,
        output: &mut Output,
    ) {
        let Some(record) = self.table.get(node) else {
            return;
        };
        if record.is_gone() {
            return;
        }
        let claim = PresenceClaim {
            node: node.clone(),
            incarnation: record.member.incarnation,
            update: record.presence_update.max(record.member.update),
            presence: Presence::Dead,
            reporter: self.own.node.clone(),
        };
        self.urgent = true;
        self.declare_dead(claim, now, output);
    }

    pub(super) fn declare_dead(&mut self, claim: PresenceClaim, now: Instant, output: &mut Output) {
        self.end_suspicion(&claim.node);
        self.mark_lost(&claim.node, Presence::Dead, claim.update, now);
        output.events.push(MemberEvent::Died(claim.node.clone()));
        self.update_queue.push(Update::Claimed(claim), now);
    }

    pub(super) fn mark_lost(
        &mut self,
        node: &NodeId,
        presence: Presence,
        update: u64,
        now: Instant,
    ) {
        self.table.set_presence(node, presence, update);
        self.lost.insert(node.clone(), now);
    }

    pub(super) fn end_suspicion(&mut self, node: &NodeId) {
        if self.suspicions.remove(node).is_some() {
            self.update_queue.remove_claims(node);
        }
    }

    /// Refutes a claim about this node, or raises this node's incarnation above one that was received under its name.
    pub(super) fn handle_own_name(
        &mut self,
        incarnation: Incarnation,
        update: u64,
        now: Instant,
        output: &mut Output,
    ) {
        let own = (self.own.incarnation, self.own.update);
        if (incarnation, update) < own || self.own.presence == Presence::Left {
            // The sender lacks the present description, which may no longer be queued.
            self.update_queue
                .push(Update::Described(Arc::clone(&self.own)), now);
            return;
        }
        if incarnation > self.own.incarnation {
            self.update_description(now, |own| own.incarnation = incarnation + 1);
        } else {
            self.update_description(now, |own| own.update = update);
        }
        self.health.worsen(1);
        output.events.push(MemberEvent::Refuted);
    }

    pub(super) fn update_description(&mut self, now: Instant, change: impl FnOnce(&mut Member)) {
        let own = Arc::make_mut(&mut self.own);
        change(own);
        own.update += 1;
        self.update_queue
            .push(Update::Described(Arc::clone(&self.own)), now);
    }

    pub(super) fn presence_update(&self, node: &str) -> u64 {
        self.table
            .get(node)
            .map_or(0, |record| record.presence_update)
    }

    /// Declares suspects dead whose suspicion has timed out and that do not answer the final pings.
    pub(super) fn expire_suspicions(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        output: &mut Output,
    ) {
        let due: Vec<NodeId> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| now >= suspicion.deadline())
            .map(|(node, _)| node.clone())
            .collect();
        for node in due {
            let Some(record) = self.table.get(&node).cloned() else {
                self.suspicions.remove(&node);
                continue;
            };
            let data_centre = &record.member.data_centre;
            // Not scaled by local health: a node with a high score must not take old datagrams for recent ones.
            let period = self.config.probe_period;
            if self.table.may_be_partitioned(data_centre, period, now) {
                // Other members there answer, or they become suspect and complete a correlated failure.
                self.check_data_centre(data_centre, rng);
                continue;
            }
            let Some(suspicion) = self.suspicions.get_mut(&node) else {
                continue;
            };
            match suspicion.final_ping(self.config.direct_timeout, now) {
                FinalPing::Await => {}
                FinalPing::Send => {
                    let address = record.member.control_address;
                    self.ping_all(&[(node, address)], now, output);
                }
                FinalPing::Unanswered => {
                    let claim = PresenceClaim {
                        node,
                        incarnation: record.member.incarnation,
                        update: record.presence_update,
                        presence: Presence::Dead,
                        reporter: self.own.node.clone(),
                    };
                    self.declare_dead(claim, now, output);
                }
            }
        }
    }

    pub(super) fn forget_lost(&mut self, now: Instant, output: &mut Output) {
        let keep = self.config.lost_retention;
        let over: Vec<NodeId> = self
            .lost
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= keep)
            .map(|(node, _)| node.clone())
            .collect();
        for node in over {
            self.lost.remove(&node);
            let presence = self.table.get(&node).map(|record| record.presence);
            self.table.remove(&node);
            if presence == Some(Presence::Unreachable) {
                output.events.push(MemberEvent::Died(node));
            }
        }
    }
}
