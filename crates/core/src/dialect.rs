//! Headers, paths and conventions that differ between deployments.

use {
    crate::{StatedRate, TargetNotice, TargetStatement, header_names},
    http::{HeaderMap, HeaderName, Method, StatusCode},
};

/// Load that a target reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that the target is running.
    pub running: u32,
    /// Requests queued at the target.
    pub waiting: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// How long work takes at the target at this moment, in percent of the usual time; `None` when it is not stated.
    pub pace_percent: Option<u32>,
}

/// Ids of the attempts on whose behalf an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParentAttempt<'a> {
    /// Id of the attempt of the client at the root of the call chain.
    pub root: &'a str,
    /// Id of the attempt that the calling target is running.
    pub parent: &'a str,
}

/// Decodes a call to the control address from its method, path and body: `None` when targets make no such call, an
/// error when the call is malformed.
pub type ReadNotice = fn(&Method, &str, &[u8]) -> Option<Result<TargetNotice, String>>;

/// Conventions on top of plain HTTP that the callers and targets of a deployment use.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a deployment"
)]
pub struct Dialect {
    /// Header with the time that the caller still waits for the answer, in milliseconds.
    pub deadline: HeaderName,
    /// Header with the id of one attempt of a caller. The target copies it into its response.
    pub attempt_id: Option<HeaderName>,
    /// Derives from the id of an attempt by a target the attempt on whose behalf it is made, and the root attempt.
    /// `None` for an attempt by a client.
    pub read_parent: fn(&str) -> Option<ParentAttempt<'_>>,
    /// Header that names the service of the instance that originated the request.
    pub caller_service: Option<HeaderName>,
    /// Header with the key of a workspace. It reaches no target.
    pub workspace_key: HeaderName,
    /// Header that names the workspace to which a request belongs. Only nodes set it.
    pub workspace: HeaderName,
    /// Header that names the only process that may run the request.
    pub target_process: Option<HeaderName>,
    /// Header with which a target names its process in the response to a health check.
    pub probe_process: Option<HeaderName>,
    /// Whether targets copy the headers that identify an exchange into the calls that they make.
    pub propagates_exchange_headers: bool,
    /// Whether a target may delimit the body of a response by closing its connection.
    pub allows_close_delimited: bool,
    /// Whether the slots that a target announces are exact, so that its concurrency limit need not be estimated.
    pub slots_are_exact: bool,
    /// Whether callers conclude from the status of a refusal alone that the request has not run.
    pub status_proves_not_run: bool,
    /// Whether `Retry-After` may hold fractions of a second.
    pub has_fractional_retry_after: bool,
    /// Path of the readiness probe that the deployment sends to the node.
    pub ready_path: &'static str,
    /// Whether a response states that the target did not run the request.
    pub is_shed: fn(StatusCode, &HeaderMap) -> bool,
    /// Reads the load that the target reports in a response; `None` when it is absent or malformed.
    pub read_load: fn(&HeaderMap) -> Option<TargetLoad>,
    /// Reads what the target states about itself in a response.
    pub read_statement: fn(&HeaderMap) -> TargetStatement,
    /// Decodes a heartbeat or leave call of a target to the control address.
    pub read_notice: ReadNotice,
}

impl Default for Dialect {
    /// The native protocol, as described in `docs/callers.md` and `docs/targets.md`.
    fn default() -> Self {
        Self {
            deadline: HeaderName::from_static(header_names::DEADLINE_MS),
            attempt_id: None,
            read_parent: |_| None,
            caller_service: None,
            workspace_key: HeaderName::from_static(header_names::WORKSPACE_KEY),
            workspace: HeaderName::from_static(header_names::WORKSPACE),
            target_process: None,
            probe_process: None,
            propagates_exchange_headers: true,
            allows_close_delimited: false,
            slots_are_exact: false,
            status_proves_not_run: false,
            has_fractional_retry_after: false,
            ready_path: "/readyz",
            is_shed: states_not_run,
            read_load: |_| None,
            read_statement,
            read_notice: |_, _, _| None,
        }
    }
}

/// Whether a response states that the request has not run. A successful response that states so contradicts itself and
/// counts as run.
fn states_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let outcome = headers
        .get(header_names::OUTCOME)
        .and_then(|value| value.to_str().ok())
        .and_then(crate::Outcome::from_label);
    outcome == Some(crate::Outcome::NotRun)
        && (status.is_client_error() || status.is_server_error())
}

/// Targets of the native protocol announce that they leave, so their responses state only a limit.
fn read_statement(headers: &HeaderMap) -> TargetStatement {
    let limit = headers.get(header_names::RATE_LIMIT);
    TargetStatement {
        rate: StatedRate::parse(limit.map(|value| value.to_str().unwrap_or_default())),
        is_leaving: false,
    }
}
