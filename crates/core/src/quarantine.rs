//! Bounds of the quarantine of requests that crash targets, shared by the decision and the spread of reports.

use std::time::Duration;

/// Number of distinct crashes, with the request in flight, after which it is quarantined.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// Time after the last recorded crash for which a quarantined request is refused and a suspect stays under suspicion.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);
