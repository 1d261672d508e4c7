//! Follows the catalogue in the configuration that the platform's operators write.

use {
    super::catalogue_actor::CatalogueHandle,
    crate::LocalTarget,
    error_stack::Report,
    jujubeline_core::ServiceName,
    jujubeline_platform::{
        CONFIGURATION_NAME, Configuration, Event, Kind, Object, PlatformClient, PlatformError,
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Longest random delay before the platform is read again after an error, so that nodes do not read again all at once.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(400);

/// Applies the configuration at the platform to the catalogue and to the local target.
#[derive(Debug, Clone)]
pub(super) struct ConfigurationFollower {
    pub platform: PlatformClient,
    pub catalogue: CatalogueHandle,
    pub service: ServiceName,
    pub local_target: Arc<watch::Sender<LocalTarget>>,
}

impl ConfigurationFollower {
    /// Follows the configuration until the task is cancelled. While the platform cannot be read, the last configuration
    /// stays in effect.
    pub(super) async fn run(self) {
        let mut is_reachable = true;
        loop {
            let Err(error) = self.follow(&mut is_reachable).await;
            if is_reachable {
                log::warn!("configuration cannot be read from the platform: {error:#}");
            }
            is_reachable = false;
            let wait = MAX_REREAD_DELAY.mul_f64(rand::rng().random());
            tokio::time::sleep(wait).await;
        }
    }

    async fn follow(
        &self,
        is_reachable: &mut bool,
    ) -> Result<std::convert::Infallible, Report<PlatformError>> {
        let listing = self.platform.list(Kind::Configuration).await?;
        if !std::mem::replace(is_reachable, true) {
            log::info!("configuration can be read from the platform again");
        }
        for object in &listing.objects {
            self.apply_update(object).await;
        }
        let mut watch = self
            .platform
            .watch(Kind::Configuration, listing.resource_version);
        loop {
            if let Event::Set(object) = watch.next().await? {
                self.apply_update(&object).await;
            }
        }
    }

    /// Applies a newer configuration. One that cannot be parsed changes nothing. If the catalogue refuses the entries,
    /// the local target has already been updated.
    async fn apply_update(&self, object: &Object) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        let configuration = match Configuration::read(object) {
            Ok(configuration) => configuration,
            Err(why) => {
                log::warn!(
                    "configuration at version {} is invalid and without effect: {why}",
                    object.resource_version
                );
                return;
            }
        };
        let revision = configuration.revision;
        if revision <= self.catalogue.view().borrow().revision() {
            return;
        }
        self.update_target(&configuration);
        match self
            .catalogue
            .replace(revision, configuration.entries)
            .await
        {
            Ok(_) => log::info!("catalogue revision {revision} is in effect"),
            Err(error) => log::warn!("catalogue revision {revision} is refused: {error:#}"),
        }
    }

    /// Updates the connections and the health check of the local target from the configuration.
    fn update_target(&self, configuration: &Configuration) {
        let mut services = configuration.services.iter();
        let Some(limit) = services.find(|limit| limit.service == self.service) else {
            return;
        };
        self.local_target.send_if_modified(|target| {
            let changed =
                target.connections != limit.connections || target.health_path != limit.health_path;
            target.connections = limit.connections;
            target.health_path.clone_from(&limit.health_path);
            changed
        });
    }
}
