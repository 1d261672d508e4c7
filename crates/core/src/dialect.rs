//! Headers and paths that differ between deployments.

use {
    crate::{TargetNotice, header_names},
    http::{HeaderMap, HeaderName, Method, StatusCode},
};

/// Load that a target states in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Requests that can run together.
    pub slots: u32,
}

/// Attempts that an attempt belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParentAttempt<'a> {
    /// The attempt of the client.
    pub root: &'a str,
    /// The attempt that the calling target runs.
    pub parent: &'a str,
}

/// Reads a call of the control address by its method, path and body.
pub type ReadNotice = fn(&Method, &str, &[u8]) -> Option<Result<TargetNotice, String>>;

/// What callers and targets of a deployment speak beside plain HTTP.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a deployment"
)]
pub struct Dialect {
    /// Header with the time that a caller still waits, in milliseconds.
    pub deadline: HeaderName,
    /// Header with the id of one attempt of a caller, which the target repeats in its response.
    pub attempt_id: Option<HeaderName>,
    /// Id of the attempt on whose behalf a target makes the attempt with this id, and the id of the root attempt; none for
    /// an attempt of a client.
    pub read_parent: fn(&str) -> Option<ParentAttempt<'_>>,
    /// Header that names the service of the instance where a request began.
    pub caller_service: Option<HeaderName>,
    /// Header that names the only process that may run the request.
    pub target_process: Option<HeaderName>,
    /// Header of a target's response to a health check that names the process that answers.
    pub answering_process: Option<HeaderName>,
    /// Whether targets copy the headers that identify an exchange to their own calls.
    pub propagates_exchange: bool,
    /// Whether a target may end a response by closing its connection.
    pub allows_unframed: bool,
    /// Whether the slots that a target announces are exact, so that no concurrency limit has to be learned.
    pub slots_are_exact: bool,
    /// Whether the status of a refusal alone tells callers that a request has not run.
    pub promises_by_status: bool,
    /// Whether `Retry-After` may hold fractions of a second.
    pub has_fractional_retry_after: bool,
    /// Path at which the deployment asks whether the node is ready.
    pub ready_path: &'static str,
    /// Whether a response states that the target did not run the request.
    pub is_shed: fn(StatusCode, &HeaderMap) -> bool,
    /// The load that a response states.
    pub read_load: fn(&HeaderMap) -> Option<TargetLoad>,
    /// What a target says about itself with a call of the control address; none when the call is of another kind.
    pub read_notice: ReadNotice,
}

impl Default for Dialect {
    /// The project's own protocol, as described in `docs/callers.md` and `docs/targets.md`.
    fn default() -> Self {
        Self {
            deadline: HeaderName::from_static(header_names::DEADLINE_MS),
            attempt_id: None,
            read_parent: |_| None,
            caller_service: None,
            target_process: None,
            answering_process: None,
            propagates_exchange: true,
            allows_unframed: false,
            slots_are_exact: false,
            promises_by_status: false,
            has_fractional_retry_after: false,
            ready_path: "/readyz",
            is_shed: states_not_run,
            read_load: |_| None,
            read_notice: |_, _, _| None,
        }
    }
}

/// A successful response with the outcome header contradicts itself and counts as run.
fn states_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let outcome = headers
        .get(header_names::OUTCOME)
        .and_then(|value| value.to_str().ok())
        .and_then(crate::Outcome::from_label);
    outcome == Some(crate::Outcome::NotRun)
        && (status.is_client_error() || status.is_server_error())
}
