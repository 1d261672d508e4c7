//! The change log at the platform: one object for each change, and a snapshot of the state.

use {
    crate::{CatalogueState, Change, Difference, StateError},
    derive_more::{Display, Error},
    jujubeline_core::Revision,
    serde::Deserialize,
    serde_json::Value,
};

/// Name of the object that holds the snapshot, a [`Difference`] that starts from 0.
pub const SNAPSHOT_NAME: &str = "snapshot";

/// A snapshot is written when this many changes have followed the previous snapshot.
pub const CHANGES_PER_SNAPSHOT: u64 = 64;

/// Number of changes before the snapshot that are retained, so that a slow reader finds no gap.
pub const RETAINED_CHANGES: u64 = 256;

const CHANGE_PREFIX: &str = "change-";
const CHANGE_DIGITS: usize = 12;

/// A change as it was read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedChange {
    /// Revision, from the name of the object.
    pub revision: Revision,
    /// The change, or why the object could not be read.
    pub change: Result<Change, String>,
}

/// A state that was rebuilt from a snapshot and changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Replay {
    /// The state after the last change.
    pub state: CatalogueState,
    /// Revisions of the invalid changes that were skipped, each with its problem.
    pub skipped: Vec<(Revision, String)>,
}

/// Why a state could not be rebuilt. After a gap the reader reads again later, the changes first and the snapshot last.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReplayError {
    /// Changes are missing, because they were removed between the two reads or because a read was stale.
    #[display("change {missing} is missing between the snapshot and change {next}")]
    Gap {
        /// First missing revision.
        missing: Revision,
        /// Next revision that is present.
        next: Revision,
    },
    /// The snapshot is invalid.
    #[display("the snapshot is invalid: {detail}")]
    Snapshot {
        /// What is wrong.
        detail: String,
    },
}

/// Name of the object that holds the change with this revision. Names sort in the order of their revisions.
#[must_use]
pub fn change_name(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{revision:0CHANGE_DIGITS$}")
}

/// Revision of the change in the object with this name; `None` when the name is not that of a change.
#[must_use]
pub fn revision_of_name(name: &str) -> Option<Revision> {
    let digits = name.strip_prefix(CHANGE_PREFIX)?;
    let canonical =
        digits.len() == CHANGE_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !canonical {
        return None;
    }
    digits.parse().ok().filter(|revision| *revision > 0)
}

/// Rebuilds the state from the snapshot and the changes, in any order.
///
/// A reader that lists the changes first and reads the snapshot second never finds a gap, because changes that the
/// snapshot does not cover are never removed. In the other order no gap arises while fewer than 128 changes are
/// accepted between the two reads: 256 are retained before the snapshot, which may lag by up to two periods of 64.
///
/// # Errors
///
/// When a change between the snapshot and the last change is missing, or when the snapshot is invalid.
pub fn replay(
    snapshot: Option<&Difference>,
    changes: &[LoggedChange],
) -> Result<Replay, ReplayError> {
    let mut replay = Replay::default();
    if let Some(snapshot) = snapshot {
        replay.apply_snapshot(snapshot)?;
    }
    let mut newer: Vec<_> = changes
        .iter()
        .filter(|logged| logged.revision > replay.state.revision())
        .collect();
    newer.sort_by_key(|logged| logged.revision);
    // Without a gap up to the last change, no change is applied that a later writer has superseded.
    for (missing, logged) in (replay.state.revision() + 1..).zip(&newer) {
        if logged.revision != missing {
            let next = logged.revision;
            return Err(ReplayError::Gap { missing, next });
        }
    }
    for logged in newer {
        replay.apply_or_skip(logged);
    }
    Ok(replay)
}

impl LoggedChange {
    /// Reads an object of the change log; `None` when the name is not that of a change.
    #[must_use]
    pub fn read(name: &str, value: &Value) -> Option<Self> {
        let revision = revision_of_name(name)?;
        let change = Change::deserialize(value)
            .map_err(|error| error.to_string())
            .and_then(|change| {
                if change.revision == revision {
                    return Ok(change);
                }
                Err(format!("holds revision {}", change.revision))
            });
        Some(Self { revision, change })
    }
}

impl CatalogueState {
    /// Applies the logged change that follows the revision in effect, or skips it when it is invalid.
    ///
    /// Returns the problem of a skipped change.
    ///
    /// # Errors
    ///
    /// When the change does not follow the revision in effect.
    pub fn apply_or_skip(&mut self, logged: &LoggedChange) -> Result<Option<String>, StateError> {
        let problem = match &logged.change {
            Ok(change) => match self.apply(change) {
                Ok(()) => return Ok(None),
                Err(error @ (StateError::NotNewer { .. } | StateError::Gap { .. })) => {
                    return Err(error);
                }
                Err(error) => error.to_string(),
            },
            Err(problem) => problem.clone(),
        };
        self.skip_invalid(logged.revision)?;
        Ok(Some(problem))
    }
}

impl Replay {
    fn apply_snapshot(&mut self, snapshot: &Difference) -> Result<(), ReplayError> {
        if snapshot.from != 0 {
            let detail = format!("starts from revision {} instead of 0", snapshot.from);
            return Err(ReplayError::Snapshot { detail });
        }
        self.state
            .merge(snapshot)
            .map_err(|error| ReplayError::Snapshot {
                detail: error.to_string(),
            })
    }

    fn apply_or_skip(&mut self, logged: &LoggedChange) {
        match self.state.apply_or_skip(logged) {
            Ok(None) => {}
            Ok(Some(problem)) => self.skipped.push((logged.revision, problem)),
            Err(error) => self.skipped.push((logged.revision, error.to_string())),
        }
    }
}
