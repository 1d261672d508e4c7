//! Errors of a node.

use {
    derive_more::{Display, Error},
    error_stack::Report,
    jujubeline_core::{Peer, Step, StepError},
};

/// Why a node failed. The attached [`StepError`] names the step and the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NodeError {
    /// The node could not start.
    #[display("the node could not start")]
    Start,
    /// The node did not stop within the grace time.
    #[display("the node did not stop cleanly")]
    Stop,
}

/// Result of an operation of the node.
pub type NodeResult<T> = Result<T, Report<NodeError>>;

/// Builds a report of `error` with a [`StepError`] that names the step, the peer and the detail.
pub(crate) fn report(
    error: NodeError,
    step: Step,
    peer: Peer,
    detail: impl Into<String>,
) -> Report<NodeError> {
    Report::new(StepError::new(step, peer, detail)).change_context(error)
}
