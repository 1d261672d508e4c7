//! Datagrams with piggybacked updates.

use {
    super::Membership,
    crate::membership::{
        DATAGRAM_OVERHEAD_BYTES, Datagram, DatagramKind, MAX_DATAGRAM_BYTES, Output, Presence,
        PresenceClaim, Update,
    },
    jujubeline_core::NodeId,
    rand::Rng,
    std::{net::SocketAddr, time::Instant},
};

impl Membership {
    /// Sends hints at once when a target stopped accepting work, so that nodes that use it are informed within a
    /// second.
    pub(super) fn send_urgent_hints(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        output: &mut Output,
    ) {
        if std::mem::take(&mut self.urgent) {
            self.send_hints(self.config.hint_fanout, now, rng, output);
        }
    }

    pub(super) fn send_hints(
        &mut self,
        fanout: usize,
        now: Instant,
        rng: &mut impl Rng,
        output: &mut Output,
    ) {
        let peers: Vec<(NodeId, SocketAddr)> = self
            .table
            .pick(fanout, rng, |_| true)
            .into_iter()
            .map(|record| (record.member.node.clone(), record.member.control_address))
            .collect();
        for (node, address) in peers {
            if self.budget.available(now) == 0 {
                self.hints_over_budget += 1;
                continue;
            }
            let sequence = self.next_sequence();
            self.send(
                address,
                DatagramKind::Hint,
                sequence,
                Some(&node),
                now,
                output,
            );
        }
    }

    /// Sends a datagram. If the receiver is recorded as suspect or dead, the datagram carries this claim.
    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        kind: DatagramKind,
        sequence: u64,
        receiver: Option<&NodeId>,
        now: Instant,
        output: &mut Output,
    ) {
        let first = receiver.and_then(|node| self.claim_about(node));
        self.send_with(address, kind, sequence, first, now, output);
    }

    /// Sends a datagram with `first`, if there is one, even over budget, and with as many other updates and crash
    /// reports as the size limit and byte budget permit.
    pub(super) fn send_with(
        &mut self,
        address: SocketAddr,
        kind: DatagramKind,
        sequence: u64,
        first: Option<Update>,
        now: Instant,
        output: &mut Output,
    ) {
        let mut datagram = Datagram {
            sender: self.own.node.clone(),
            incarnation: self.own.incarnation,
            catalogue_revision: self.own.catalogue_revision,
            sequence,
            kind,
            updates: first.into_iter().collect(),
            crashes: Vec::new(),
        };
        let base = datagram.max_bytes();
        let room = MAX_DATAGRAM_BYTES.min(self.budget.available(now));
        let retransmits = self.config.retransmits(self.table.probed_count());
        let for_updates = room.saturating_sub(base + self.crashes.reserved_bytes());
        let updates = self.update_queue.take(for_updates, retransmits, now);
        datagram.updates.extend(updates);
        let room = room.saturating_sub(datagram.max_bytes());
        datagram.crashes = self.crashes.take(room, retransmits, now);
        self.budget
            .spend(datagram.max_bytes() + DATAGRAM_OVERHEAD_BYTES);
        output.datagrams.push((address, datagram));
    }

    /// The claim that a node is suspect or dead, if it is recorded so. It is sent to the node itself, which refutes it.
    pub(super) fn claim_about(&self, node: &NodeId) -> Option<Update> {
        let record = self.table.get(node)?;
        let presence = match record.presence {
            Presence::Suspect | Presence::Dead => record.presence,
            Presence::Alive | Presence::Unreachable | Presence::Left => return None,
        };
        Some(Update::Claimed(PresenceClaim {
            node: node.clone(),
            incarnation: record.member.incarnation,
            update: record.presence_update,
            presence,
            reporter: self.own.node.clone(),
        }))
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
