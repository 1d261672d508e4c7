//! Maintenance of the change log: writes the snapshot and removes old changes.

use {
    crate::{
        CatalogueLog, CliError, LogContents,
        log::{Snapshot, StoredChange},
    },
    error_stack::{Report, ResultExt},
    jujubeline_catalogue::{CHANGES_PER_SNAPSHOT, CatalogueState, Change, RETAINED_CHANGES},
    jujubeline_core::Revision,
    jujubeline_platform::{MAX_VALUE_BYTES, PlatformError},
    serde_json::json,
};

/// Attempts to write the snapshot when other tools write it at the same time.
const MAX_ATTEMPTS: u32 = 8;

/// Most changes that one run removes. Each snapshot makes 64 more changes removable, so a backlog shrinks.
const MAX_REMOVALS: usize = 128;

/// Writes the snapshot if [`CHANGES_PER_SNAPSHOT`] changes have followed the last one, and then removes the changes
/// that readers no longer need. Returns the number of removed changes.
///
/// # Errors
///
/// When a call of the platform fails. The changes stay in effect, and a later run does what is left.
pub async fn maintain(
    log: &CatalogueLog,
    contents: &LogContents,
    state: &CatalogueState,
) -> Result<usize, Report<CliError>> {
    let covered = contents.snapshot.map_or(0, |snapshot| snapshot.revision);
    if state.revision() < covered + CHANGES_PER_SNAPSHOT {
        return Ok(0);
    }
    let covered = write(log, contents.snapshot, state).await?;
    remove(log, &contents.changes, covered).await
}

/// Bytes by which a change, or the snapshot after it, would exceed the size limit of a platform object; 0 if both fit.
pub(crate) fn excess_bytes(change: &Change, state: &CatalogueState) -> usize {
    let change_bytes = json!(change).to_string().len();
    let snapshot_bytes = json!(state.full_state()).to_string().len();
    change_bytes
        .max(snapshot_bytes)
        .saturating_sub(MAX_VALUE_BYTES)
}

/// Creates or replaces the snapshot, unless the stored one has at least the revision of `state`. Returns the revision
/// of the stored snapshot.
async fn write(
    log: &CatalogueLog,
    known: Option<Snapshot>,
    state: &CatalogueState,
) -> Result<Revision, Report<CliError>> {
    let mut known = known;
    let value = json!(state.full_state());
    for _ in 0..MAX_ATTEMPTS {
        if let Some(snapshot) = known.filter(|known| known.revision >= state.revision()) {
            return Ok(snapshot.revision);
        }
        let expected = known.map(|snapshot| snapshot.resource_version);
        match log.write_snapshot(expected, value.clone()).await {
            Ok(_) => return Ok(state.revision()),
            Err(report) => match report.current_context() {
                // Another tool wrote first, or the answer was lost: read the stored snapshot to decide.
                PlatformError::Conflict
                | PlatformError::AlreadyExists
                | PlatformError::NotFound
                | PlatformError::Lost => {}
                _ => return Err(report.change_context(CliError::Failed)),
            },
        }
        known = log.snapshot().await?.map(|(snapshot, _)| snapshot);
    }
    Err(log.failed("the snapshot changed again with each attempt to write it"))
}

/// Removes changes at least [`RETAINED_CHANGES`] revisions older than the snapshot, which slow readers no longer need.
///
/// The oldest changes are removed first and the first failure ends the removal, so that the remaining changes have no
/// gap, even when two tools remove changes at the same time or one of them stops half-way.
async fn remove(
    log: &CatalogueLog,
    changes: &[StoredChange],
    covered: Revision,
) -> Result<usize, Report<CliError>> {
    let old = changes
        .iter()
        .filter(|stored| stored.logged.revision + RETAINED_CHANGES <= covered)
        .take(MAX_REMOVALS);
    let mut removed = 0;
    for stored in old {
        match log.delete(&stored.name, stored.resource_version).await {
            Ok(()) => removed += 1,
            Err(report) if *report.current_context() == PlatformError::NotFound => {}
            Err(report) => return Err(report).change_context(CliError::Failed),
        }
    }
    Ok(removed)
}
