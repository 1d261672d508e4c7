//! Workspaces: the customers whose callers share the targets, with their keys, priorities and allowances.

use {
    crate::is_valid_name,
    derive_more::{Display, Error},
    jujubeline_core::{KeyDigest, Revision, WorkspaceName},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Maximum number of workspaces in a catalogue that a node accepts.
pub const MAX_WORKSPACES: usize = 16_384;

/// Maximum number of keys of one workspace.
pub const MAX_WORKSPACE_KEYS: usize = 64;

/// Maximum number of keys of all workspaces: 1 MiB of digests in a message between nodes.
pub const MAX_KEYS: usize = 65_536;

/// Highest rate of an allowance, in requests per second.
pub const MAX_RATE_PER_S: f64 = 1_000_000.0;

/// Largest burst of an allowance, in requests.
pub const MAX_BURST: u32 = 10_000_000;

/// Lowest priority that a workspace can have; 0 is the highest.
pub const MAX_PRIORITY: u32 = 1_000;

/// A rate in thousandths of a request per second, written as requests per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "f64", try_from = "f64")]
pub struct Rate(u64);

/// Error for a number that is not the rate of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a rate from 0 to {MAX_RATE_PER_S} requests per second")]
pub struct InvalidRate;

/// Requests that a workspace may send through all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Sustained rate.
    pub rate_per_s: Rate,
    /// Requests that may be sent at once after a pause, in addition to the rate.
    #[serde(default)]
    pub burst: u32,
}

/// A customer whose callers identify themselves by its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name, which targets receive with each request.
    pub name: WorkspaceName,
    /// Digests of its keys.
    #[serde(default)]
    pub keys_sha256: Vec<KeyDigest>,
    /// Priority among workspaces, 0 being the highest. It precedes the class of the entry.
    #[serde(default)]
    pub priority: u32,
    /// Limit of its requests; `None` means that they are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowance: Option<Allowance>,
}

impl Rate {
    /// Requests per second.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "rates are far below the precision of a float"
    )]
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Thousandths of a request per second, for messages between nodes.
    #[must_use]
    pub const fn thousandths(self) -> u64 {
        self.0
    }

    /// The rate of this many thousandths of a request per second.
    #[must_use]
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }
}

impl TryFrom<f64> for Rate {
    type Error = InvalidRate;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        if !(0.0..=MAX_RATE_PER_S).contains(&per_s) {
            return Err(InvalidRate);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked above"
        )]
        Ok(Self((per_s * 1_000.0).round() as u64))
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.per_s()
    }
}

impl Workspace {
    /// The first violation of a rule for a single workspace, as field and detail. No detail shows a key.
    #[must_use]
    pub fn problem(&self) -> Option<(&'static str, String)> {
        if !is_valid_name(&self.name) || self.name.is_empty() {
            return Some(("name", "is not the name of a workspace".to_owned()));
        }
        if self.keys_sha256.len() > MAX_WORKSPACE_KEYS {
            let detail = format!("has more than {MAX_WORKSPACE_KEYS} keys");
            return Some(("keys_sha256", detail));
        }
        if self.priority > MAX_PRIORITY {
            let detail = format!("{} is not in 0 to {MAX_PRIORITY}", self.priority);
            return Some(("priority", detail));
        }
        let allowance = self.allowance?;
        if allowance.rate_per_s.per_s() > MAX_RATE_PER_S {
            return Some(("rate_per_s", InvalidRate.to_string()));
        }
        if allowance.burst > MAX_BURST {
            let detail = format!("{} is not in 0 to {MAX_BURST}", allowance.burst);
            return Some(("burst", detail));
        }
        None
    }
}

/// A key that two workspaces hold, by the names of the workspaces.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("workspaces {first:?} and {second:?} hold the same key")]
pub struct SharedKey {
    /// The workspace that is listed first.
    pub first: WorkspaceName,
    /// The other workspace. It is the same one if it lists the key twice.
    pub second: WorkspaceName,
}

/// All keys that occur more than once.
#[must_use]
pub fn shared_keys<'a>(workspaces: impl IntoIterator<Item = &'a Workspace>) -> Vec<SharedKey> {
    let mut holders: HashMap<KeyDigest, &WorkspaceName> = HashMap::new();
    let mut shared = Vec::new();
    for workspace in workspaces {
        for key in &workspace.keys_sha256 {
            if let Some(first) = holders.insert(*key, &workspace.name) {
                shared.push(SharedKey {
                    first: first.clone(),
                    second: workspace.name.clone(),
                });
            }
        }
    }
    shared
}

/// Part of a difference between two revisions that concerns workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceChanges {
    /// Whether requests need a key at the end of the difference.
    #[serde(default)]
    pub keys_required: bool,
    /// Workspaces set, each with the revision that last changed it.
    #[serde(default)]
    pub set: Vec<(Revision, Workspace)>,
    /// Workspaces removed, each with the revision that removed it.
    #[serde(default)]
    pub removed: Vec<(Revision, WorkspaceName)>,
}

impl WorkspaceChanges {
    /// Whether the catalogue has no workspaces and none has changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
