//! The log of catalogue changes that the platform stores.

use {
    crate::CliError,
    error_stack::{Report, ResultExt},
    jujubeline_catalogue::{
        CatalogueState, Change, Difference, LoggedChange, ReplayError, SNAPSHOT_NAME, change_name,
        replay,
    },
    jujubeline_core::{Peer, Revision, Step},
    jujubeline_platform::{Kind, Listing, Object, PlatformClient, PlatformError, ResourceVersion},
    serde_json::{Value, json},
    std::time::Duration,
};

/// Reads of the whole log before a gap counts as a failure. A single read finds a gap only if an answer is stale.
const MAX_READS: u32 = 5;

const REREAD_DELAY: Duration = Duration::from_millis(100);

/// Client of the change log and its snapshot.
#[derive(Debug, Clone)]
pub struct CatalogueLog {
    client: PlatformClient,
}

/// A change with the name and the version of its object.
#[derive(Debug, Clone)]
pub(crate) struct StoredChange {
    pub(crate) logged: LoggedChange,
    pub(crate) name: String,
    pub(crate) resource_version: ResourceVersion,
}

/// Result of one read of the whole log.
#[derive(Debug, Clone)]
pub struct LogContents {
    /// Catalogue state after the last change.
    pub state: CatalogueState,
    /// Revisions of invalid changes, which have no effect, each with its problem.
    pub skipped: Vec<(Revision, String)>,
    pub(crate) changes: Vec<StoredChange>,
    pub(crate) listed_version: ResourceVersion,
    pub(crate) snapshot: Option<Snapshot>,
}

/// Revision of the snapshot and version of its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) resource_version: ResourceVersion,
}

impl CatalogueLog {
    /// Creates a log that is accessed through `client`.
    #[must_use]
    pub const fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the whole log, again after a short delay if it has a gap.
    ///
    /// # Errors
    ///
    /// `Failed` when a call of the platform fails, the snapshot is invalid, or the log still has a gap after 5 reads.
    pub async fn read(&self) -> Result<LogContents, Report<CliError>> {
        let mut reads = 1;
        loop {
            match self.read_once().await? {
                Ok(contents) => return Ok(contents),
                Err(ReplayError::Gap { .. }) if reads < MAX_READS => {}
                Err(error) => return Err(self.failed(&error.to_string())),
            }
            reads += 1;
            tokio::time::sleep(REREAD_DELAY).await;
        }
    }

    /// Lists the changes before it reads the snapshot. Changes that the snapshot does not cover are never removed, so
    /// no gap can arise between the two reads.
    async fn read_once(&self) -> Result<Result<LogContents, ReplayError>, Report<CliError>> {
        let listing = self.list().await?;
        let snapshot = self.snapshot().await?;
        let changes = stored_changes(&listing);
        let logged: Vec<_> = changes.iter().map(|stored| stored.logged.clone()).collect();
        let difference = snapshot.as_ref().map(|(_, difference)| difference);
        Ok(replay(difference, &logged).map(|replay| LogContents {
            state: replay.state,
            skipped: replay.skipped,
            changes,
            listed_version: listing.resource_version,
            snapshot: snapshot.map(|(snapshot, _)| snapshot),
        }))
    }

    pub(crate) async fn list(&self) -> Result<Listing, Report<CliError>> {
        self.client
            .list(Kind::CatalogueChanges)
            .await
            .change_context(CliError::Failed)
    }

    /// Reads the snapshot, if there is one.
    pub(crate) async fn snapshot(
        &self,
    ) -> Result<Option<(Snapshot, Difference)>, Report<CliError>> {
        let object = self
            .client
            .get(Kind::CatalogueSnapshots, SNAPSHOT_NAME)
            .await
            .change_context(CliError::Failed)?;
        let Some(object) = object else {
            return Ok(None);
        };
        let difference: Difference = serde_json::from_value(object.value)
            .map_err(|error| self.failed(&format!("the snapshot is invalid: {error}")))?;
        let snapshot = Snapshot {
            revision: difference.to,
            resource_version: object.resource_version,
        };
        Ok(Some((snapshot, difference)))
    }

    /// Reads the change with this revision, if there is one.
    pub(crate) async fn change(
        &self,
        revision: Revision,
    ) -> Result<Option<StoredChange>, Report<PlatformError>> {
        let name = change_name(revision);
        let object = self.client.get(Kind::CatalogueChanges, &name).await?;
        Ok(object.as_ref().and_then(stored_change))
    }

    pub(crate) async fn create(
        &self,
        change: &Change,
    ) -> Result<ResourceVersion, Report<PlatformError>> {
        let name = change_name(change.revision);
        let object = self
            .client
            .create(Kind::CatalogueChanges, &name, json!(change))
            .await?;
        Ok(object.resource_version)
    }

    pub(crate) async fn delete(
        &self,
        name: &str,
        expected: ResourceVersion,
    ) -> Result<(), Report<PlatformError>> {
        self.client
            .delete(Kind::CatalogueChanges, name, expected)
            .await
    }

    /// Replaces the snapshot that has the expected version; without one, creates the snapshot.
    pub(crate) async fn write_snapshot(
        &self,
        expected: Option<ResourceVersion>,
        value: Value,
    ) -> Result<Object, Report<PlatformError>> {
        let kind = Kind::CatalogueSnapshots;
        match expected {
            Some(expected) => {
                self.client
                    .update(kind, SNAPSHOT_NAME, expected, value)
                    .await
            }
            None => self.client.create(kind, SNAPSHOT_NAME, value).await,
        }
    }

    pub(crate) fn failed(&self, detail: &str) -> Report<CliError> {
        let peer = Peer::Platform(self.client.address().to_string());
        CliError::Failed.at(Step::Catalogue, peer, detail)
    }
}

/// Changes of a listing, ordered by revision. Objects whose name is not that of a change are left out.
pub(crate) fn stored_changes(listing: &Listing) -> Vec<StoredChange> {
    let mut changes: Vec<_> = listing.objects.iter().filter_map(stored_change).collect();
    changes.sort_by_key(|stored| stored.logged.revision);
    changes
}

fn stored_change(object: &Object) -> Option<StoredChange> {
    Some(StoredChange {
        logged: LoggedChange::read(&object.name, &object.value)?,
        name: object.name.clone(),
        resource_version: object.resource_version,
    })
}
