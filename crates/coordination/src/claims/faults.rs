//! Protocol faults that tests inject, to show that the exploration detects them.

/// A deliberate fault in the protocol.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// The gate starts runs of any epoch.
    GateWithoutFenceCheck,
    /// The successor serves before all gates have accepted the fence.
    ServeBeforeAllFences,
    /// The gate resolves an attempt without a record as not run, and does not record the refusal.
    ResolveWithoutRecord,
    /// The fence has no floor, so a restarted gate accepts attempts that were meant for its predecessor.
    FenceWithoutFloor,
    /// The owner states "not run" from its own table, without confirmation by a gate.
    NotRunWithoutConfirmation,
    /// The owner counts a refused fence as accepted if the reply names its own epoch.
    RefusedFenceCountsAsAccepted,
    /// The owner authorises its own gate outside solo epochs.
    OwnGateAllowed,
}
