//! Errors of the tool and their exit codes.

use {
    derive_more::{Display, Error},
    error_stack::{AttachmentKind, FrameKind, Report},
    jujubeline_core::{Peer, Step, StepError},
};

/// Why a command did not succeed. Each variant has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CliError {
    /// The command failed without a change to the catalogue.
    #[display("failed")]
    Failed,
    /// The command line or a setting is missing or invalid.
    #[display("usage")]
    Usage,
    /// The catalogue file is invalid, or the catalogue after the change would be invalid or too large.
    #[display("invalid catalogue")]
    InvalidCatalogue,
    /// Another change to the catalogue was accepted first.
    #[display("conflict")]
    Conflict,
    /// The tool could not determine whether the change was accepted.
    #[display("outcome unknown")]
    OutcomeUnknown,
    /// The change was accepted, but was not reported by all live members in time.
    #[display("not yet in effect everywhere")]
    NotInEffect,
}

/// All exit codes with their meanings, as the help lists them.
pub const EXIT_CODES: [(u8, &str); 7] = [
    (0, "done"),
    (1, "failed, the catalogue was not changed"),
    (2, "wrong command line or setting"),
    (3, "invalid catalogue"),
    (4, "conflict with another change"),
    (
        5,
        "outcome unknown: look for the change id with `jujubeline catalogue history`",
    ),
    (6, "accepted, but not yet in effect everywhere"),
];

impl CliError {
    /// Exit code of a process that ends with this error.
    #[must_use]
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::Failed => 1,
            Self::Usage => 2,
            Self::InvalidCatalogue => 3,
            Self::Conflict => 4,
            Self::OutcomeUnknown => 5,
            Self::NotInEffect => 6,
        }
    }

    /// Creates a report with the step and the peer at which the error occurred.
    pub fn at(self, step: Step, peer: Peer, detail: impl Into<String>) -> Report<Self> {
        Report::new(StepError::new(step, peer, detail)).change_context(self)
    }
}

/// Formats the contexts and printable attachments of a report on one line, outermost first.
#[must_use]
pub fn one_line(report: &Report<CliError>) -> String {
    let parts: Vec<String> = report
        .frames()
        .filter_map(|frame| match frame.kind() {
            FrameKind::Context(context) => Some(context.to_string()),
            FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
            FrameKind::Attachment(_) => None,
        })
        .collect();
    parts.join(": ")
}
