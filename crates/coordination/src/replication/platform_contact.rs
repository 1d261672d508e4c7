//! Whether a node can read the platform.

use std::time::{Duration, Instant};

/// Time between two probes of the platform by a node that watches it. The waiting call of a watch is answered after 3 s
/// when nothing changes, but a change may take only 2 s.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Time limit of a probe.
pub const PROBE_DEADLINE: Duration = Duration::from_millis(400);

/// Time after a failed probe for which a node states that it cannot read the platform, and until a node that watched in
/// place of another probes again. It bounds the updates that a platform with slow answers causes.
pub const UNREACHABLE_TIME: Duration = Duration::from_secs(5);

/// Decides whether a node states that it cannot read the platform. One failed probe is enough, since the statement only
/// adds watchers.
#[derive(Debug, Clone, Default)]
pub struct PlatformContact {
    last_failure: Option<Instant>,
}

impl PlatformContact {
    /// Records whether the platform answered. Returns whether the node states that it cannot read it.
    pub fn record_probe(&mut self, answered: bool, now: Instant) -> bool {
        if !answered {
            self.last_failure = Some(now);
        }
        self.last_failure
            .is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE_TIME)
    }
}
