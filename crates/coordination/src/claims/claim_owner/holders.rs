//! Interning of gate identities.

use crate::claims::GateId;

/// Gates that records refer to by index, so that a record needs two bytes for its holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Holders(pub(super) Vec<GateId>);

/// Index of a gate for which there is no room; such a gate counts as lost.
pub(super) const NO_HOLDER: u16 = u16::MAX;

impl Holders {
    /// Returns the index of a gate, which is added if it is new, or [`NO_HOLDER`] without room for it.
    pub(super) fn intern(&mut self, gate: &GateId) -> u16 {
        let known = self.0.iter().position(|known| known == gate);
        let index = known.unwrap_or_else(|| {
            if self.0.len() < usize::from(NO_HOLDER) {
                self.0.push(gate.clone());
            }
            self.0.len() - 1
        });
        match self.0.get(index) {
            Some(found) if found == gate => u16::try_from(index).unwrap_or(NO_HOLDER),
            _ => NO_HOLDER,
        }
    }

    pub(super) fn get(&self, index: u16) -> Option<&GateId> {
        self.0.get(usize::from(index))
    }
}
