//! Catalogue file of a deployment.

use {jujubeline_core::Class, std::fmt::Write};

/// An entry to write to the deployment's catalogue.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Unique name of the entry.
    pub name: String,
    /// HTTP method in upper case.
    pub method: &'static str,
    /// Prefix of the request paths that the entry matches.
    pub path_prefix: String,
    /// Service whose targets run the requests.
    pub service: String,
    /// Class of the requests, which sets their priority under overload.
    pub class: Class,
    /// Maximum time for a whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of retries for one root request over the whole call graph.
    pub retry_bound: u32,
    /// Maximum number of requests in flight at each target.
    pub concurrency: u32,
    /// Whether a request must run at most once.
    pub at_most_once: bool,
}

/// Renders the entries as a catalogue file in TOML.
#[must_use]
pub fn catalogue_toml(entries: &[EntryPlan]) -> String {
    let mut text = String::new();
    for entry in entries {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[[entry]]\nname = {:?}\nowner = \"lab\"\nmethod = {:?}\npath_prefix = {:?}\nservice = {:?}\n\
             class = \"{}\"\ndeadline_ms = {}\nretry_bound = {}\nconcurrency = {}\nat_most_once = {}\n\n",
            entry.name,
            entry.method,
            entry.path_prefix,
            entry.service,
            entry.class,
            entry.deadline_ms,
            entry.retry_bound,
            entry.concurrency,
            entry.at_most_once,
        );
    }
    text
}
