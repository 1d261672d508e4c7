//! Follows the catalogue in the configuration that the platform's operators write.

use {
    super::{
        catalogue_actor::CatalogueHandle,
        membership_actor::MembershipHandle,
        platform_follow::{is_platform_watcher, while_watcher},
    },
    crate::LocalTarget,
    error_stack::Report,
    jujubeline_catalogue::{ServiceLimit, UsableEntries},
    jujubeline_coordination::{
        membership::{Member, Presence},
        replication::configuration_check_period,
    },
    jujubeline_core::{NodeId, ServiceName},
    jujubeline_platform::{
        CONFIGURATION_NAME, Configuration, Event, Kind, Object, PlatformClient, PlatformError,
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Longest random delay before the platform is read again after an error, so that nodes do not read again all at once.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(400);

/// Applies the configuration at the platform to the catalogue. The nodes that are chosen watch it; all others learn new
/// revisions from peers, and check now and then in case that no chosen node reaches the platform.
#[derive(Debug, Clone)]
pub(super) struct ConfigurationFollower {
    pub platform: PlatformClient,
    pub own: NodeId,
    pub membership: MembershipHandle,
    pub catalogue: CatalogueHandle,
}

impl ConfigurationFollower {
    /// Follows the configuration until the task is cancelled. While the platform cannot be read, the last configuration
    /// stays in effect.
    pub(super) async fn run(self) {
        tokio::join!(
            while_watcher(&self.own, &self.membership, || self.watch()),
            self.check_regularly(),
        );
    }

    async fn watch(&self) {
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
        let mut watch = self.platform.watch(Kind::Configuration, &listing);
        loop {
            if let Event::Set(object) = watch.next().await? {
                self.apply_update(&object).await;
            }
        }
    }

    /// Reads the configuration now and then while other nodes watch it. The read may be answered from a copy that is
    /// seconds old.
    async fn check_regularly(&self) {
        let members = self.membership.view();
        loop {
            let live = live_count(&members.borrow());
            let jitter: f64 = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(configuration_check_period(live).mul_f64(jitter)).await;
            if is_platform_watcher(&self.own, &members.borrow()) {
                continue;
            }
            let read = self
                .platform
                .get_stale(Kind::Configuration, CONFIGURATION_NAME);
            match read.await {
                Ok(Some(object)) => self.apply_update(&object).await,
                Ok(None) => {}
                Err(error) => log::debug!("configuration was not checked: {error:?}"),
            }
        }
    }

    /// Applies a newer configuration. Routes that cannot be read are refused alone; a configuration that cannot be read
    /// at all changes nothing.
    async fn apply_update(&self, object: &Object) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        let configuration = match Configuration::read(object) {
            Ok(configuration) => configuration,
            Err(why) => {
                let why = format!("version {} has no effect: {why}", object.resource_version);
                self.platform
                    .note_unreadable(Kind::Configuration, &object.name, &why);
                return;
            }
        };
        let revision = configuration.revision;
        if revision <= self.catalogue.view().borrow().revision() {
            return;
        }
        let usable = UsableEntries::from_routes(configuration.routes);
        for problem in usable
            .problems
            .iter()
            .chain(&configuration.service_problems)
            .chain(&configuration.workspace_problems)
        {
            log::warn!("catalogue revision {revision} is applied without a part: {problem}");
        }
        let replaced = self.catalogue.replace(
            revision,
            usable.entries,
            configuration.services,
            configuration.workspaces,
        );
        match replaced.await {
            Ok(_) => log::info!("catalogue revision {revision} is in effect"),
            Err(error) => log::warn!("catalogue revision {revision} is refused: {error:#}"),
        }
    }
}

fn live_count(members: &[Member]) -> usize {
    let is_live = |member: &&Member| matches!(member.presence, Presence::Alive | Presence::Suspect);
    members.iter().filter(is_live).count()
}

/// Passes the limits of a service from the catalogue to the local target, until the task is cancelled.
pub(super) async fn follow_limits(
    catalogue: CatalogueHandle,
    service: ServiceName,
    local_target: Arc<watch::Sender<LocalTarget>>,
) {
    let mut view = catalogue.view();
    loop {
        let limit = view.borrow_and_update().service_limit(&service).cloned();
        if let Some(limit) = limit {
            update_target(&local_target, &limit);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

fn update_target(local_target: &watch::Sender<LocalTarget>, limit: &ServiceLimit) {
    local_target.send_if_modified(|target| {
        let changed =
            target.connections != limit.connections || target.health_path != limit.health_path;
        target.connections = limit.connections;
        target.health_path.clone_from(&limit.health_path);
        changed
    });
}
