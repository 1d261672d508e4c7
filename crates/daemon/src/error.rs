//! Errors of the daemon.

use {
    derive_more::{Display, Error},
    error_stack::Report,
};

/// Stage in which the daemon failed; the report holds the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum DaemonError {
    /// A setting is missing or invalid.
    #[display("the settings are not valid")]
    Settings,
    /// The node could not start.
    #[display("the node could not start")]
    Start,
    /// The node did not stop cleanly.
    #[display("the node did not stop cleanly")]
    Stop,
}

/// Result whose error is a report on a [`DaemonError`].
pub type DaemonResult<T> = Result<T, Report<DaemonError>>;
