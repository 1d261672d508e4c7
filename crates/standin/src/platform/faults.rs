//! Faults of the stand-in.

use serde::{Deserialize, Serialize};

/// How the platform is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is not down.
    #[default]
    No,
    /// Each call gets status 503 and has no effect.
    Unavailable,
    /// Each connection is closed when a call arrives on it; the call has no effect.
    Closed,
    /// Calls get no answer and have no effect; watches deliver nothing.
    Silent,
}

/// Faults in force. The default is none.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether and how the platform is down. `Unavailable` and `Closed` also end watches.
    pub down: Down,
    /// Delay before a call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay between the effect of a call and its answer, in milliseconds.
    pub late_ms: u64,
    /// Loses the answer of every n-th write after its effect; 0 loses none.
    pub lose_every: u64,
    /// Loses the answers of the next k writes after their effect.
    pub lose_next: u64,
    /// Loses the next k writes before their effect.
    pub drop_next: u64,
    /// Reads see the objects as they were this many versions ago.
    pub stale_versions: u64,
    /// Watches get no answer.
    pub silent_watches: bool,
    /// Closes the connections of all running watches once, when the faults are set.
    pub end_watches: bool,
    /// Forgets the history of changes once, when the faults are set, so that older watches expire.
    pub forget_history: bool,
}
