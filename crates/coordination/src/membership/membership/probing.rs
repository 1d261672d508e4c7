//! Direct and indirect probes.

use {
    super::{Membership, PARTITION_PROBES},
    crate::membership::{
        DatagramKind, Output, Presence, PresenceClaim,
        probe::{Probe, Relay},
    },
    jujubeline_core::{DataCentre, NodeId},
    rand::{Rng, seq::IndexedRandom},
    std::{collections::BTreeMap, net::SocketAddr, time::Instant},
};

impl Membership {
    pub(super) fn start_probe(&mut self, now: Instant, rng: &mut impl Rng, output: &mut Output) {
        self.next_probe = now + self.health.scaled(self.config.probe_period);
        let Some(node) = self.next_probed_member(rng) else {
            return;
        };
        let Some(record) = self.table.get(&node) else {
            return;
        };
        let address = record.member.control_address;
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            node: node.clone(),
            sequence,
            direct_until: now + self.health.scaled(self.config.direct_timeout),
            until: self.next_probe,
            helpers: Vec::new(),
            nacks: Vec::new(),
        });
        self.send(
            address,
            DatagramKind::Ping,
            sequence,
            Some(&node),
            now,
            output,
        );
    }

    pub(super) fn next_probed_member(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        while let Some(node) = self.priority_probes.pop_front() {
            let record = self.table.get(&node);
            if record.is_some_and(|record| record.presence == Presence::Alive) {
                return Some(node);
            }
        }
        self.probes += 1;
        let remote = self
            .probes
            .is_multiple_of(self.config.remote_probe_interval);
        self.table.next_probe(remote, rng)
    }

    pub(super) fn advance_probe(&mut self, now: Instant, rng: &mut impl Rng, output: &mut Output) {
        let Some(probe) = &self.probe else {
            return;
        };
        if now >= probe.until {
            if let Some(probe) = self.probe.take() {
                self.probe_failed(&probe, now, rng, output);
            }
        } else if now >= probe.direct_until && probe.helpers.is_empty() {
            self.ask_helpers(now, rng, output);
        }
    }

    pub(super) fn ask_helpers(&mut self, now: Instant, rng: &mut impl Rng, output: &mut Output) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        if let Some(target) = self.table.get(&probe.node) {
            let target = target.member.control_address;
            let helpers: Vec<(NodeId, SocketAddr)> = self
                .table
                .pick(self.config.indirect_probes, rng, |record| {
                    record.member.node != probe.node
                })
                .into_iter()
                .map(|helper| (helper.member.node.clone(), helper.member.control_address))
                .collect();
            for (node, address) in helpers {
                let kind = DatagramKind::PingReq(target);
                self.send(address, kind, probe.sequence, Some(&node), now, output);
                probe.helpers.push(node);
            }
        }
        // Without helpers the probe fails at the end of the period, unless the direct ack still arrives.
        if probe.helpers.is_empty() {
            probe.direct_until = probe.until;
        }
        self.probe = Some(probe);
    }

    pub(super) fn probe_failed(
        &mut self,
        probe: &Probe,
        now: Instant,
        rng: &mut impl Rng,
        output: &mut Output,
    ) {
        let missed = probe.helpers.len() - probe.nacks.len();
        self.health.worsen(if probe.helpers.is_empty() {
            1
        } else {
            u32::try_from(missed).unwrap_or(u32::MAX)
        });
        let Some(record) = self.table.get(&probe.node) else {
            return;
        };
        let data_centre = record.member.data_centre.clone();
        let claim = PresenceClaim {
            node: probe.node.clone(),
            incarnation: record.member.incarnation,
            update: record.presence_update.max(record.member.update),
            presence: Presence::Suspect,
            reporter: self.own.node.clone(),
        };
        self.apply_claim(claim, now, output);
        if data_centre != self.own.data_centre {
            self.check_data_centre(&data_centre, rng);
        }
    }

    /// Schedules probes of more members of a data centre. Only one regular probe in ten goes to another data centre,
    /// and with these alone it would take long to tell a partition from a crash.
    pub(super) fn check_data_centre(&mut self, data_centre: &DataCentre, rng: &mut impl Rng) {
        if !self.priority_probes.is_empty() {
            return;
        }
        let alive = self.table.in_data_centre(data_centre, Presence::Alive);
        self.priority_probes
            .extend(alive.choose_multiple(rng, PARTITION_PROBES).cloned());
    }

    pub(super) fn handle_ack(
        &mut self,
        sender: &NodeId,
        sequence: u64,
        now: Instant,
        output: &mut Output,
    ) {
        let own = self.probe.as_ref().is_some_and(|probe| {
            probe.sequence == sequence && (probe.node == *sender || probe.helpers.contains(sender))
        });
        if own {
            self.probe = None;
            self.health.improve();
            return;
        }
        let answered_by_other = self.probe.take_if(|probe| probe.sequence == sequence);
        if let Some(probe) = answered_by_other {
            self.health.improve();
            self.handle_reused_address(&probe.node, now, output);
            return;
        }
        if let Some(relay) = self.relays.answered(sequence) {
            let sequence = relay.origin_sequence;
            self.send(relay.origin, DatagramKind::Ack, sequence, None, now, output);
        }
    }

    pub(super) fn handle_nack(&mut self, sender: &NodeId, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
            && probe.helpers.contains(sender)
            && !probe.nacks.contains(sender)
        {
            probe.nacks.push(sender.clone());
        }
    }

    pub(super) fn relay(
        &mut self,
        origin: SocketAddr,
        target: SocketAddr,
        origin_sequence: u64,
        now: Instant,
        output: &mut Output,
    ) {
        let sequence = self.next_sequence();
        let added = self.relays.add(Relay {
            sequence,
            origin,
            origin_sequence,
            until: now + self.config.direct_timeout,
        });
        if added {
            self.send(target, DatagramKind::Ping, sequence, None, now, output);
        }
    }

    /// Pings one lost member of each data centre that has any: one that is unreachable, dead, suspected by this node or
    /// left recently. This way both sides of a healed partition find each other, and a restarted node is found.
    pub(super) fn probe_lost(&mut self, now: Instant, rng: &mut impl Rng, output: &mut Output) {
        let suspects = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.own)
            .map(|(node, _)| node);
        let mut lost: BTreeMap<&DataCentre, Vec<(&NodeId, SocketAddr)>> = BTreeMap::new();
        // Random, so that a member that left receives about the same number of pings in a group of any size.
        let members = u32::try_from(self.table.probed_count() + 1).unwrap_or(u32::MAX);
        let share = f64::from(self.config.left_probers) / f64::from(members);
        let is_prober = rng.random_bool(share.min(1.0));
        let left_probe_duration = self.config.left_probe_duration;
        let lost_nodes = self.lost.iter().filter(|(node, since)| {
            let presence = self.table.get(node).map(|record| record.presence);
            let left_recently = now.saturating_duration_since(**since) < left_probe_duration;
            presence != Some(Presence::Left) || (is_prober && left_recently)
        });
        for node in lost_nodes.map(|(node, _)| node).chain(suspects) {
            if let Some(record) = self.table.get(node) {
                let address = record.member.control_address;
                let group = lost.entry(&record.member.data_centre).or_default();
                group.push((node, address));
            }
        }
        let picked: Vec<(NodeId, SocketAddr)> = lost
            .values()
            .filter_map(|group| group.choose(rng))
            .map(|(node, address)| (NodeId::clone(node), *address))
            .collect();
        self.ping_all(&picked, now, output);
    }

    /// Pings members outside the regular probes; a member that does not answer is not suspected.
    pub(super) fn ping_all(
        &mut self,
        members: &[(NodeId, SocketAddr)],
        now: Instant,
        output: &mut Output,
    ) {
        for (node, address) in members {
            let sequence = self.next_sequence();
            self.send(
                *address,
                DatagramKind::Ping,
                sequence,
                Some(node),
                now,
                output,
            );
        }
    }
}
