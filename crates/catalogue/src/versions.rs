//! Versioned values by name, with tombstones of removed ones.

use {
    jujubeline_core::Revision,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Values by name, each with the revision that last changed it. The revision of a name never decreases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Versions<V> {
    values: BTreeMap<Arc<str>, (Revision, V)>,
    removed: BTreeMap<Arc<str>, Revision>,
    removed_by_revision: BTreeSet<(Revision, Arc<str>)>,
    complete_from: Revision,
}

impl<V> Versions<V> {
    /// An empty map whose tombstones are complete for differences that start at this revision or later.
    pub(crate) const fn new(complete_from: Revision) -> Self {
        Self {
            values: BTreeMap::new(),
            removed: BTreeMap::new(),
            removed_by_revision: BTreeSet::new(),
            complete_from,
        }
    }

    /// Earliest revision from which a difference can name all removals.
    pub(crate) const fn complete_from(&self) -> Revision {
        self.complete_from
    }

    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    pub(crate) fn get(&self, name: &str) -> Option<&V> {
        self.values.get(name).map(|(_, value)| value)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &V)> + Clone {
        self.values.iter().map(|(name, (_, value))| (name, value))
    }

    /// Sets a value, unless the name was changed at this or a later revision.
    pub(crate) fn set(&mut self, revision: Revision, name: &Arc<str>, value: V) {
        if revision <= self.changed_at(name) {
            return;
        }
        self.drop_tombstone(name);
        self.values.insert(name.clone(), (revision, value));
    }

    /// Removes a value, unless the name was changed at this or a later revision.
    ///
    /// The tombstone is kept even if there is no value, because a peer at an older revision may have one.
    pub(crate) fn remove(&mut self, revision: Revision, name: &Arc<str>) {
        if revision <= self.changed_at(name) {
            return;
        }
        self.drop_tombstone(name);
        self.values.remove(name);
        self.removed.insert(name.clone(), revision);
        self.removed_by_revision.insert((revision, name.clone()));
    }

    /// Evicts the oldest tombstones while there are more than `max`, and raises [`Self::complete_from`] accordingly.
    pub(crate) fn evict_tombstones(&mut self, max: usize) {
        while self.removed.len() > max {
            let Some((revision, name)) = self.removed_by_revision.pop_first() else {
                return;
            };
            self.removed.remove(&name);
            self.complete_from = revision;
        }
    }

    /// Values that were set after a revision.
    pub(crate) fn set_since(
        &self,
        from: Revision,
    ) -> impl Iterator<Item = (Revision, &Arc<str>, &V)> {
        self.values
            .iter()
            .filter(move |(_, (revision, _))| *revision > from)
            .map(|(name, (revision, value))| (*revision, name, value))
    }

    /// Names that were removed after a revision.
    pub(crate) fn removed_since(&self, from: Revision) -> Vec<(Revision, Arc<str>)> {
        self.removed
            .iter()
            .filter(|(_, revision)| **revision > from)
            .map(|(name, revision)| (*revision, name.clone()))
            .collect()
    }

    fn changed_at(&self, name: &str) -> Revision {
        let set_at = self.values.get(name).map(|(revision, _)| *revision);
        set_at
            .or_else(|| self.removed.get(name).copied())
            .unwrap_or_default()
    }

    fn drop_tombstone(&mut self, name: &Arc<str>) {
        if let Some(revision) = self.removed.remove(name) {
            self.removed_by_revision.remove(&(revision, name.clone()));
        }
    }
}
