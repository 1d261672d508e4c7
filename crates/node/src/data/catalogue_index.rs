//! Index of the catalogue by host, method and path prefix.

use {
    jujubeline_catalogue::{ANY_METHOD, CatalogueState, Entry, Workspace},
    jujubeline_core::{Class, EntryName, KeyDigest, Revision, WorkspaceName},
    jujubeline_overload::DEFAULT_WEIGHT,
    std::{collections::HashMap, sync::Arc},
};

/// An entry, and the position of the entry with the longest proper prefix of its path prefix in the same list.
#[derive(Debug)]
struct Node {
    entry: Arc<Entry>,
    parent: Option<usize>,
}

/// Host and method of the entries in one list. The host is none for entries that match any host.
type RouteKey = (Option<String>, String);

/// Finds the entry with the longest matching path prefix.
///
/// The prefixes for each host and method are sorted. Every prefix of a path sorts at or before the path, and any string
/// between the two starts with that prefix too, so a binary search and a walk along the parents find the longest match.
/// The cost grows with the logarithm of the number of entries.
#[derive(Debug, Default)]
pub struct CatalogueIndex {
    revision: Revision,
    by_route: HashMap<RouteKey, Vec<Node>>,
    by_name: HashMap<EntryName, Arc<Entry>>,
    workspaces: HashMap<WorkspaceName, Arc<Workspace>>,
    /// Workspaces by their keys. A key that two workspaces hold identifies neither.
    by_key: HashMap<KeyDigest, Option<Arc<Workspace>>>,
    /// Lowest priority of a workspace, the largest number. Workspaces above it rank before all others.
    lowest_priority: u32,
    keys_required: bool,
}

impl CatalogueIndex {
    /// Builds the index of a catalogue state.
    #[must_use]
    pub fn new(state: &CatalogueState) -> Self {
        let mut entries: Vec<_> = state.entries().cloned().collect();
        entries.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
        let by_name = entries
            .iter()
            .map(|entry| (entry.name.clone(), Arc::clone(entry)))
            .collect();
        let mut by_route: HashMap<RouteKey, Vec<Node>> = HashMap::new();
        for entry in entries {
            let nodes = by_route
                .entry((entry.host.clone(), entry.method.clone()))
                .or_default();
            let parent = longest_prefix(nodes, nodes.len().checked_sub(1), &entry.path_prefix);
            nodes.push(Node { entry, parent });
        }
        Self {
            revision: state.revision(),
            by_route,
            by_name,
            by_key: workspaces_by_key(state),
            workspaces: state
                .workspaces()
                .map(|workspace| (workspace.name.clone(), Arc::clone(workspace)))
                .collect(),
            lowest_priority: lowest_priority(state),
            keys_required: state.keys_required(),
        }
    }

    /// Revision of the indexed catalogue; 0 for a catalogue without changes.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Looks up an entry by its name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&Arc<Entry>> {
        self.by_name.get(name)
    }

    /// Whether requests need the key of a workspace, unless their entry is public.
    #[must_use]
    pub const fn keys_required(&self) -> bool {
        self.keys_required
    }

    /// Weight of a workspace where room is short: the rate of its allowance, so that each gets room in proportion to what
    /// the operators grant it.
    #[must_use]
    pub fn weight_of(&self, workspace: &str) -> f64 {
        let allowance = self.workspace(workspace).and_then(|known| known.allowance);
        let weight = allowance.map(|allowance| allowance.rate_per_s.per_s());
        weight
            .filter(|&weight| weight > 0.0)
            .unwrap_or(DEFAULT_WEIGHT)
    }

    /// Looks up a workspace by its name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Class of a request of a workspace. The priority of workspaces precedes the class of the entry, so the requests of a
    /// workspace above the lowest priority are critical, whatever they are.
    #[must_use]
    pub fn class_for(&self, workspace: &Workspace, entry: &Entry) -> Class {
        if workspace.priority < self.lowest_priority {
            return Class::Critical;
        }
        entry.class
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace_of(&self, key: KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(&key)?.as_ref()
    }

    /// Finds the entry for a request. Of equally long prefixes, an entry for the host precedes one for any host, and an
    /// entry for the method precedes one for any method.
    #[must_use]
    pub fn find(&self, host: Option<&str>, method: &str, path: &str) -> Option<&Arc<Entry>> {
        let hosts = host.map(|host| Some(host.to_owned())).into_iter();
        let mut best: Option<&Arc<Entry>> = None;
        for host in hosts.chain([None]) {
            for method in [method, ANY_METHOD] {
                let Some(nodes) = self.by_route.get(&(host.clone(), method.to_owned())) else {
                    continue;
                };
                let after = nodes.partition_point(|node| node.entry.path_prefix.as_str() <= path);
                let Some(found) = longest_prefix(nodes, after.checked_sub(1), path) else {
                    continue;
                };
                let entry = &nodes[found].entry;
                if best.is_none_or(|best| entry.path_prefix.len() > best.path_prefix.len()) {
                    best = Some(entry);
                }
            }
        }
        best
    }
}

fn lowest_priority(state: &CatalogueState) -> u32 {
    let priorities = state.workspaces().map(|workspace| workspace.priority);
    priorities.max().unwrap_or_default()
}

fn workspaces_by_key(state: &CatalogueState) -> HashMap<KeyDigest, Option<Arc<Workspace>>> {
    let mut by_key = HashMap::new();
    for workspace in state.workspaces() {
        for key in &workspace.keys_sha256 {
            by_key
                .entry(*key)
                .and_modify(|holder| *holder = None)
                .or_insert_with(|| Some(Arc::clone(workspace)));
        }
    }
    by_key
}

fn longest_prefix(nodes: &[Node], mut at: Option<usize>, path: &str) -> Option<usize> {
    while let Some(index) = at {
        if path.starts_with(&nodes[index].entry.path_prefix) {
            return at;
        }
        at = nodes[index].parent;
    }
    None
}
