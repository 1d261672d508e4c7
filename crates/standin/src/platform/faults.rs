//! Faults that the platform stand-in injects.

use serde::{Deserialize, Serialize};

/// Kind of outage of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    No,
    /// Each call is answered with status 503 and has no effect.
    Unavailable,
    /// Each connection is closed when a call arrives on it; the call has no effect.
    Closed,
    /// Calls get no response and have no effect; watches deliver no changes.
    Silent,
}

/// Faults to inject. The default injects none. Read and replaced as JSON at `/faults`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the platform. `Unavailable` and `Closed` also end watches in progress.
    pub down: Outage,
    /// Delay before a call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay between the effect of a call and its response, in milliseconds.
    pub late_ms: u64,
    /// Every n-th write takes effect, but its connection is closed without a response; 0 turns the fault off.
    pub lose_every: u64,
    /// Number of further writes that take effect, but whose connection is closed without a response.
    pub lose_next: u64,
    /// Number of further writes that have no effect and whose connection is closed without a response.
    pub drop_next: u64,
    /// Reads return the objects as they were this many versions ago.
    pub stale_versions: u64,
    /// Watches get no response.
    pub silent_watches: bool,
    /// Closes the connections of all watches in progress once, when the faults are set.
    pub end_watches: bool,
    /// Discards the history of changes once, when the faults are set, so that watches from an earlier version expire.
    pub forget_history: bool,
    /// JSON text of an object that another writer left; it comes first in each listing and in each answer to a watch that
    /// has events. It may be text that this stand-in could not store.
    pub odd_object: String,
}
