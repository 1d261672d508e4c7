//! Heartbeats and leave calls that a target sends to the node beside it.

use {
    crate::{ProcessId, ServiceName},
    std::{net::SocketAddr, time::Duration},
};

/// State that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Accepts new work, and is slower than usual for this remaining time.
    Ready(Duration),
    /// Accepts no new work and finishes the requests that it is running.
    Draining,
}

/// Periodic report of a target's address, capacity and state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the target's process.
    pub process: ProcessId,
    /// Start of the process, in milliseconds since the Unix epoch. It tells processes with the same id apart and does not
    /// order them, because the clock may be set back between two starts.
    pub born_ms: u64,
    /// Number of the heartbeat within the process. A heartbeat with a lower number than an earlier one was delayed.
    pub sequence: u64,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// State that the target announces.
    pub state: AnnouncedState,
}

/// A call that a target makes to the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetNotice {
    /// The process is alive.
    Heartbeat(Heartbeat),
    /// The process shuts down and will not return.
    Leave {
        /// Id of the target's process.
        process: ProcessId,
        /// Start of the process, in milliseconds since the Unix epoch, if the call states it.
        born_ms: Option<u64>,
    },
}
