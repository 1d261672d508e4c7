//! The catalogue from the configuration that the platform's operators write.

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

/// Longest random wait before the platform is read again after an error, so that nodes do not return together.
const READ_AGAIN_WITHIN: Duration = Duration::from_millis(400);

/// What the configuration is written to.
#[derive(Debug, Clone)]
pub(super) struct ConfigurationFollow {
    pub platform: PlatformClient,
    pub catalogue: CatalogueHandle,
    pub service: ServiceName,
    pub local_target: Arc<watch::Sender<LocalTarget>>,
}

impl ConfigurationFollow {
    /// Follows the configuration until the task is cancelled. While the platform cannot be read, the last configuration
    /// stays in effect.
    pub(super) async fn run(self) {
        let mut is_reachable = true;
        loop {
            let Err(error) = self.follow(&mut is_reachable).await;
            if is_reachable {
                log::warn!("configuration is not readable: {error:#}");
            }
            is_reachable = false;
            let wait = READ_AGAIN_WITHIN.mul_f64(rand::rng().random());
            tokio::time::sleep(wait).await;
        }
    }

    async fn follow(
        &self,
        is_reachable: &mut bool,
    ) -> Result<std::convert::Infallible, Report<PlatformError>> {
        let listing = self.platform.list(Kind::Configuration).await?;
        if !std::mem::replace(is_reachable, true) {
            log::info!("configuration is readable again");
        }
        for object in &listing.objects {
            self.take_over(object).await;
        }
        let mut watch = self
            .platform
            .watch(Kind::Configuration, listing.resource_version);
        loop {
            if let Event::Set(object) = watch.next().await? {
                self.take_over(&object).await;
            }
        }
    }

    /// Takes over a newer configuration. One that cannot be read changes nothing.
    async fn take_over(&self, object: &Object) {
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
        self.describe_target(&configuration);
        match self
            .catalogue
            .replace(revision, configuration.entries)
            .await
        {
            Ok(_) => log::info!("catalogue revision {revision} is in effect"),
            Err(error) => log::warn!("catalogue revision {revision} is refused: {error:#}"),
        }
    }

    /// Takes over what the configuration says about the local target.
    fn describe_target(&self, configuration: &Configuration) {
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
