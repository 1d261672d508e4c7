//! Names of HTTP headers.

/// Header names of the protocols towards callers, targets and between nodes, all lower case.
pub mod names {
    /// Remaining time of a request, in milliseconds.
    pub const DEADLINE_MS: &str = "jujubeline-deadline-ms";
    /// Id of the root request, 32 hexadecimal digits.
    pub const ROOT: &str = "jujubeline-root";
    /// Id of the inbound exchange at the node beside the calling target, 16 hexadecimal digits.
    pub const HOP: &str = "jujubeline-hop";
    /// Retry allowance granted to a hop.
    pub const RETRIES: &str = "jujubeline-retries";
    /// Retry allowance returned with an answer.
    pub const RETRIES_UNUSED: &str = "jujubeline-retries-unused";
    /// Present between nodes if the request may run more than once.
    pub const MAY_REPEAT: &str = "jujubeline-may-repeat";
    /// Service whose target is to run the request, between nodes.
    pub const SERVICE: &str = "jujubeline-service";
    /// Present between nodes if a target makes the request on behalf of an exchange in flight.
    pub const CALL: &str = "jujubeline-call";
    /// Present between nodes if another target can be tried when this one has no room.
    pub const ALTERNATIVE: &str = "jujubeline-alternative";
    /// Label of the request's class.
    pub const CLASS: &str = "jujubeline-class";
    /// Name of the request's catalogue entry.
    pub const ENTRY: &str = "jujubeline-entry";
    /// Claim of at-most-once work, as `shard.epoch.attempt`.
    pub const CLAIM: &str = "jujubeline-claim";
    /// Admission level of the gate.
    pub const LEVEL: &str = "jujubeline-level";
    /// Outcome of a request: `not_run`, `ran` or `unknown`.
    pub const OUTCOME: &str = "jujubeline-outcome";
    /// Label of the reason of a refusal, between nodes.
    pub const REASON: &str = "jujubeline-reason";
    /// Load report of a target in the ORCA text format.
    pub const LOAD: &str = "endpoint-load-metrics";
    /// Requests per second that a target accepts from all nodes together.
    pub const RATE_LIMIT: &str = "jujubeline-rate-limit";
    /// What a target states about itself, between nodes.
    pub const TARGET_REPORT: &str = "jujubeline-target-report";
    /// Key of a workspace, from a caller.
    pub const WORKSPACE_KEY: &str = "jujubeline-workspace-key";
    /// Name of the workspace of a request, between nodes and to targets.
    pub const WORKSPACE: &str = "jujubeline-workspace";
    /// Key of at-most-once work, after the Idempotency-Key draft.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}
