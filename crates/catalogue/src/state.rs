//! The catalogue in effect on a node.

use {
    crate::{Catalogue, Change, Edit, Entry, check, is_valid_name, versions::Versions},
    derive_more::{Display, Error},
    jujubeline_core::{EntryName, NodeId, Revision},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashSet, VecDeque},
        sync::Arc,
    },
};

/// Names of removed entries, and of reinstated instances, that are remembered so that a difference can name them.
const MAX_TOMBSTONES: usize = 1_024;

/// Revisions that were in effect and are remembered. A node that is further behind gets the whole state.
const MAX_HELD: usize = 64;

/// Entries that a node accepts.
pub const MAX_ENTRIES: usize = 4_096;

/// Retired instances that a node accepts.
pub const MAX_RETIRED: usize = 16_384;

/// Why a change or difference was not applied. The state in effect stays as it was.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StateError {
    /// The revision is not higher than the one in effect.
    #[display("revision {offered} is not higher than revision {in_effect} in effect")]
    NotNewer {
        /// Revision offered.
        offered: Revision,
        /// Revision in effect.
        in_effect: Revision,
    },
    /// Changes between the one in effect and the one offered are missing, or the offer does not start at it.
    #[display("revision {offered} does not follow revision {in_effect} in effect")]
    Gap {
        /// Revision offered.
        offered: Revision,
        /// Revision in effect.
        in_effect: Revision,
    },
    /// The result would have too many entries or retired instances.
    #[display(
        "revision {offered} would bring more than {MAX_ENTRIES} entries or {MAX_RETIRED} retired instances"
    )]
    TooMany {
        /// Revision offered.
        offered: Revision,
    },
    /// The offer contradicts itself or breaks a rule of the catalogue.
    #[display("revision {offered} is invalid: {detail}")]
    Invalid {
        /// Revision offered.
        offered: Revision,
        /// The rule that is broken.
        detail: String,
    },
}

/// What a node with an older revision lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Revision that the difference starts from; 0 stands for the whole state.
    pub from: Revision,
    /// Revision that it leads to.
    pub to: Revision,
    /// Entries set since, each with the revision that last changed it.
    pub set: Vec<(Revision, Entry)>,
    /// Entries removed since, each with the revision that removed it.
    pub removed: Vec<(Revision, EntryName)>,
    /// Instances retired since, each with the revision that retired it.
    #[serde(default)]
    pub retired: Vec<(Revision, NodeId)>,
    /// Instances reinstated since, each with the revision that reinstated it.
    #[serde(default)]
    pub reinstated: Vec<(Revision, NodeId)>,
}

/// Entries and retired instances with the revision that last changed each. The revision only rises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogueState {
    revision: Revision,
    entries: Versions<Arc<Entry>>,
    retired: Versions<()>,
    /// Revisions that were in effect here, where configurations replace each other; none where each change follows the
    /// one before.
    held: Option<VecDeque<Revision>>,
}

impl Default for CatalogueState {
    fn default() -> Self {
        Self::empty(0)
    }
}

impl CatalogueState {
    /// The empty state of a node whose catalogue comes from configurations, which replace each other as a whole and may
    /// be skipped.
    #[must_use]
    pub fn of_configurations() -> Self {
        Self {
            held: Some(VecDeque::new()),
            ..Self::default()
        }
    }

    /// Revision in effect; 0 before the first change.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Entries by name.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> + Clone {
        self.entries.iter().map(|(_, entry)| entry)
    }

    /// Entry with this name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&Arc<Entry>> {
        self.entries.get(name)
    }

    /// Retired instances by name.
    pub fn retired(&self) -> impl Iterator<Item = &NodeId> {
        self.retired.iter().map(|(instance, ())| instance)
    }

    /// Whether the operators have declared an instance gone for good.
    #[must_use]
    pub fn is_retired(&self, instance: &str) -> bool {
        self.retired.get(instance).is_some()
    }

    /// Entry for a request: the one with the longest matching prefix.
    ///
    /// Scans all entries; the data path keeps an index of its own.
    #[must_use]
    pub fn find(&self, host: Option<&str>, method: &str, path: &str) -> Option<&Arc<Entry>> {
        self.entries()
            .filter(|entry| entry.matches(host, method, path))
            .max_by_key(|entry| entry.path_prefix.len())
    }

    /// The content without its history.
    #[must_use]
    pub fn catalogue(&self) -> Catalogue {
        Catalogue {
            retired: self.retired().cloned().collect(),
            entries: self
                .entries
                .iter()
                .map(|(name, entry)| (name.clone(), Entry::clone(entry)))
                .collect(),
        }
    }

    /// Applies the change that follows the revision in effect.
    ///
    /// # Errors
    ///
    /// When the change does not follow the revision in effect, is invalid or is too large.
    pub fn apply(&mut self, change: &Change) -> Result<(), StateError> {
        self.check_next(change.revision)?;
        if let Some(subject) = change.edited_twice() {
            let detail = format!("{subject:?} is edited twice");
            return Err(invalid(change.revision, detail));
        }
        let mut next = self.clone();
        for edit in &change.edits {
            next.edit(change.revision, edit);
        }
        next.revision = change.revision;
        *self = next.checked()?;
        Ok(())
    }

    /// Passes over an invalid change without its edits, so that the change that corrects it can follow.
    ///
    /// All readers of the changes do this alike for a change that cannot be read, or that [`Self::apply`] refuses with
    /// [`StateError::Invalid`] or [`StateError::TooMany`].
    ///
    /// # Errors
    ///
    /// When the revision does not follow the one in effect.
    pub fn pass_over(&mut self, revision: Revision) -> Result<(), StateError> {
        self.check_next(revision)?;
        self.revision = revision;
        Ok(())
    }

    /// Replaces all entries by those of a higher revision. Entries that stay the same keep their revision.
    ///
    /// # Errors
    ///
    /// When the revision is not higher, an entry is invalid or there are too many.
    pub fn replace(&mut self, revision: Revision, entries: &[Entry]) -> Result<(), StateError> {
        self.check_newer(revision)?;
        let names: HashSet<&EntryName> = entries.iter().map(|entry| &entry.name).collect();
        if names.len() < entries.len() {
            return Err(invalid(revision, "a name occurs twice".to_owned()));
        }
        // A node that has just started cannot name what was removed before.
        let mut next = if self.revision == 0 {
            Self::empty(revision)
        } else {
            self.clone()
        };
        let removed: Vec<EntryName> = self
            .entries()
            .map(|entry| entry.name.clone())
            .filter(|name| !names.contains(name))
            .collect();
        for name in removed {
            next.entries.remove(revision, &name);
        }
        for entry in entries {
            if next
                .entry(&entry.name)
                .is_none_or(|known| **known != *entry)
            {
                next.entries
                    .set(revision, &entry.name, Arc::new(entry.clone()));
            }
        }
        next.held.get_or_insert_default();
        next.revision = revision;
        next.hold_revision();
        *self = next.checked()?;
        Ok(())
    }

    /// What a node at `from` lacks; the whole state when `from` is too old, or is a configuration that was never in effect
    /// here: what it added or changed cannot be named.
    #[must_use]
    pub fn changes_since(&self, from: Revision) -> Difference {
        let complete_from = self
            .entries
            .complete_from()
            .max(self.retired.complete_from());
        let is_skipped = self.held.as_ref().is_some_and(|held| !held.contains(&from));
        if from == 0 || from < complete_from || is_skipped {
            return self.whole();
        }
        Difference {
            from,
            removed: self.entries.removed_since(from),
            reinstated: self.retired.removed_since(from),
            ..self.set_since(from)
        }
    }

    /// The whole state, as the snapshot at the platform holds it.
    #[must_use]
    pub fn whole(&self) -> Difference {
        self.set_since(0)
    }

    /// Takes over what a peer or the snapshot knows more.
    ///
    /// # Errors
    ///
    /// When the difference leads to no newer revision, starts after the one in effect, is invalid or is too large.
    pub fn merge(&mut self, difference: &Difference) -> Result<(), StateError> {
        self.check_newer(difference.to)?;
        // A difference over configurations names nothing that came and went in between.
        let is_skipped = self.held.is_some() && ![0, self.revision].contains(&difference.from);
        if difference.from > self.revision || is_skipped {
            return Err(StateError::Gap {
                offered: difference.from,
                in_effect: self.revision,
            });
        }
        difference
            .check()
            .map_err(|detail| invalid(difference.to, detail))?;
        let mut next = if difference.from == 0 {
            Self {
                held: self.held.as_ref().map(|_| VecDeque::new()),
                ..Self::empty(difference.to)
            }
        } else {
            self.clone()
        };
        next.take(difference);
        next.revision = difference.to;
        next.hold_revision();
        *self = next.checked()?;
        Ok(())
    }

    const fn empty(complete_from: Revision) -> Self {
        Self {
            revision: 0,
            entries: Versions::new(complete_from),
            retired: Versions::new(complete_from),
            held: None,
        }
    }

    /// Remembers that the present revision is in effect here.
    fn hold_revision(&mut self) {
        let Some(held) = &mut self.held else {
            return;
        };
        held.push_back(self.revision);
        if held.len() > MAX_HELD {
            held.pop_front();
        }
    }

    const fn check_newer(&self, offered: Revision) -> Result<(), StateError> {
        if offered > self.revision {
            return Ok(());
        }
        Err(StateError::NotNewer {
            offered,
            in_effect: self.revision,
        })
    }

    fn check_next(&self, offered: Revision) -> Result<(), StateError> {
        self.check_newer(offered)?;
        if offered - 1 == self.revision {
            return Ok(());
        }
        Err(StateError::Gap {
            offered,
            in_effect: self.revision,
        })
    }

    fn edit(&mut self, revision: Revision, edit: &Edit) {
        match edit {
            Edit::Set(entry) => {
                self.entries
                    .set(revision, &entry.name, Arc::new(entry.clone()));
            }
            Edit::Remove(name) => self.entries.remove(revision, name),
            Edit::Retire(instance) => self.retired.set(revision, instance, ()),
            Edit::Reinstate(instance) => self.retired.remove(revision, instance),
        }
    }

    fn take(&mut self, difference: &Difference) {
        for (revision, name) in &difference.removed {
            self.entries.remove(*revision, name);
        }
        for (revision, entry) in &difference.set {
            self.entries
                .set(*revision, &entry.name, Arc::new(entry.clone()));
        }
        for (revision, instance) in &difference.reinstated {
            self.retired.remove(*revision, instance);
        }
        for (revision, instance) in &difference.retired {
            self.retired.set(*revision, instance, ());
        }
    }

    fn set_since(&self, from: Revision) -> Difference {
        Difference {
            from,
            to: self.revision,
            set: self
                .entries
                .set_since(from)
                .map(|(revision, _, entry)| (revision, Entry::clone(entry)))
                .collect(),
            removed: Vec::new(),
            retired: self
                .retired
                .set_since(from)
                .map(|(revision, instance, ())| (revision, instance.clone()))
                .collect(),
            reinstated: Vec::new(),
        }
    }

    fn checked(mut self) -> Result<Self, StateError> {
        let offered = self.revision;
        if self.entries.len() > MAX_ENTRIES || self.retired.len() > MAX_RETIRED {
            return Err(StateError::TooMany { offered });
        }
        if let Some(detail) = check::first_problem(self.entries()) {
            return Err(invalid(offered, detail));
        }
        if let Some(instance) = self.retired().find(|instance| !is_valid_name(instance)) {
            let detail = format!("{instance:?} is not the name of an instance");
            return Err(invalid(offered, detail));
        }
        self.entries.bound_tombstones(MAX_TOMBSTONES);
        self.retired.bound_tombstones(MAX_TOMBSTONES);
        Ok(self)
    }
}

impl Difference {
    /// Checks that each name occurs once, with a revision between the start and the end of the difference.
    fn check(&self) -> Result<(), String> {
        let set = self.set.iter().map(|(at, entry)| (*at, &entry.name));
        let removed = self.removed.iter().map(|(at, name)| (*at, name));
        self.check_names(set.chain(removed))?;
        let instances = self.retired.iter().chain(&self.reinstated);
        self.check_names(instances.map(|(at, instance)| (*at, instance)))
    }

    fn check_names<'a>(
        &self,
        names: impl Iterator<Item = (Revision, &'a Arc<str>)>,
    ) -> Result<(), String> {
        let mut seen = HashSet::new();
        for (revision, name) in names {
            if revision <= self.from || revision > self.to {
                return Err(format!(
                    "{name:?} was changed at revision {revision}, outside of {} to {}",
                    self.from, self.to
                ));
            }
            if !seen.insert(name) {
                return Err(format!("{name:?} occurs twice"));
            }
        }
        Ok(())
    }
}

const fn invalid(offered: Revision, detail: String) -> StateError {
    StateError::Invalid { offered, detail }
}
