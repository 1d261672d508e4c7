//! What a target says about itself.

use {
    crate::{ProcessId, ServiceName},
    std::{net::SocketAddr, time::Duration},
};

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Takes new work, and is slower than usual for this long.
    Ready(Duration),
    /// Takes no new work and finishes what it has.
    Draining,
}

/// A heartbeat of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the target's process.
    pub process: ProcessId,
    /// Start of the process, in milliseconds since the Unix epoch. A later start replaces an earlier one.
    pub born_ms: u64,
    /// Number of the heartbeat within the process; a lower one was delayed.
    pub sequence: u64,
    /// Service of the target.
    pub service: ServiceName,
    /// Where the target listens.
    pub address: SocketAddr,
    /// Requests that it can run together.
    pub slots: u32,
    /// Its state.
    pub state: AnnouncedState,
}

/// A call that a target makes to the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetNotice {
    /// The target is there.
    Heartbeat(Heartbeat),
    /// The process leaves and will not come back.
    Leave {
        /// Id of the target's process.
        process: ProcessId,
        /// Start of the process, in milliseconds since the Unix epoch, if the call states it.
        born_ms: Option<u64>,
    },
}
