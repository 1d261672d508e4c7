//! Entries and limits of services from a configuration that replaces the whole catalogue.

use {
    crate::{ANY_METHOD, Entry, MAX_CONCURRENCY, Preference},
    jujubeline_core::{Class, EntryName, ServiceName},
    std::{collections::HashSet, sync::Arc},
};

/// Service of an entry that could not be read. No request reaches it, because the entry is refused.
const NO_SERVICE: &str = "unreadable";

/// Connection limit and health check of the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimit {
    /// Name of the service.
    pub service: ServiceName,
    /// Maximum number of connections that each target accepts from all nodes together.
    pub connections: u32,
    /// Path of the health check of each target; `None` when the configuration states none.
    pub health_path: Option<String>,
}

/// A route of a configuration that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRoute {
    /// Position in the configuration, from 0.
    pub row: usize,
    /// What cannot be read, for the log.
    pub detail: String,
    /// Host and path prefix, if at least these can be read.
    pub address: Option<(String, String)>,
}

/// Entries that can take effect, and what is wrong with the other routes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsableEntries {
    /// The readable entries, and an entry that refuses its requests for each other route whose address is known.
    pub entries: Vec<Entry>,
    /// One line for each route that cannot be read or breaks a rule.
    pub problems: Vec<String>,
}

impl UsableEntries {
    /// Separates the routes that can take effect from those that cannot, so that one mistake disables one route only.
    ///
    /// A name or an address that occurs twice belongs to its first route.
    #[must_use]
    pub fn from_routes(routes: Vec<Result<Entry, UnreadableRoute>>) -> Self {
        let mut usable = Self::default();
        let mut names: HashSet<EntryName> = HashSet::new();
        let mut addresses: HashSet<(Option<String>, String)> = HashSet::new();
        for (row, route) in routes.into_iter().enumerate() {
            let checked = route.and_then(|entry| checked(row, entry));
            let entry = match checked {
                Ok(entry) => entry,
                Err(unreadable) => {
                    usable
                        .problems
                        .push(format!("route {row}: {}", unreadable.detail));
                    let Some(entry) = unreadable.refusing_entry() else {
                        continue;
                    };
                    entry
                }
            };
            if !names.insert(entry.name.clone()) {
                usable
                    .problems
                    .push(format!("route {row}: name {:?} occurs twice", entry.name));
            } else if !addresses.insert((entry.host.clone(), entry.path_prefix.clone())) {
                usable
                    .problems
                    .push(format!("route {row}: {:?} occurs twice", entry.path_prefix));
            } else {
                usable.entries.push(entry);
            }
        }
        usable
    }
}

impl UnreadableRoute {
    /// An entry that refuses the requests of the route; none if its address is not known or is invalid.
    fn refusing_entry(&self) -> Option<Entry> {
        let (host, path_prefix) = self.address.clone()?;
        let entry = Entry {
            name: Arc::from(format!("unreadable-{}", self.row)),
            owner: "operators".to_owned(),
            host: Some(host),
            method: ANY_METHOD.to_owned(),
            path_prefix,
            service: NO_SERVICE.into(),
            split: Vec::new(),
            class: Class::Normal,
            deadline_ms: 1,
            retry_bound: 0,
            max_attempts: None,
            concurrency: MAX_CONCURRENCY,
            at_most_once: true,
            keyed: false,
            public: false,
            prefer: Preference::default(),
            unreadable: true,
        };
        entry.problems().is_empty().then_some(entry)
    }
}

fn checked(row: usize, entry: Entry) -> Result<Entry, UnreadableRoute> {
    match entry.problems().first() {
        None => Ok(entry),
        Some(problem) => Err(UnreadableRoute {
            row,
            detail: problem.to_string(),
            address: entry.host.map(|host| (host, entry.path_prefix)),
        }),
    }
}
