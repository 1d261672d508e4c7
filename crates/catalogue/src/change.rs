//! Changes of the catalogue and their edits.

use {
    crate::{Entry, Workspace},
    jujubeline_core::{EntryName, NodeId, Revision, WorkspaceName},
    serde::{Deserialize, Serialize},
    std::collections::HashSet,
};

/// Random id of a change. A writer whose write has an unknown outcome recognises its own change by this id.
pub type ChangeId = String;

/// One edit: sets or removes an entry or a workspace, or retires or reinstates an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds or replaces an entry.
    Set(Entry),
    /// Removes an entry.
    Remove(EntryName),
    /// Declares an instance permanently gone, so that it is removed from the shard tables.
    Retire(NodeId),
    /// Withdraws the retirement of an instance.
    Reinstate(NodeId),
    /// Adds or replaces a workspace.
    SetWorkspace(Workspace),
    /// Removes a workspace, so that its keys are no longer accepted.
    RemoveWorkspace(WorkspaceName),
}

/// The entry, instance or workspace that an edit changes. Each kind has a namespace of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EditSubject<'a> {
    /// The entry with this name.
    Entry(&'a EntryName),
    /// The instance with this name.
    Instance(&'a NodeId),
    /// The workspace with this name.
    Workspace(&'a WorkspaceName),
}

impl Edit {
    /// The entry or instance that the edit changes.
    #[must_use]
    pub const fn subject(&self) -> EditSubject<'_> {
        match self {
            Self::Set(entry) => EditSubject::Entry(&entry.name),
            Self::Remove(name) => EditSubject::Entry(name),
            Self::Retire(instance) | Self::Reinstate(instance) => EditSubject::Instance(instance),
            Self::SetWorkspace(workspace) => EditSubject::Workspace(&workspace.name),
            Self::RemoveWorkspace(name) => EditSubject::Workspace(name),
        }
    }
}

/// A numbered set of edits that is applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Position in the sequence of changes, from 1.
    pub revision: Revision,
    /// Random id, unique to the change.
    pub change_id: ChangeId,
    /// Name of the author.
    pub author: String,
    /// Time at which the change was made, in milliseconds since the Unix epoch. Informational; nothing depends on it.
    pub made_at_ms: u64,
    /// The edits, at most one for each entry and instance, so their order does not matter.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The first entry or instance with more than one edit.
    #[must_use]
    pub fn duplicate_subject(&self) -> Option<EditSubject<'_>> {
        let mut subjects = HashSet::with_capacity(self.edits.len());
        self.edits
            .iter()
            .map(Edit::subject)
            .find(|subject| !subjects.insert(*subject))
    }
}
