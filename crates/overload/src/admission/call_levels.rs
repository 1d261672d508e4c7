//! Admission levels that apply to the calls of the local target, by the kind of request that makes them.

use {
    crate::admission::{Level, ObservedLevel},
    jujubeline_core::EntryName,
    std::{collections::HashMap, time::Instant},
};

/// Capacity of the table, the same number of entries as in [`EntryLimit`](crate::EntryLimit).
const MAX_ENTRIES: usize = 16_384;

/// Admission levels of the services that the local target calls, by catalogue entry. Each level decays within a second.
///
/// Entry nodes take the same levels from responses. But with many entry nodes, each one sends a request to a target
/// only every few hundred milliseconds, and the level has begun to decay by then. The gate receives the requests of all
/// of them.
#[derive(Debug, Default)]
pub struct CallLevels {
    levels: HashMap<EntryName, ObservedLevel>,
}

impl CallLevels {
    /// Records the lowest level in the responses to the calls of a request.
    pub fn record_call(&mut self, entry: &EntryName, level: Level, now: Instant) {
        let observed = ObservedLevel::new(level, now);
        if let Some(known) = self.levels.get_mut(entry) {
            *known = observed;
            return;
        }
        if level == Level::OPEN {
            return;
        }
        if self.levels.len() >= MAX_ENTRIES {
            self.levels.retain(|_, known| known.is_in_effect(now));
        }
        if self.levels.len() < MAX_ENTRIES {
            self.levels.insert(entry.clone(), observed);
        }
    }

    /// Decayed level that applies to the calls of requests of this entry; open when none is recorded.
    #[must_use]
    pub fn level(&self, entry: &EntryName, now: Instant) -> Level {
        self.levels
            .get(entry)
            .map_or(Level::OPEN, |known| known.at(now))
    }
}
