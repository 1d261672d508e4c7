//! Suggested delay before a refused caller retries.

use {
    jujubeline_core::{ROOT_SLOTS, RootId, root_slot},
    std::time::Duration,
};

/// Shortest suggested delay, unless a quarter of the time to the deadline is shorter. It is the time scale on which
/// admission levels and queues change.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest suggested delay. A surge usually lasts longer, but a later retry would miss most response-time goals.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// Divisor of the time to the deadline that gives the longest suggested delay. Callers ignore a suggestion that leaves
/// them too little time.
const REMAINING_DIVISOR: u32 = 4;

/// Suggests a delay before the next attempt to a caller that was refused in a surge, given the time to its deadline.
///
/// The delay depends on the root request, so that the retries of callers that were refused together are spread over the
/// whole range and do not cause another surge.
#[must_use]
pub fn suggested_retry_after(remaining: Duration, root: RootId) -> Duration {
    let longest = (remaining / REMAINING_DIVISOR).min(MAX_RETRY_AFTER);
    let Some(range) = longest.checked_sub(MIN_RETRY_AFTER) else {
        return longest;
    };
    MIN_RETRY_AFTER + range * u32::from(root_slot(root)) / u32::from(ROOT_SLOTS)
}
