//! Results of the membership state machine: events, datagrams and counters.

use {
    super::{CrashReport, Datagram},
    derive_more::Display,
    jujubeline_core::NodeId,
    std::net::SocketAddr,
};

/// A change of the member table, or a crash report.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum MemberEvent {
    /// A member appeared for the first time or after it had gone.
    #[display("{_0} joined")]
    Joined(NodeId),
    /// A member changed its description.
    #[display("{_0} changed")]
    Changed(NodeId),
    /// A member did not answer probes.
    #[display("{_0} is suspect")]
    Suspected(NodeId),
    /// A member is part of a correlated failure.
    #[display("{_0} is unreachable")]
    Unreachable(NodeId),
    /// A suspect or unreachable member is alive.
    #[display("{_0} is back")]
    Returned(NodeId),
    /// A member died.
    #[display("{_0} is dead")]
    Died(NodeId),
    /// A member left by its own announcement.
    #[display("{_0} left")]
    Left(NodeId),
    /// This node changed its own description to refute a claim or to exceed a higher incarnation under its name.
    #[display("this node refuted a claim")]
    Refuted,
    /// A crash report arrived that is new or newly cleared.
    #[display("crash {:016x} with fingerprint {:016x}", _0.crash, _0.fingerprint)]
    Crash(CrashReport),
}

/// Datagrams to send and events that occurred in a call.
#[derive(Debug, Clone, Default)]
pub struct Output {
    /// Datagrams, each with the control address of its receiver.
    pub datagrams: Vec<(SocketAddr, Datagram)>,
    /// Events, in the order in which they occurred.
    pub events: Vec<MemberEvent>,
}

/// Counts since the start of the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes sent in datagrams, headers included; an upper bound.
    pub sent_bytes: u64,
    /// Updates in the queue.
    pub updates_waiting: usize,
    /// Updates dropped because the queue was full.
    pub updates_dropped: u64,
    /// Members refused because the table was full.
    pub members_refused: u64,
    /// Ping requests refused because too many were in progress.
    pub relays_refused: u64,
    /// Hints not sent because of the byte budget.
    pub hints_over_budget: u64,
    /// Crash reports refused because the table was full.
    pub crash_reports_refused: u64,
    /// Score of the node's own health; 0 is healthy.
    pub local_health: u32,
}
