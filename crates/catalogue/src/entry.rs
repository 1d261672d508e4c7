//! Catalogue entries, each of which describes one kind of request.

use {
    jujubeline_core::{Class, EntryName, ServiceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What the owner of a kind of request prefers under overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preference {
    /// High goodput of whole requests.
    #[default]
    Goodput,
    /// Short recovery after overload.
    Recovery,
}

/// Value of [`Entry::method`] that matches every method.
pub const ANY_METHOD: &str = "*";

/// A service and its share of the requests of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Size of the share, relative to the weights of the other services.
    pub weight: u32,
}

/// A catalogue entry: a kind of request, its owner, its class of importance and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a kind of request"
)]
pub struct Entry {
    /// Unique name.
    pub name: EntryName,
    /// Person or team responsible for the entry.
    pub owner: String,
    /// Host that a request must name; `None` matches any host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// HTTP method in upper case, or [`ANY_METHOD`].
    pub method: String,
    /// Prefix that a path must have; the entry with the longest matching prefix wins.
    pub path_prefix: String,
    /// Service whose targets run the requests.
    pub service: ServiceName,
    /// Services among which requests are divided by weight. When empty, all requests go to `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
    /// Class of importance.
    pub class: Class,
    /// Time limit for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of retries for one root request over the whole call graph.
    pub retry_bound: u32,
    /// Maximum number of targets that one node may send a request to; `None` leaves only the retry bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Maximum number of requests of this kind in flight at each target instance.
    pub concurrency: u32,
    /// Whether a request must run at most once.
    #[serde(default)]
    pub at_most_once: bool,
    /// Whether each at-most-once request carries an idempotency key, which its caller repeats with each repetition.
    /// Without keys a repetition by the caller is a separate request, and only the nodes must not repeat it.
    #[serde(default = "keyed", skip_serializing_if = "is_true")]
    pub keyed: bool,
    /// Whether requests need no key, although the catalogue has workspaces.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
    /// What to prefer under overload.
    #[serde(default)]
    pub prefer: Preference,
    /// Whether the entry could not be read in full, so that its requests are refused. They must not fall through to an
    /// entry with a shorter prefix, which may name another service.
    #[serde(skip)]
    pub unreadable: bool,
}

impl Entry {
    /// Time limit for the complete answer.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Whether a request with this host, method and path matches the entry.
    #[must_use]
    pub fn matches(&self, host: Option<&str>, method: &str, path: &str) -> bool {
        let host_fits = self.host.is_none() || self.host.as_deref() == host;
        let method_fits = self.method == ANY_METHOD || self.method == method;
        host_fits && method_fits && path.starts_with(&self.path_prefix)
    }

    /// Whether a request must be claimed under its idempotency key before it may run.
    #[must_use]
    pub const fn needs_claim(&self) -> bool {
        self.at_most_once && self.keyed
    }

    /// The service for a request, where `position` selects a share of the split and lies in 0.0 to 1.0, excluding 1.0.
    #[must_use]
    pub fn service_at(&self, position: f64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        #[expect(
            clippy::cast_precision_loss,
            reason = "weights are far below the precision of a float"
        )]
        let mut remaining = position * total as f64;
        for share in &self.split {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        &self.service
    }
}

const fn keyed() -> bool {
    true
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_true(flag: &bool) -> bool {
    *flag
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}
