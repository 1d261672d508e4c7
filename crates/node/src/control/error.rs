//! Errors of the control plane.

use {
    derive_more::{Display, Error},
    error_stack::Report,
    jujubeline_core::{Peer, Step, StepError},
};

/// Why the control plane failed. The attached [`StepError`] names the step and the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ControlError {
    /// The control plane could not start.
    #[display("the control plane could not start")]
    Start,
    /// The control plane has stopped.
    #[display("the control plane has stopped")]
    Stopped,
    /// A call to another node was not sent, so it certainly had no effect.
    #[display("the call to the node was not sent")]
    NotSent,
    /// A call to another node was sent and gave no valid reply, so it may have had an effect.
    #[display("the call to the node gave no reply")]
    CallLost,
    /// A catalogue change or difference was not applied.
    #[display("the catalogue change was not applied")]
    Catalogue,
}

/// Result of an operation of the control plane.
pub type ControlResult<T> = Result<T, Report<ControlError>>;

/// Builds a report of `error` with a [`StepError`] that names the step, the peer and the detail.
pub(super) fn report(
    error: ControlError,
    step: Step,
    peer: Peer,
    detail: impl Into<String>,
) -> Report<ControlError> {
    Report::new(StepError::new(step, peer, detail)).change_context(error)
}
