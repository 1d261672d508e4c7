//! The catalogue in effect on a node.

use {
    crate::{
        Catalogue, Change, Edit, Entry, MAX_KEYS, MAX_WORKSPACES, ServiceLimit, Workspace,
        WorkspaceChanges, check, is_valid_name, versions::Versions,
    },
    derive_more::{Display, Error},
    jujubeline_core::{EntryName, NodeId, Revision, WorkspaceName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashSet, VecDeque},
        sync::Arc,
    },
};

/// Maximum number of tombstones of removed entries, and as many of reinstated instances, that are kept so that a
/// difference can name them.
const MAX_TOMBSTONES: usize = 1_024;

/// Number of the latest revisions in effect that are kept where configurations replace each other. A node at an older
/// revision gets the full state.
const MAX_RECENT_REVISIONS: usize = 64;

/// Maximum number of entries in a catalogue that a node accepts: more than the routes of usual length that fit into a
/// configuration of the largest size that the platform stores, 1 MiB.
pub const MAX_ENTRIES: usize = 16_384;

/// Maximum number of retired instances in a catalogue that a node accepts.
pub const MAX_RETIRED: usize = 16_384;

/// Why a change or difference was not applied. The state in effect is unchanged.
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
    /// Changes between the revision in effect and the offered one are missing, or the offered difference does not start
    /// at the revision in effect.
    #[display("revision {offered} does not follow revision {in_effect} in effect")]
    Gap {
        /// Revision offered.
        offered: Revision,
        /// Revision in effect.
        in_effect: Revision,
    },
    /// The result would have too many entries, retired instances, workspaces or keys.
    #[display(
        "revision {offered} would bring more than {MAX_ENTRIES} entries, {MAX_RETIRED} retired instances, \
         {MAX_WORKSPACES} workspaces or {MAX_KEYS} keys"
    )]
    TooMany {
        /// Revision offered.
        offered: Revision,
    },
    /// The change or difference contradicts itself or violates a rule of the catalogue.
    #[display("revision {offered} is invalid: {detail}")]
    Invalid {
        /// Revision offered.
        offered: Revision,
        /// The rule that is violated.
        detail: String,
    },
}

/// The edits that bring a node from an older revision to a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Revision that the difference starts from; 0 means that the difference holds the full state.
    pub from: Revision,
    /// Revision that it leads to.
    pub to: Revision,
    /// Entries set since `from`, each with the revision that last changed it.
    pub set: Vec<(Revision, Entry)>,
    /// Entries removed since `from`, each with the revision that removed it.
    pub removed: Vec<(Revision, EntryName)>,
    /// Instances retired since `from`, each with the revision that retired it.
    #[serde(default)]
    pub retired: Vec<(Revision, NodeId)>,
    /// Instances reinstated since `from`, each with the revision that reinstated it.
    #[serde(default)]
    pub reinstated: Vec<(Revision, NodeId)>,
    /// Limits of the services, if they changed since `from`.
    #[serde(skip)]
    pub services: Option<ServiceLimits>,
    /// Changes of the workspaces since `from`.
    #[serde(default, skip_serializing_if = "WorkspaceChanges::is_empty")]
    pub workspaces: WorkspaceChanges,
}

/// Limits of all services, with the revision that last changed one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Revision of the last change; 0 without any limits.
    pub revision: Revision,
    /// One item for each service that has limits.
    pub limits: Arc<[ServiceLimit]>,
}

/// Entries and retired instances, each with the revision that last changed it. The revision in effect never decreases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogueState {
    revision: Revision,
    entries: Versions<Arc<Entry>>,
    retired: Versions<()>,
    services: ServiceLimits,
    workspaces: Versions<Arc<Workspace>>,
    /// Whether requests need the key of a workspace, unless their entry is public.
    keys_required: bool,
    /// The latest revisions that were in effect on this node, oldest first, where configurations replace each other.
    /// `None` where every change follows the previous one.
    recent_revisions: Option<VecDeque<Revision>>,
}

impl Default for CatalogueState {
    fn default() -> Self {
        Self::empty(0)
    }
}

impl CatalogueState {
    /// An empty state for a node whose catalogue comes from configurations: each replaces the previous one in full, and
    /// revisions may be skipped.
    #[must_use]
    pub fn for_configurations() -> Self {
        Self {
            recent_revisions: Some(VecDeque::new()),
            ..Self::default()
        }
    }

    /// Revision in effect; 0 before the first change.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Entries, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> + Clone {
        self.entries.iter().map(|(_, entry)| entry)
    }

    /// Entry with this name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&Arc<Entry>> {
        self.entries.get(name)
    }

    /// Retired instances, sorted by name.
    pub fn retired(&self) -> impl Iterator<Item = &NodeId> {
        self.retired.iter().map(|(instance, ())| instance)
    }

    /// Limits of a service; none if the configuration states none.
    #[must_use]
    pub fn service_limit(&self, service: &str) -> Option<&ServiceLimit> {
        let mut limits = self.services.limits.iter();
        limits.find(|limit| *limit.service == *service)
    }

    /// Workspaces, sorted by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter().map(|(_, workspace)| workspace)
    }

    /// Whether requests need the key of a workspace, unless their entry is public.
    #[must_use]
    pub const fn keys_required(&self) -> bool {
        self.keys_required
    }

    /// Whether the operators have declared an instance permanently gone.
    #[must_use]
    pub fn is_retired(&self, instance: &str) -> bool {
        self.retired.get(instance).is_some()
    }

    /// Entry for a request: of the entries that match, the one with the longest prefix.
    ///
    /// Scans all entries, so the data path uses an index of its own instead.
    #[must_use]
    pub fn find(&self, host: Option<&str>, method: &str, path: &str) -> Option<&Arc<Entry>> {
        self.entries()
            .filter(|entry| entry.matches(host, method, path))
            .max_by_key(|entry| entry.path_prefix.len())
    }

    /// The entries and retired instances without their revisions.
    #[must_use]
    pub fn catalogue(&self) -> Catalogue {
        Catalogue {
            retired: self.retired().cloned().collect(),
            workspaces: self
                .workspaces
                .iter()
                .map(|(name, workspace)| (name.clone(), Workspace::clone(workspace)))
                .collect(),
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
        if let Some(subject) = change.duplicate_subject() {
            let detail = format!("{subject:?} is edited twice");
            return Err(invalid(change.revision, detail));
        }
        let mut next = self.clone();
        for edit in &change.edits {
            next.apply_edit(change.revision, edit);
        }
        next.keys_required = next.workspaces.len() > 0;
        next.revision = change.revision;
        *self = next.validated()?;
        Ok(())
    }

    /// Advances to the revision of an invalid change without applying its edits, so that a change that corrects it can
    /// follow.
    ///
    /// Every reader of the change log must skip a change that cannot be read, or that [`Self::apply`] refuses with
    /// [`StateError::Invalid`] or [`StateError::TooMany`].
    ///
    /// # Errors
    ///
    /// When the revision does not follow the one in effect.
    pub fn skip_invalid(&mut self, revision: Revision) -> Result<(), StateError> {
        self.check_next(revision)?;
        self.revision = revision;
        Ok(())
    }

    /// Replaces all entries and limits of services by those of a higher revision, and removes all workspaces. Unchanged
    /// entries keep their revision.
    ///
    /// # Errors
    ///
    /// When the revision is not higher, an entry is invalid or there are too many.
    pub fn replace(
        &mut self,
        revision: Revision,
        entries: &[Entry],
        services: &[ServiceLimit],
    ) -> Result<(), StateError> {
        self.replace_with_workspaces(revision, entries, services, None)
    }

    /// Replaces all entries, limits of services and workspaces by those of a higher revision. What is unchanged keeps its
    /// revision. Without workspaces (`None`) requests need no key.
    ///
    /// # Errors
    ///
    /// When the revision is not higher, an entry or a workspace is invalid or there are too many.
    pub fn replace_with_workspaces(
        &mut self,
        revision: Revision,
        entries: &[Entry],
        services: &[ServiceLimit],
        workspaces: Option<&[Workspace]>,
    ) -> Result<(), StateError> {
        self.check_newer(revision)?;
        let names: HashSet<&EntryName> = entries.iter().map(|entry| &entry.name).collect();
        if names.len() < entries.len() {
            return Err(invalid(revision, "a name occurs twice".to_owned()));
        }
        // A node that has just started has no tombstones of earlier removals, so its differences can only start at this
        // revision or later.
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
        next.replace_workspaces(revision, workspaces.unwrap_or_default())?;
        next.keys_required = workspaces.is_some();
        if *next.services.limits != *services {
            next.services = ServiceLimits {
                revision,
                limits: services.into(),
            };
        }
        next.recent_revisions.get_or_insert_default();
        next.revision = revision;
        next.record_revision();
        *self = next.validated()?;
        Ok(())
    }

    /// The difference that a node at revision `from` lacks.
    ///
    /// Holds the full state when `from` is 0 or older than the tombstones, or when it is a configuration that is not
    /// among the latest ones in effect here, because this node cannot tell what that configuration added or changed.
    #[must_use]
    pub fn changes_since(&self, from: Revision) -> Difference {
        let complete_from = self
            .entries
            .complete_from()
            .max(self.retired.complete_from())
            .max(self.workspaces.complete_from());
        let is_unknown_start = self
            .recent_revisions
            .as_ref()
            .is_some_and(|recent_revisions| !recent_revisions.contains(&from));
        if from == 0 || from < complete_from || is_unknown_start {
            return self.full_state();
        }
        let mut difference = self.set_since(from);
        difference.removed = self.entries.removed_since(from);
        difference.reinstated = self.retired.removed_since(from);
        difference.workspaces.removed = self.workspaces.removed_since(from);
        difference
    }

    /// The full state as a difference from revision 0, the form of the snapshot at the platform.
    #[must_use]
    pub fn full_state(&self) -> Difference {
        self.set_since(0)
    }

    /// Applies a difference from a peer or the snapshot.
    ///
    /// # Errors
    ///
    /// When the difference leads to no newer revision, starts after the one in effect, is invalid or is too large.
    pub fn merge(&mut self, difference: &Difference) -> Result<(), StateError> {
        self.check_newer(difference.to)?;
        // A difference between configurations does not name entries that were added and removed in between, so it is
        // only valid for a node at exactly its start.
        let is_unknown_start =
            self.recent_revisions.is_some() && ![0, self.revision].contains(&difference.from);
        if difference.from > self.revision || is_unknown_start {
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
                recent_revisions: self.recent_revisions.as_ref().map(|_| VecDeque::new()),
                ..Self::empty(difference.to)
            }
        } else {
            self.clone()
        };
        next.apply_difference(difference);
        next.revision = difference.to;
        next.record_revision();
        *self = next.validated()?;
        Ok(())
    }

    fn empty(complete_from: Revision) -> Self {
        Self {
            revision: 0,
            entries: Versions::new(complete_from),
            retired: Versions::new(complete_from),
            workspaces: Versions::new(complete_from),
            keys_required: false,
            services: ServiceLimits::default(),
            recent_revisions: None,
        }
    }

    /// Adds the revision in effect to the recent revisions and evicts the oldest one beyond [`MAX_RECENT_REVISIONS`].
    fn record_revision(&mut self) {
        let Some(recent_revisions) = &mut self.recent_revisions else {
            return;
        };
        recent_revisions.push_back(self.revision);
        if recent_revisions.len() > MAX_RECENT_REVISIONS {
            recent_revisions.pop_front();
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

    fn apply_edit(&mut self, revision: Revision, edit: &Edit) {
        match edit {
            Edit::Set(entry) => {
                self.entries
                    .set(revision, &entry.name, Arc::new(entry.clone()));
            }
            Edit::Remove(name) => self.entries.remove(revision, name),
            Edit::Retire(instance) => self.retired.set(revision, instance, ()),
            Edit::Reinstate(instance) => self.retired.remove(revision, instance),
            Edit::SetWorkspace(workspace) => {
                let value = Arc::new(workspace.clone());
                self.workspaces.set(revision, &workspace.name, value);
            }
            Edit::RemoveWorkspace(name) => self.workspaces.remove(revision, name),
        }
    }

    fn apply_difference(&mut self, difference: &Difference) {
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
        if let Some(services) = &difference.services {
            self.services = services.clone();
        }
        let workspaces = &difference.workspaces;
        for (revision, name) in &workspaces.removed {
            self.workspaces.remove(*revision, name);
        }
        for (revision, workspace) in &workspaces.set {
            let value = Arc::new(workspace.clone());
            self.workspaces.set(*revision, &workspace.name, value);
        }
        self.keys_required = workspaces.keys_required;
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
            services: Some(&self.services)
                .filter(|services| services.revision > from)
                .cloned(),
            workspaces: WorkspaceChanges {
                keys_required: self.keys_required,
                set: self
                    .workspaces
                    .set_since(from)
                    .map(|(revision, _, workspace)| (revision, Workspace::clone(workspace)))
                    .collect(),
                removed: Vec::new(),
            },
        }
    }

    fn replace_workspaces(
        &mut self,
        revision: Revision,
        workspaces: &[Workspace],
    ) -> Result<(), StateError> {
        let names: HashSet<&WorkspaceName> = workspaces.iter().map(|one| &one.name).collect();
        if names.len() < workspaces.len() {
            let detail = "the name of a workspace occurs twice".to_owned();
            return Err(invalid(revision, detail));
        }
        let removed: Vec<WorkspaceName> = self
            .workspaces()
            .map(|workspace| workspace.name.clone())
            .filter(|name| !names.contains(name))
            .collect();
        for name in removed {
            self.workspaces.remove(revision, &name);
        }
        for workspace in workspaces {
            let known = self.workspaces.get(&workspace.name);
            if known.is_none_or(|known| **known != *workspace) {
                let value = Arc::new(workspace.clone());
                self.workspaces.set(revision, &workspace.name, value);
            }
        }
        Ok(())
    }

    /// The first violation of a rule by the workspaces, except for keys that two of them hold: such a key identifies
    /// neither, and the other keys stay in use.
    fn workspace_problem(&self) -> Option<String> {
        self.workspaces().find_map(|workspace| {
            let (field, detail) = workspace.problem()?;
            Some(format!("workspace {:?}: {field} {detail}", workspace.name))
        })
    }

    fn validated(mut self) -> Result<Self, StateError> {
        let offered = self.revision;
        let keys: usize = self.workspaces().map(|one| one.keys_sha256.len()).sum();
        if self.entries.len() > MAX_ENTRIES
            || self.retired.len() > MAX_RETIRED
            || self.workspaces.len() > MAX_WORKSPACES
            || keys > MAX_KEYS
        {
            return Err(StateError::TooMany { offered });
        }
        if let Some(detail) = check::first_problem(self.entries()) {
            return Err(invalid(offered, detail));
        }
        if let Some(instance) = self.retired().find(|instance| !is_valid_name(instance)) {
            let detail = format!("{instance:?} is not the name of an instance");
            return Err(invalid(offered, detail));
        }
        if let Some(detail) = self.workspace_problem() {
            return Err(invalid(offered, detail));
        }
        self.entries.evict_tombstones(MAX_TOMBSTONES);
        self.workspaces.evict_tombstones(MAX_TOMBSTONES);
        self.retired.evict_tombstones(MAX_TOMBSTONES);
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
        self.check_names(instances.map(|(at, instance)| (*at, instance)))?;
        let set = self.workspaces.set.iter();
        let set = set.map(|(at, workspace)| (*at, &workspace.name));
        let removed = self.workspaces.removed.iter().map(|(at, name)| (*at, name));
        self.check_names(set.chain(removed))
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
