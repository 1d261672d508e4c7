//! When a refused caller should come back.

use {
    jujubeline_core::{ROOT_SLOTS, RootId, root_slot},
    std::time::Duration,
};

/// Shortest suggestion: the time in which levels and queues change.
const SHORTEST: Duration = Duration::from_millis(200);
/// Longest suggestion. A surge usually outlasts it, and a later return misses most response-time goals.
const LONGEST: Duration = Duration::from_millis(1_200);
/// Part of the remaining time that a suggestion may take. Callers ignore one that leaves them too little.
const REMAINING_PART: u32 = 4;

/// Suggests a time to a caller that was refused in a surge.
///
/// Callers that are refused together return spread over the whole range, by their root request, so that they do not make
/// a surge of their own.
#[must_use]
pub fn return_after(remaining: Duration, root: RootId) -> Duration {
    let longest = (remaining / REMAINING_PART).min(LONGEST);
    let Some(range) = longest.checked_sub(SHORTEST) else {
        return longest;
    };
    SHORTEST + range * u32::from(root_slot(root)) / u32::from(ROOT_SLOTS)
}
