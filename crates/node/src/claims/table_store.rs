//! The shard table of a service at the platform.

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    jujubeline_coordination::claims::{ShardTable, TableRefusal},
    jujubeline_core::{Peer, ServiceName, Step, StepError},
    jujubeline_platform::{Kind, Object, PlatformClient, PlatformError, ResourceVersion},
};

/// Error of a read or an edit of the table, which had no effect or an unknown one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum TableError {
    /// The platform call failed; the next read shows whether an edit took effect.
    #[display("the platform call for the shard table failed")]
    Platform,
    /// Another node edited the table first, or the outcome of the edit is not known. The table has to be read again.
    #[display("the shard table has to be read again")]
    ReadAgain,
    /// The table does not allow the edit.
    #[display("the shard table refuses the edit")]
    Refused,
    /// The object is not a shard table.
    #[display("the object is not a shard table")]
    Invalid,
}

/// Reads and conditionally edits the table of one service.
#[derive(Debug)]
pub struct TableStore {
    platform: PlatformClient,
    service: ServiceName,
    current: Option<(ShardTable, ResourceVersion)>,
}

impl TableStore {
    /// A store that has read nothing yet.
    #[must_use]
    pub const fn new(platform: PlatformClient, service: ServiceName) -> Self {
        Self {
            platform,
            service,
            current: None,
        }
    }

    /// The table as last read or written.
    #[must_use]
    pub fn table(&self) -> Option<&ShardTable> {
        self.current.as_ref().map(|(table, _)| table)
    }

    /// Reads the table. A version that is not newer than the current one is ignored.
    ///
    /// # Errors
    ///
    /// When the platform call fails or the object is not a shard table.
    pub async fn read(&mut self) -> Result<(), Report<TableError>> {
        let object = self
            .platform
            .get(Kind::ShardTables, &self.service)
            .await
            .change_context(TableError::Platform)?;
        object.map_or(Ok(()), |object| self.set_current(object))
    }

    /// Writes an edit of the table as last read; creates the object if there is none.
    ///
    /// # Errors
    ///
    /// When the table refuses the edit, another node edited it first, or the platform call fails.
    pub async fn edit(
        &mut self,
        edit: impl FnOnce(&ShardTable) -> Result<ShardTable, TableRefusal>,
    ) -> Result<(), Report<TableError>> {
        let empty = ShardTable::default();
        let next = edit(self.table().unwrap_or(&empty)).change_context(TableError::Refused)?;
        let value = serde_json::to_value(&next).change_context(TableError::Invalid)?;
        let written = match &self.current {
            Some((_, version)) => {
                self.platform
                    .update(Kind::ShardTables, &self.service, *version, value)
                    .await
            }
            None => {
                self.platform
                    .create(Kind::ShardTables, &self.service, value)
                    .await
            }
        };
        let object = written.map_err(|report| {
            let error = match report.current_context() {
                PlatformError::OverBudget | PlatformError::Unavailable => TableError::Platform,
                // A lost response is resolved by reading the table again, since it names its owners.
                _ => TableError::ReadAgain,
            };
            report.change_context(error)
        })?;
        self.set_current(object)
    }

    fn set_current(&mut self, object: Object) -> Result<(), Report<TableError>> {
        let known = self.current.as_ref().map_or(0, |(_, version)| *version);
        if object.resource_version <= known {
            return Ok(());
        }
        let table = serde_json::from_value(object.value).map_err(|error| {
            let peer = Peer::Platform(self.platform.address().to_string());
            Report::new(StepError::new(Step::Claim, peer, error.to_string()))
                .change_context(TableError::Invalid)
        })?;
        self.current = Some((table, object.resource_version));
        Ok(())
    }
}
