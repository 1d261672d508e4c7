//! `catalogue apply`: submits one change, which is accepted exactly once or not at all.

use {
    crate::{
        CatalogueLog, CliError, LogContents, catalogue_file, change_text,
        context::Context,
        error::one_line,
        log::{StoredChange, stored_changes},
        snapshot, wait,
    },
    error_stack::Report,
    jujubeline_catalogue::{CatalogueState, Change, Edit, RETAINED_CHANGES},
    jujubeline_core::{Peer, Revision, Step},
    jujubeline_platform::{PlatformError, ResourceVersion},
    serde_json::json,
    std::{
        path::Path,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    uuid::Uuid,
};

/// Time between attempts to determine the outcome of a write whose answer was lost.
const RESOLVE_PERIOD: Duration = Duration::from_millis(50);

/// Options of [`append`] and of `catalogue apply`.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    /// Author recorded in the change.
    pub author: String,
    /// Revision that the file is based on. The command, but not [`append`], refuses the change if another revision is
    /// in effect; `None` accepts any.
    pub based_on: Option<Revision>,
    /// Longest time to determine whether the change was accepted after an answer was lost.
    pub resolve_timeout: Duration,
}

/// A change that is stored in the log, and the catalogue state after it.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// The change as stored, with its revision and id.
    pub change: Change,
    /// Catalogue state with the change applied.
    pub state: CatalogueState,
}

/// Makes the catalogue equal to the file and updates the snapshot if it is due. With `wait`, waits until the revision
/// is in effect on all live members.
pub(crate) async fn apply(
    context: &Context,
    file: &Path,
    options: &ApplyOptions,
    wait: Option<Duration>,
) -> Result<(), Report<CliError>> {
    let target = catalogue_file::read(context, file)?;
    // A wrong setting must be reported before the catalogue is changed.
    let node = match wait {
        Some(wait_timeout) => Some((context.node()?, wait_timeout)),
        None => None,
    };
    let log = context.log()?;
    let contents = log.read().await?;
    check_base(context, &log, &contents, options.based_on)?;
    let edits = contents.state.catalogue().edits_to(&target);
    let revision = if edits.is_empty() {
        report_unchanged(context, &contents)?
    } else {
        let accepted = match append(&log, &contents, edits, options).await {
            Ok(accepted) => accepted,
            Err(rejected) => return Err(rejected.print(context)?),
        };
        if let Err(report) = report_accepted(context, &accepted) {
            // The change is accepted even if the output is closed, so the exit code must not report a failure.
            eprintln!(
                "jujubeline: the change is accepted as revision {}, but the result could not be printed: {}",
                accepted.change.revision,
                one_line(&report)
            );
        }
        if let Err(report) = snapshot::maintain(&log, &contents, &accepted.state).await {
            eprintln!(
                "jujubeline: the change is accepted, but the snapshot update or the removal of old changes failed: {}",
                one_line(&report)
            );
        }
        accepted.change.revision
    };
    let Some((node, wait_timeout)) = node else {
        return Ok(());
    };
    let live = wait::until_in_effect(node, revision, wait_timeout).await?;
    if !context.wants_json() {
        println!("revision {revision} is in effect on {live} live members");
    }
    Ok(())
}

/// A change that was not accepted, or whose outcome is unknown.
#[derive(Debug)]
pub struct Rejected {
    /// Error that determines the exit code.
    pub report: Report<CliError>,
    /// After a conflict, the accepted change that caused it; `None` if that change is unreadable.
    pub conflicting_change: Option<Change>,
}

impl From<Report<CliError>> for Rejected {
    fn from(report: Report<CliError>) -> Self {
        Self {
            report,
            conflicting_change: None,
        }
    }
}

impl Rejected {
    fn print(self, context: &Context) -> Result<Report<CliError>, Report<CliError>> {
        if let Some(conflicting_change) = &self.conflicting_change {
            let text = format!(
                "accepted instead:\n{}",
                change_text::describe(conflicting_change)
            );
            context.print(
                &text,
                &json!({ "result": "conflict", "change": conflicting_change }),
            )?;
        }
        Ok(self.report)
    }
}

/// Appends a change with `edits` to the log, with the revision that follows `contents`.
///
/// # Errors
///
/// `InvalidCatalogue` when the result would be invalid or too large, `Conflict` when another change has the revision,
/// `OutcomeUnknown` when the outcome could not be determined in time, `Failed` when the change certainly was not
/// accepted.
pub async fn append(
    log: &CatalogueLog,
    contents: &LogContents,
    edits: Vec<Edit>,
    options: &ApplyOptions,
) -> Result<Accepted, Rejected> {
    let change = Change {
        revision: contents.state.revision() + 1,
        change_id: Uuid::now_v7().to_string(),
        author: options.author.clone(),
        made_at_ms: now_ms(),
        edits,
    };
    let mut state = contents.state.clone();
    state.apply(&change).map_err(|error| {
        CliError::InvalidCatalogue.at(Step::Catalogue, Peer::Local, error.to_string())
    })?;
    let excess = snapshot::excess_bytes(&change, &state);
    if excess > 0 {
        let detail = format!(
            "the change or the snapshot exceeds the size limit of a platform object by {excess} bytes"
        );
        return Err(CliError::InvalidCatalogue
            .at(Step::Catalogue, Peer::Local, detail)
            .into());
    }
    let ends_at = Instant::now() + options.resolve_timeout;
    let created_version = create(log, &change, ends_at).await?;
    check_in_sequence(log, contents, &change, created_version, ends_at).await?;
    Ok(Accepted { change, state })
}

/// Creates the object of the change and determines the outcome even if answers are lost.
///
/// After a lost answer the request may still be in transit, so a missing object does not prove that the request had no
/// effect. The same create request is therefore repeated: one of the requests takes effect, or another change has the
/// name.
async fn create(
    log: &CatalogueLog,
    change: &Change,
    ends_at: Instant,
) -> Result<ResourceVersion, Rejected> {
    let mut may_be_stored = false;
    loop {
        let report = match log.create(change).await {
            Ok(created_version) => return Ok(created_version),
            Err(report) => report,
        };
        let error = *report.current_context();
        may_be_stored |= error.may_have_taken_effect();
        if !may_be_stored && error != PlatformError::AlreadyExists {
            return Err(report.change_context(CliError::Failed).into());
        }
        if let Ok(Some(found)) = log.change(change.revision).await {
            return check_same_change(change, found);
        }
        if Instant::now() >= ends_at {
            return Err(unresolved(change, error, may_be_stored, report));
        }
        // With stale answers no call fails, so the client does not back off by itself.
        tokio::time::sleep(RESOLVE_PERIOD).await;
    }
}

/// Returns the version of the stored change if that is `change` itself, and a conflict otherwise.
fn check_same_change(change: &Change, found: StoredChange) -> Result<ResourceVersion, Rejected> {
    match found.logged.change {
        Ok(other) if other.change_id == change.change_id => Ok(found.resource_version),
        other => Err(conflict(change.revision, other.ok())),
    }
}

fn unresolved(
    change: &Change,
    error: PlatformError,
    may_be_stored: bool,
    report: Report<PlatformError>,
) -> Rejected {
    // No request had an effect and the name is taken, so another change has it, which could not be read.
    if !may_be_stored && error == PlatformError::AlreadyExists {
        return conflict(change.revision, None);
    }
    let Change {
        revision,
        change_id,
        ..
    } = change;
    report
        .change_context(CliError::OutcomeUnknown)
        .attach(format!("change {revision} with id {change_id}"))
        .into()
}

/// Checks that the change did not take the name of an older change that was removed.
///
/// If a tool pauses between its read and its write while other tools make more than 256 changes and remove the old
/// ones, the name of its change can be free again. Each of those changes raised the resource version, so the check
/// makes a call only when the version rose by more than 256.
async fn check_in_sequence(
    log: &CatalogueLog,
    contents: &LogContents,
    change: &Change,
    created_version: ResourceVersion,
    ends_at: Instant,
) -> Result<(), Rejected> {
    if created_version.saturating_sub(contents.listed_version) <= RETAINED_CHANGES {
        return Ok(());
    }
    let changes = loop {
        match log.list().await {
            Ok(listing) if listing.resource_version >= created_version => {
                break stored_changes(&listing);
            }
            // The listing is stale or the call failed; try again until the time is over.
            Ok(_) | Err(_) if Instant::now() < ends_at => {}
            _ => return Err(unverified(change)),
        }
        tokio::time::sleep(RESOLVE_PERIOD).await;
    };
    let newer_change = changes.into_iter().find(|stored| {
        stored.logged.revision > change.revision && stored.resource_version < created_version
    });
    let Some(conflicting_change) = newer_change else {
        return Ok(());
    };
    // A failed deletion is harmless: the change is older than all that readers use, and the next removal deletes it.
    let name = jujubeline_catalogue::change_name(change.revision);
    let _removed_later_on_failure = log.delete(&name, created_version).await;
    Err(conflict(
        change.revision,
        conflicting_change.logged.change.ok(),
    ))
}

fn unverified(change: &Change) -> Rejected {
    let detail = format!(
        "change {} with id {} was stored, but could not be checked against later changes",
        change.revision, change.change_id
    );
    CliError::OutcomeUnknown
        .at(Step::Catalogue, Peer::Local, detail)
        .into()
}

fn conflict(revision: Revision, conflicting_change: Option<Change>) -> Rejected {
    let detail =
        format!("revision {revision} was already taken by another change; read again and repeat");
    Rejected {
        report: CliError::Conflict.at(Step::Catalogue, Peer::Local, detail),
        conflicting_change,
    }
}

/// Compares the revision that the file is based on with the one in effect.
fn check_base(
    context: &Context,
    log: &CatalogueLog,
    contents: &LogContents,
    based_on: Option<Revision>,
) -> Result<(), Report<CliError>> {
    let in_effect = contents.state.revision();
    let Some(based_on) = based_on.filter(|based_on| *based_on != in_effect) else {
        return Ok(());
    };
    if based_on > in_effect {
        let detail =
            format!("revision {based_on} does not exist yet; revision {in_effect} is in effect");
        return Err(log.failed(&detail));
    }
    let since: Vec<&Change> = contents
        .changes
        .iter()
        .filter(|stored| stored.logged.revision > based_on)
        .filter_map(|stored| stored.logged.change.as_ref().ok())
        .collect();
    let text: Vec<String> = since.iter().copied().map(change_text::describe).collect();
    let text = format!("accepted since revision {based_on}:\n{}", text.concat());
    context.print(&text, &json!({ "result": "conflict", "changes": since }))?;
    let detail = format!("revision {in_effect} is in effect, not {based_on}");
    Err(CliError::Conflict.at(Step::Catalogue, Peer::Local, detail))
}

fn report_unchanged(
    context: &Context,
    contents: &LogContents,
) -> Result<Revision, Report<CliError>> {
    let revision = contents.state.revision();
    context.print(
        &format!("no difference to revision {revision}"),
        &json!({ "result": "unchanged", "revision": revision }),
    )?;
    Ok(revision)
}

fn report_accepted(context: &Context, accepted: &Accepted) -> Result<(), Report<CliError>> {
    let change = &accepted.change;
    context.print(
        &format!("accepted:\n{}", change_text::describe(change)),
        &json!({ "result": "accepted", "change": change }),
    )
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
