//! Order in which members are probed.

use {jujubeline_core::NodeId, rand::Rng};

/// Members in random order. Each is visited once in a round, as in SWIM, which bounds the time between two probes of
/// the same member.
#[derive(Debug, Clone)]
pub(super) struct Ring {
    nodes: Vec<NodeId>,
    visited: usize,
}

impl Ring {
    pub(super) const fn new() -> Self {
        Self {
            nodes: Vec::new(),
            visited: 0,
        }
    }

    pub(super) fn push(&mut self, node: NodeId) {
        self.nodes.push(node);
    }

    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The next member for which `keep` holds. Others are removed and passed to `removed`.
    pub(super) fn next(
        &mut self,
        rng: &mut impl Rng,
        keep: impl Fn(&NodeId) -> bool,
        mut removed: impl FnMut(&NodeId),
    ) -> Option<NodeId> {
        while !self.nodes.is_empty() {
            if self.visited >= self.nodes.len() {
                self.visited = 0;
            }
            // Shuffles incrementally, so that no call takes time in proportion to the size of the group.
            let picked = rng.random_range(self.visited..self.nodes.len());
            self.nodes.swap(self.visited, picked);
            let node = self.nodes[self.visited].clone();
            if keep(&node) {
                self.visited += 1;
                return Some(node);
            }
            self.nodes.swap_remove(self.visited);
            removed(&node);
        }
        None
    }

    /// A random member; the probe order does not change.
    pub(super) fn random_member(&self, rng: &mut impl Rng) -> Option<&NodeId> {
        if self.nodes.is_empty() {
            return None;
        }
        self.nodes.get(rng.random_range(0..self.nodes.len()))
    }
}
