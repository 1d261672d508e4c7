//! The content of a catalogue, without revisions.

use {
    crate::{Edit, Entry, Workspace, workspace_file::WorkspaceTable},
    jujubeline_core::{EntryName, NodeId, WorkspaceName},
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// Entries, retired instances and workspaces, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Catalogue {
    /// Instances that are permanently gone.
    pub retired: BTreeSet<NodeId>,
    /// Entries by name, each under its own name.
    #[serde(rename = "entry", serialize_with = "entries_as_list")]
    pub entries: BTreeMap<EntryName, Entry>,
    /// Workspaces by name, each under its own name.
    #[serde(
        rename = "workspace",
        serialize_with = "workspaces_as_list",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

impl Catalogue {
    /// Edits that turn this catalogue into another one; empty when both are equal.
    #[must_use]
    pub fn edits_to(&self, target: &Self) -> Vec<Edit> {
        let removed = self
            .entries
            .keys()
            .filter(|name| !target.entries.contains_key(*name))
            .map(|name| Edit::Remove(name.clone()));
        let set = target
            .entries
            .values()
            .filter(|entry| self.entries.get(&entry.name) != Some(entry))
            .map(|entry| Edit::Set(entry.clone()));
        let retired = target
            .retired
            .difference(&self.retired)
            .map(|instance| Edit::Retire(instance.clone()));
        let reinstated = self
            .retired
            .difference(&target.retired)
            .map(|instance| Edit::Reinstate(instance.clone()));
        let removed_workspaces = self
            .workspaces
            .keys()
            .filter(|name| !target.workspaces.contains_key(*name))
            .map(|name| Edit::RemoveWorkspace(name.clone()));
        let set_workspaces = target
            .workspaces
            .values()
            .filter(|workspace| self.workspaces.get(&workspace.name) != Some(workspace))
            .map(|workspace| Edit::SetWorkspace(workspace.clone()));
        removed
            .chain(set)
            .chain(retired)
            .chain(reinstated)
            .chain(removed_workspaces)
            .chain(set_workspaces)
            .collect()
    }

    /// The catalogue as a file that [`crate::parse_file`] accepts.
    ///
    /// # Errors
    ///
    /// When a number exceeds the range of TOML, which no valid entry does.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

fn entries_as_list<S: serde::Serializer>(
    entries: &BTreeMap<EntryName, Entry>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(entries.values())
}

fn workspaces_as_list<S: serde::Serializer>(
    workspaces: &BTreeMap<WorkspaceName, Workspace>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(workspaces.values().map(WorkspaceTable::from))
}
