//! Context that an entry node sends with a request to the gate.

use {
    super::claim_header::ClaimHeader,
    jujubeline_coordination::TargetReport,
    jujubeline_core::{Class, EntryName, RootId, ServiceName, WorkspaceName},
    std::time::{Duration, Instant},
};

/// Time subtracted from the remaining time at each hop, so that the response can still travel back before the deadline.
pub const RETURN_ALLOWANCE: Duration = Duration::from_millis(1);

/// Time left before a deadline, minus [`RETURN_ALLOWANCE`]; zero when the deadline has passed.
#[must_use]
pub fn remaining(deadline: Instant, now: Instant) -> Duration {
    deadline
        .saturating_duration_since(now)
        .saturating_sub(RETURN_ALLOWANCE)
}

/// Context of a request, sent from the entry node to the gate in headers.
#[derive(Debug, Clone)]
pub struct ExchangeContext {
    /// Time by which the response must have arrived in full.
    pub deadline: Instant,
    /// Id of the root request.
    pub root: RootId,
    /// Class of the request; lower classes are shed first.
    pub class: Class,
    /// Name of the catalogue entry that the request matched.
    pub entry: EntryName,
    /// Service whose targets may run the request.
    pub service: ServiceName,
    /// Workspace to which the request belongs; none if the catalogue has no workspaces or the entry is public.
    pub workspace: Option<WorkspaceName>,
    /// Whether the request is a call that a target makes on behalf of an exchange in flight.
    pub is_call: bool,
    /// Whether the request may run more than once, so that a retry needs no proof that it has not run.
    pub may_repeat: bool,
    /// Retries that this hop may still use or pass on.
    pub retries: u32,
    /// Whether the entry node can try another target if this one has no room.
    pub has_alternative: bool,
    /// Claim under which at-most-once work runs; none for other requests.
    pub claim: Option<ClaimHeader>,
    /// What the entry node last heard about the target, for a gate that has restarted since.
    pub report: Option<TargetReport>,
}

impl ExchangeContext {
    /// Time left before the deadline, minus `RETURN_ALLOWANCE`; zero when the deadline has passed.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        remaining(self.deadline, now)
    }
}
