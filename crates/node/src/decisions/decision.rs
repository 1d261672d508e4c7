//! What a line of the decision log says.

use {
    http::HeaderValue,
    jujubeline_core::{Class, Outcome, RootId},
    serde::Serialize,
    std::borrow::Cow,
};

/// Name of a request in the log: the id that its caller gave to the attempt, or the root id.
pub fn request_name(attempt: Option<&HeaderValue>, root: RootId) -> Cow<'_, str> {
    attempt
        .and_then(|attempt| attempt.to_str().ok())
        .map_or_else(|| Cow::Owned(format!("{root:032x}")), Cow::Borrowed)
}

/// A decision about one request, with the inputs that decided it.
#[derive(Debug, Default, Serialize)]
pub struct Decision<'a> {
    /// What was decided: `refused`, `retried`, `not_retried`, `gate_refused`, `broken_off`.
    pub decision: &'static str,
    /// Id that the caller gave to the attempt; the root id where callers give none.
    pub request: &'a str,
    /// Catalogue entry.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub entry: &'a str,
    /// Class of the entry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// Service that shall run the request.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub service: &'a str,
    /// Instance of the target that was asked.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub target: &'a str,
    /// Reason of the refusal, of the retry or of what stopped it.
    pub reason: &'a str,
    /// What is known about the execution.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Time since the request arrived at this node, in milliseconds.
    pub age_ms: u64,
    /// Time that was left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Revision of the catalogue that was used.
    pub catalogue_revision: u64,
    /// Requests that ran at the local target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// Requests that waited for the local target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
    /// Requests that may run at the local target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// Admission level of the gate: 512 admits everything.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<u16>,
}
