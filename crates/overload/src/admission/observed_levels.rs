//! Admission levels that an entry node takes from responses.

use {
    crate::admission::{Level, observed_level::ObservedLevel},
    jujubeline_core::{Class, EntryName, NodeId, RootId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Capacity of the table: about 800 entries with a subset of 20 targets each.
const MAX_LEVELS: usize = 16_384;
/// Shortest time between two scans of a full table for decayed levels. A scan on each response took 130 µs.
const FULL_SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Admission levels by catalogue entry and target, for entry nodes. Each level decays within a second.
///
/// The level in a response also covers the calls that the target made for the request. It therefore applies only to the
/// same kind of request: another kind may not call the overloaded service.
#[derive(Debug, Default)]
pub struct ObservedLevels {
    levels: HashMap<EntryName, HashMap<NodeId, ObservedLevel>>,
    len: usize,
    /// Time of the last [`ObservedLevels::expire`].
    expired: Option<Instant>,
    refused: u64,
}

impl ObservedLevels {
    /// Creates an empty table, which admits every request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the level in the response of a target's gate to a request of this entry.
    pub fn record_response_level(
        &mut self,
        entry: &EntryName,
        target: &NodeId,
        level: Level,
        now: Instant,
    ) {
        if let Some(known) = self.observed_mut(entry, target) {
            *known = ObservedLevel::new(level, now);
            return;
        }
        self.insert(entry, target, level, now);
    }

    /// Records the level of a gate that refused the request. The refused request made no calls, so this level covers
    /// calls only as far as the gate knows them from earlier requests. It can lower the recorded level but not raise
    /// it.
    pub fn record_refusal_level(
        &mut self,
        entry: &EntryName,
        target: &NodeId,
        level: Level,
        now: Instant,
    ) {
        if let Some(known) = self.observed_mut(entry, target) {
            if level < known.at(now) {
                *known = ObservedLevel::new(level, now);
            }
            return;
        }
        self.insert(entry, target, level, now);
    }

    /// Decayed level of a target for an entry; open when none is recorded.
    #[must_use]
    pub fn level(&self, entry: &EntryName, target: &NodeId, now: Instant) -> Level {
        let observed = self.levels.get(entry).and_then(|levels| levels.get(target));
        observed.map_or(Level::OPEN, |observed| observed.at(now))
    }

    /// Lowest decayed level of a target over all entries.
    #[must_use]
    pub fn lowest(&self, target: &NodeId, now: Instant) -> Level {
        let observed = self.levels.values().filter_map(|levels| levels.get(target));
        let levels = observed.map(|observed| observed.at(now));
        levels.min().unwrap_or(Level::OPEN)
    }

    /// Highest level of the targets for an entry: at least one of them probably admits the requests below it. Upstream
    /// nodes refuse call chains by this level, so that one overloaded target does not exclude work that other targets
    /// can do.
    #[must_use]
    pub fn highest<'a>(
        &self,
        entry: &EntryName,
        targets: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> Level {
        let Some(levels) = self.levels.get(entry) else {
            return Level::OPEN;
        };
        let level = |target| {
            let observed: Option<&ObservedLevel> = levels.get(target);
            observed.map_or(Level::OPEN, |observed| observed.at(now))
        };
        targets.map(level).max().unwrap_or(Level::OPEN)
    }

    /// Whether the target's gate would probably admit the request. A request that runs at most once must not be refused
    /// for this reason.
    #[must_use]
    pub fn admits(
        &self,
        entry: &EntryName,
        target: &NodeId,
        class: Class,
        root: RootId,
        now: Instant,
    ) -> bool {
        self.level(entry, target, now).admits(class, root)
    }

    /// Removes the levels that have decayed completely. To be called about once a second.
    pub fn expire(&mut self, now: Instant) {
        self.expired = Some(now);
        self.levels.retain(|_, levels| {
            levels.retain(|_, observed| observed.is_in_effect(now));
            !levels.is_empty()
        });
        self.len = self.levels.values().map(HashMap::len).sum();
    }

    /// Number of recorded levels.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no level is recorded.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Total number of levels that were not recorded because the table was full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    fn observed_mut(&mut self, entry: &EntryName, target: &NodeId) -> Option<&mut ObservedLevel> {
        self.levels.get_mut(entry)?.get_mut(target)
    }

    fn insert(&mut self, entry: &EntryName, target: &NodeId, level: Level, now: Instant) {
        if level == Level::OPEN {
            return;
        }
        let searched_recently = self
            .expired
            .is_some_and(|at| now.saturating_duration_since(at) < FULL_SCAN_INTERVAL);
        if self.len >= MAX_LEVELS && !searched_recently {
            self.expire(now);
        }
        if self.len >= MAX_LEVELS {
            self.refused += 1;
            return;
        }
        let levels = self.levels.entry(entry.clone()).or_default();
        levels.insert(target.clone(), ObservedLevel::new(level, now));
        self.len += 1;
    }
}
