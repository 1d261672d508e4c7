//! Faults that the relay injects.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults to inject. The default forwards everything without delay.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each TCP chunk, in both directions, and of each datagram, in milliseconds.
    pub delay_ms: u64,
    /// Closes open and new connections and drops all datagrams.
    pub cut: bool,
    /// Closes the open connections once, when the faults are set.
    pub reset_open: bool,
    /// Forwards nothing more on the connections that are open when the faults are set, and leaves them open.
    pub silence_open: bool,
    /// Closes each new connection after this many bytes from upstream.
    pub cut_after_bytes: Option<u64>,
    /// Drops every n-th datagram.
    pub drop_every: Option<u64>,
}

impl Faults {
    /// Returns `delay_ms` as a duration.
    #[must_use]
    pub const fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
