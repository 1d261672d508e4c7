//! Levels that the calls of the local target meet, by the kind of request that makes them.

use {
    crate::admission::{LearnedLevel, Level},
    jujubeline_core::EntryName,
    std::{collections::HashMap, time::Instant},
};

/// Kinds of requests whose calls are remembered; as many as a gate counts entries for.
const MAX_ENTRIES: usize = 4_096;

/// What a gate knows about the services that its target calls. It decays within a second.
///
/// An entry node learns the same from responses, but one of many entry nodes sends a target a request every few hundred
/// milliseconds, and has forgotten by then. The gate sees the requests of all of them.
#[derive(Debug, Default)]
pub struct CallLevels {
    levels: HashMap<EntryName, LearnedLevel>,
}

impl CallLevels {
    /// Records the lowest level that the calls of a request met.
    pub fn learn(&mut self, entry: &EntryName, level: Level, now: Instant) {
        let learned = LearnedLevel::new(level, now);
        if let Some(known) = self.levels.get_mut(entry) {
            *known = learned;
            return;
        }
        if level == Level::OPEN {
            return;
        }
        if self.levels.len() >= MAX_ENTRIES {
            self.levels.retain(|_, known| known.is_in_effect(now));
        }
        if self.levels.len() < MAX_ENTRIES {
            self.levels.insert(entry.clone(), learned);
        }
    }

    /// The level that the calls of requests of this entry meet.
    #[must_use]
    pub fn level(&self, entry: &EntryName, now: Instant) -> Level {
        self.levels
            .get(entry)
            .map_or(Level::OPEN, |known| known.at(now))
    }
}
