//! Versioned objects and a bounded history of their changes.

use {
    serde_json::Value,
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum size of a serialised value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of names over all kinds, including deleted objects.
const MAX_NAMES: usize = 65_536;

/// Maximum number of changes in the history, over all kinds. A watch that needs an older change expires.
const MAX_HISTORY: usize = 4_096;

/// Maximum number of versions of one object that are kept for stale reads.
const MAX_VERSIONS_PER_OBJECT: usize = 32;

/// An object at one of its versions.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject {
    /// Name, unique within its kind.
    pub name: String,
    /// Version of the store at which the object last changed.
    pub resource_version: u64,
    /// Value of the object, its `spec` in the API.
    pub value: Value,
}

/// Reason for which the store rejects a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreError {
    AlreadyExists,
    Conflict,
    NotFound,
    TooLarge,
    Full,
    Expired,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    Added,
    Modified,
    Deleted,
}

#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) kind: String,
    pub(super) action: Action,
    pub(super) stored: StoredObject,
}

#[derive(Debug, Clone)]
struct ObjectVersion {
    version: u64,
    /// `None` if the object was deleted at this version.
    value: Option<Value>,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    version: u64,
    /// Version of the newest change that is no longer in the history.
    compacted_version: u64,
    objects: BTreeMap<String, BTreeMap<String, VecDeque<ObjectVersion>>>,
    /// Number of names in `objects`, deleted objects included.
    name_count: usize,
    history: VecDeque<Change>,
}

impl Store {
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the object as it was at a version.
    pub(super) fn get(&self, kind: &str, name: &str, at: u64) -> Option<StoredObject> {
        let versions = self.objects.get(kind)?.get(name)?;
        Self::at(name, versions, at)
    }

    /// Returns the objects of a kind as they were at a version, in order of name.
    pub(super) fn list(&self, kind: &str, at: u64) -> Vec<StoredObject> {
        let Some(objects) = self.objects.get(kind) else {
            return Vec::new();
        };
        objects
            .iter()
            .filter_map(|(name, versions)| Self::at(name, versions, at))
            .collect()
    }

    pub(super) fn create(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
    ) -> Result<StoredObject, StoreError> {
        if self.get(kind, name, self.version).is_some() {
            return Err(StoreError::AlreadyExists);
        }
        if self.name_count >= MAX_NAMES {
            self.purge_deleted();
        }
        if self.name_count >= MAX_NAMES {
            return Err(StoreError::Full);
        }
        self.set(kind, name, value, Action::Added)
    }

    pub(super) fn update(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        value: Value,
    ) -> Result<StoredObject, StoreError> {
        self.expect(kind, name, expected)?;
        self.set(kind, name, value, Action::Modified)
    }

    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<StoredObject, StoreError> {
        let old = self.expect(kind, name, expected)?;
        Ok(self.record(kind, name, old.value, Action::Deleted))
    }

    /// Returns all changes of a kind after a version, or `Expired` if the history does not reach back to it.
    pub(super) fn changes_after(&self, kind: &str, from: u64) -> Result<Vec<Change>, StoreError> {
        // After a restore, a watch may start from a version that does not exist.
        if from < self.compacted_version || from > self.version {
            return Err(StoreError::Expired);
        }
        let start = self
            .history
            .partition_point(|change| change.stored.resource_version <= from);
        Ok(self
            .history
            .range(start..)
            .filter(|change| change.kind == kind)
            .cloned()
            .collect())
    }

    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        self.compacted_version = self.version;
    }

    /// Removes deleted objects, which are kept only for stale reads.
    fn purge_deleted(&mut self) {
        self.name_count = 0;
        for objects in self.objects.values_mut() {
            objects.retain(|_, versions| versions.back().is_some_and(|last| last.value.is_some()));
            self.name_count += objects.len();
        }
    }

    fn at(name: &str, versions: &VecDeque<ObjectVersion>, at: u64) -> Option<StoredObject> {
        let old = versions.iter().rev().find(|old| old.version <= at)?;
        let value = old.value.clone()?;
        Some(StoredObject {
            name: name.to_owned(),
            resource_version: old.version,
            value,
        })
    }

    /// Returns the current object if it has the expected version; without one, any version matches.
    fn expect(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<StoredObject, StoreError> {
        let Some(old) = self.get(kind, name, self.version) else {
            return Err(StoreError::NotFound);
        };
        if expected.is_some_and(|expected| expected != old.resource_version) {
            return Err(StoreError::Conflict);
        }
        Ok(old)
    }

    fn set(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        action: Action,
    ) -> Result<StoredObject, StoreError> {
        if value.to_string().len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        Ok(self.record(kind, name, value, action))
    }

    fn record(&mut self, kind: &str, name: &str, value: Value, action: Action) -> StoredObject {
        self.version += 1;
        let versions = self
            .objects
            .entry(kind.to_owned())
            .or_default()
            .entry(name.to_owned())
            .or_insert_with(|| {
                self.name_count += 1;
                VecDeque::new()
            });
        versions.push_back(ObjectVersion {
            version: self.version,
            value: (action != Action::Deleted).then(|| value.clone()),
        });
        if versions.len() > MAX_VERSIONS_PER_OBJECT {
            versions.pop_front();
        }
        let stored = StoredObject {
            name: name.to_owned(),
            resource_version: self.version,
            value,
        };
        self.history.push_back(Change {
            kind: kind.to_owned(),
            action,
            stored: stored.clone(),
        });
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_version = oldest.stored.resource_version;
        }
        stored
    }
}
