//! Probes in progress.

use {
    jujubeline_core::NodeId,
    std::{net::SocketAddr, time::Instant},
};

/// Bound on probes in progress on behalf of other nodes.
const MAX_RELAYS: usize = 64;

/// The node's own probe of one member.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) node: NodeId,
    pub(super) sequence: u64,
    /// Time at which indirect probes are sent.
    pub(super) direct_until: Instant,
    /// Time at which the probe has failed.
    pub(super) until: Instant,
    /// Members that were asked for an indirect probe.
    pub(super) helpers: Vec<NodeId>,
    /// Helpers that sent a nack.
    pub(super) nacks: Vec<NodeId>,
}

/// A probe on behalf of another node.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    /// Sequence of the ping to the target.
    pub(super) sequence: u64,
    /// Control address of the node that asked.
    pub(super) origin: SocketAddr,
    /// Sequence of the request.
    pub(super) origin_sequence: u64,
    /// Time at which a nack is sent.
    pub(super) until: Instant,
}

/// Probes on behalf of other nodes, bounded.
#[derive(Debug, Clone, Default)]
pub(super) struct Relays {
    waiting: Vec<Relay>,
    refused: u64,
}

impl Relays {
    /// Adds a relay unless too many are in progress. Returns whether it was added.
    pub(super) fn add(&mut self, relay: Relay) -> bool {
        if self.waiting.len() >= MAX_RELAYS {
            self.refused += 1;
            return false;
        }
        self.waiting.push(relay);
        true
    }

    /// Takes the relay whose ping was answered.
    pub(super) fn answered(&mut self, sequence: u64) -> Option<Relay> {
        let index = self
            .waiting
            .iter()
            .position(|relay| relay.sequence == sequence)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Takes the relays that have timed out.
    pub(super) fn expired(&mut self, now: Instant) -> Vec<Relay> {
        let (expired, waiting) = self.waiting.drain(..).partition(|relay| now >= relay.until);
        self.waiting = waiting;
        expired
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    pub(super) const fn refused(&self) -> u64 {
        self.refused
    }
}
