//! Validation rules for single entries and for sets of entries.

use {
    crate::{ANY_METHOD, Entry},
    derive_more::{Display, Error},
    std::sync::Arc,
};

/// Highest retry bound. Retries at each hop multiply the load, so a higher bound has no benefit under overload.
pub const MAX_RETRY_BOUND: u32 = 10;

/// Highest deadline: 10 minutes.
pub const MAX_DEADLINE_MS: u64 = 10 * 60 * 1_000;

/// Highest concurrency at one target instance.
pub const MAX_CONCURRENCY: u32 = 100_000;

/// Maximum length of the name of an entry, a service or an instance.
const MAX_NAME_BYTES: usize = 100;

const MAX_OWNER_BYTES: usize = 200;

const MAX_PATH_BYTES: usize = 1_024;

/// Maximum length of a host name in the domain name system.
const MAX_HOST_BYTES: usize = 253;

/// Maximum number of services in the split of an entry.
pub const MAX_SPLIT: usize = 64;

/// Methods that an entry can name, and whether each is safe in the sense of RFC 9110.
const METHODS: [(&str, bool); 7] = [
    ("GET", true),
    ("HEAD", true),
    ("OPTIONS", true),
    ("POST", false),
    ("PUT", false),
    ("PATCH", false),
    ("DELETE", false),
];

/// A violation of a rule by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {detail}")]
pub struct EntryProblem {
    /// Field that violates the rule.
    pub field: &'static str,
    /// The value and the rule, in one sentence.
    pub detail: String,
}

/// Two entries with the same host and method whose prefixes make it ambiguous which entry a path belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overlap<'a> {
    /// The entry with the shorter prefix.
    pub outer: &'a Entry,
    /// The entry with the longer prefix, or with the same one.
    pub inner: &'a Entry,
}

/// Whether a text is a valid name of an entry, a service or an instance.
///
/// Names of services become names of objects at the platform, so only characters that are allowed there are valid.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let only_dots = name.bytes().all(|byte| byte == b'.');
    name.len() <= MAX_NAME_BYTES && !only_dots && name.bytes().all(allowed)
}

/// Pairs of entries that overlap.
///
/// A prefix may extend another one from a segment boundary on, such as `/stock/archive/` and `/stock/`; the longest
/// match wins. Equal prefixes overlap, and so do `/stock` and `/stocktaking`, where the shorter one ends inside a
/// segment and matches paths that it is not meant for.
#[must_use]
pub fn overlaps<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Vec<Overlap<'a>> {
    let mut sorted: Vec<&Entry> = entries.into_iter().collect();
    sorted.sort_by_key(|entry| (&entry.host, &entry.method, &entry.path_prefix, &entry.name));
    // The entries whose prefixes contain the current one. They form a stack, because the prefixes are sorted.
    let mut enclosing: Vec<&Entry> = Vec::new();
    let mut found = Vec::new();
    for inner in sorted {
        while enclosing
            .last()
            .is_some_and(|outer| !contains(outer, inner))
        {
            enclosing.pop();
        }
        let ambiguous = enclosing.iter().filter(|outer| is_ambiguous(outer, inner));
        found.extend(ambiguous.map(|outer| Overlap { outer, inner }));
        enclosing.push(inner);
    }
    found
}

impl Entry {
    /// All violations of the rules for a single entry.
    #[must_use]
    pub fn problems(&self) -> Vec<EntryProblem> {
        [
            name_problem("name", &self.name),
            name_problem("service", &self.service),
            self.owner_problem(),
            self.method_problem(),
            self.path_problem(),
            range_problem("deadline_ms", self.deadline_ms, 1, MAX_DEADLINE_MS),
            range_problem(
                "retry_bound",
                self.retry_bound.into(),
                0,
                MAX_RETRY_BOUND.into(),
            ),
            range_problem(
                "concurrency",
                self.concurrency.into(),
                1,
                MAX_CONCURRENCY.into(),
            ),
            self.at_most_once_problem(),
            self.host_problem(),
            self.split_problem(),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    fn owner_problem(&self) -> Option<EntryProblem> {
        if self.owner.trim().is_empty() {
            return Some(problem(
                "owner",
                "is empty; name the person or team responsible for the entry",
            ));
        }
        if self.owner.len() > MAX_OWNER_BYTES || self.owner.chars().any(char::is_control) {
            let detail = format!("is not a line of at most {MAX_OWNER_BYTES} bytes");
            return Some(problem("owner", detail));
        }
        None
    }

    fn method_problem(&self) -> Option<EntryProblem> {
        let is_known = METHODS.iter().any(|(method, _)| *method == self.method);
        if is_known || self.method == ANY_METHOD {
            return None;
        }
        let known = METHODS.map(|(method, _)| method).join(", ");
        Some(problem(
            "method",
            format!("{:?} is none of {known}", self.method),
        ))
    }

    fn path_problem(&self) -> Option<EntryProblem> {
        let path = &self.path_prefix;
        let plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
        if path.starts_with('/') && path.len() <= MAX_PATH_BYTES && path.bytes().all(plain) {
            return None;
        }
        let detail = format!(
            "{path:?} does not start with '/' or is not a path of at most {MAX_PATH_BYTES} ASCII \
             characters without query"
        );
        Some(problem("path_prefix", detail))
    }

    fn host_problem(&self) -> Option<EntryProblem> {
        let host = self.host.as_deref()?;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_');
        if !host.is_empty() && host.len() <= MAX_HOST_BYTES && host.bytes().all(plain) {
            return None;
        }
        let detail = format!("{host:?} is not a host name of at most {MAX_HOST_BYTES} bytes");
        Some(problem("host", detail))
    }

    fn split_problem(&self) -> Option<EntryProblem> {
        if self.split.is_empty() {
            return None;
        }
        if self.split.len() > MAX_SPLIT {
            let detail = format!("has more than {MAX_SPLIT} services");
            return Some(problem("split", detail));
        }
        if self.split.iter().all(|share| share.weight == 0) {
            return Some(problem("split", "gives no service a weight above 0"));
        }
        self.split
            .iter()
            .find_map(|share| name_problem("split", &share.service))
    }

    fn at_most_once_problem(&self) -> Option<EntryProblem> {
        let safe = METHODS.contains(&(self.method.as_str(), true));
        if !self.at_most_once || !safe {
            return None;
        }
        let detail = format!("is true with method {}, which changes nothing", self.method);
        Some(problem("at_most_once", detail))
    }
}

/// The first violation in a set of entries, as a message.
pub(crate) fn first_problem<'a>(
    entries: impl Iterator<Item = &'a Arc<Entry>> + Clone,
) -> Option<String> {
    for entry in entries.clone() {
        if let Some(problem) = entry.problems().first() {
            return Some(format!("entry {:?}: {problem}", entry.name));
        }
    }
    let overlaps = overlaps(entries.map(Arc::as_ref));
    overlaps.first().map(|overlap| {
        format!(
            "entries {:?} and {:?} overlap",
            overlap.outer.name, overlap.inner.name
        )
    })
}

fn name_problem(field: &'static str, name: &str) -> Option<EntryProblem> {
    if is_valid_name(name) {
        return None;
    }
    let detail =
        format!("{name:?} is not 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' or '.'");
    Some(problem(field, detail))
}

fn range_problem(field: &'static str, value: u64, min: u64, max: u64) -> Option<EntryProblem> {
    if (min..=max).contains(&value) {
        return None;
    }
    Some(problem(field, format!("{value} is not in {min} to {max}")))
}

fn problem(field: &'static str, detail: impl Into<String>) -> EntryProblem {
    EntryProblem {
        field,
        detail: detail.into(),
    }
}

fn contains(outer: &Entry, inner: &Entry) -> bool {
    outer.host == inner.host
        && outer.method == inner.method
        && inner.path_prefix.starts_with(&outer.path_prefix)
}

/// Whether the outer prefix, which contains the inner one, is equal to it or ends inside one of its segments.
fn is_ambiguous(outer: &Entry, inner: &Entry) -> bool {
    let rest = &inner.path_prefix[outer.path_prefix.len()..];
    rest.is_empty() || !(outer.path_prefix.ends_with('/') || rest.starts_with('/'))
}
