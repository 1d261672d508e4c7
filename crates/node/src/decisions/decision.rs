//! Content of a line of the decision log about a request.

use {
    http::HeaderValue,
    jujubeline_core::{Class, Outcome, RootId},
    serde::Serialize,
    std::borrow::Cow,
};

/// Identifies a request in the log by the id that its caller gave to the attempt, or else by the root id.
pub fn request_name(attempt: Option<&HeaderValue>, root: RootId) -> Cow<'_, str> {
    attempt
        .and_then(|attempt| attempt.to_str().ok())
        .map_or_else(|| Cow::Owned(format!("{root:032x}")), Cow::Borrowed)
}

/// A decision about one request, with the inputs that decided it.
#[derive(Debug, Default, Serialize)]
pub struct Decision<'a> {
    /// The decision: `refused`, `retried`, `not_retried`, `gate_refused` or `attempt_failed`.
    pub decision: &'static str,
    /// Id that the caller gave to the attempt; the root id where callers give none.
    pub request: &'a str,
    /// Name of the catalogue entry; omitted for a request that is refused by the checks at its arrival.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub entry: &'a str,
    /// Class of the entry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// Service whose targets may run the request.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub service: &'a str,
    /// Node of the target that was tried, or process of the local target at the gate.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub target: &'a str,
    /// Reason for the refusal, for the retry or against the retry.
    pub reason: &'a str,
    /// Outcome of the request as far as it is known; omitted where it does not apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Time since the request arrived at this node, in milliseconds.
    pub age_ms: u64,
    /// Time left before the deadline, in milliseconds.
    pub left_ms: u64,
    /// Revision of the catalogue in effect.
    pub catalogue_revision: u64,
    /// Requests running at the local target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// Requests queued for the local target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
    /// Concurrency limit of the local target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// Admission level of the gate: 512 admits everything.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<u16>,
}
