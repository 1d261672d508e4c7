//! Start and stop of the control plane.

use {
    super::{
        catalogue_actor::CatalogueHandle,
        configuration_follow::{ConfigurationFollower, follow_limits},
        error::{ControlError, ControlResult, report},
        join, join_points,
        membership_actor::MembershipHandle,
        platform_contact, platform_follow,
        pull::{PullCounts, Puller},
        quarantines,
        rpc::{self, ClaimsCall, Peers, RpcThread, Services},
        udp::{self, DatagramCounts},
        unreadable_members::UnreadableMembers,
    },
    crate::{Allowances, AllowancesContext, CatalogueSource, LocalTarget, NodeSettings, Views},
    jujubeline_catalogue::CatalogueState,
    jujubeline_coordination::{
        membership::{Config, Datagram, DatagramKind, Member, Membership, Presence},
        replication::MAX_PULLS,
    },
    jujubeline_core::{Incarnation, Peer, Step},
    jujubeline_platform::{PlatformClient, PlatformSettings, StoreEra},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{Notify, mpsc, watch},
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
    tokio_util::sync::CancellationToken,
};

/// Time between two ticks of membership, a third of its shortest timeout.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Shortest time between two rounds of revision queries.
const QUERY_PERIOD: Duration = Duration::from_millis(200);

/// Budget of platform calls per second of a node that watches the configuration: two and a half times the 4 changes
/// a second of a quick succession.
const CONFIGURATION_CALLS_PER_S: u32 = 10;

/// Burst of platform calls allowed to a node that watches the configuration.
const CONFIGURATION_BURST: u32 = 40;

/// Time for which the platform holds a watch of the configuration open, and time in which it must answer after that. All
/// watches may begin anew with a change and their connections go silent a moment later. The sum, the delay before the next
/// read and the time to tell the other nodes stay below the 3 s after which lost connections excuse no late change.
const CONFIGURATION_WATCH_WAIT: Duration = Duration::from_millis(1_500);
const CONFIGURATION_WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Capacity of the channel of claim calls that wait to be handled.
const MAX_WAITING_CLAIMS: usize = 1_024;

/// The control plane of one node.
///
/// [`Control::stop`] must be called to end it. Dropping it cancels its tasks without announcing that the node leaves,
/// and waits for none of them.
#[derive(Debug)]
pub struct Control {
    views: Views,
    catalogue: CatalogueHandle,
    membership: MembershipHandle,
    platform: Option<PlatformClient>,
    peers: Peers,
    claims: Arc<OnceLock<mpsc::Sender<ClaimsCall>>>,
    datagrams: Arc<DatagramCounts>,
    unreadable_members: Arc<UnreadableMembers>,
    pulls: Arc<PullCounts>,
    allowances: Arc<Allowances>,
    address: SocketAddr,
    tasks: Tasks,
    rpc: RpcThread,
}

/// Tasks that end when the control plane stops.
#[derive(Debug)]
struct Tasks {
    stopping: CancellationToken,
    running: JoinSet<()>,
}

impl Tasks {
    fn new() -> Self {
        Self {
            stopping: CancellationToken::new(),
            running: JoinSet::new(),
        }
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        let stopping = self.stopping.clone();
        self.running.spawn(async move {
            stopping.run_until_cancelled(task).await;
        });
    }

    async fn stop(&mut self) {
        self.stopping.cancel();
        while let Some(ended) = self.running.join_next().await {
            if let Err(error) = ended {
                log::error!("a task of the control plane ended with a panic: {error}");
            }
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.stopping.cancel();
    }
}

impl Control {
    /// Starts the control plane. The incarnation of the node is derived from `now`.
    ///
    /// # Errors
    ///
    /// When the control address cannot be used or the clock is before the Unix epoch.
    pub async fn start(settings: &NodeSettings, now: SystemTime) -> ControlResult<Self> {
        let incarnation = incarnation(now)?;
        let (listener, socket, control_address) = udp::bind(settings.control_address).await?;
        let control_address = settings
            .advertised_control_address
            .unwrap_or(control_address);
        let socket = Arc::new(socket);
        let datagrams = Arc::new(DatagramCounts::default());
        let unreadable_members = Arc::new(UnreadableMembers::default());
        let pull_counts = Arc::new(PullCounts::default());
        let sender = udp::Sender::new(Arc::clone(&socket), Arc::clone(&datagrams));

        let own = own_member(settings, incarnation, control_address);
        let mut rng = StdRng::from_os_rng();
        let state = Membership::new(Config::default(), own, Instant::now(), &mut rng);
        let (pulls, pulls_wanted) = mpsc::channel(MAX_PULLS);
        let (contacts, contacts_found) = mpsc::channel(join::MAX_CONTACTS);
        let membership = MembershipHandle::start(state, sender.clone(), pulls, contacts.clone());
        let catalogue = CatalogueHandle::start(match settings.catalogue_source {
            CatalogueSource::ChangeLog => CatalogueState::default(),
            CatalogueSource::Configuration => CatalogueState::for_configurations(),
        });

        let allowances = start_allowances(settings, incarnation, sender, &membership, &catalogue);

        let mut tasks = Tasks::new();
        let claims = Arc::new(OnceLock::new());
        let services = Services {
            membership: membership.clone(),
            catalogue: catalogue.clone(),
            claims: Arc::clone(&claims),
        };
        let (unreadable, stopping) = (Arc::clone(&unreadable_members), tasks.stopping.clone());
        let (rpc, peers) = rpc::start(listener, services, unreadable, stopping)?;

        let (local_target, target_changes) = watch::channel(LocalTarget::initial(settings));
        let local_target = Arc::new(local_target);
        tasks.spawn(udp::receive(
            socket,
            membership.clone(),
            Arc::clone(&datagrams),
            Arc::clone(&unreadable_members),
            Arc::clone(&allowances),
        ));
        tasks.spawn(Arc::clone(&allowances).follow_members());
        tasks.spawn(tick(membership.clone()));
        tasks.spawn(follow_target(membership.clone(), target_changes));
        let revision_query = Arc::new(Notify::new());
        let query = Arc::clone(&revision_query);
        tasks.spawn(query_revisions(membership.clone(), query));
        tasks.spawn(platform_follow::report_revisions(
            catalogue.view(),
            membership.clone(),
        ));
        let puller = Puller::new(
            membership.clone(),
            catalogue.clone(),
            peers.clone(),
            Arc::clone(&pull_counts),
        );
        tasks.spawn(puller.run(pulls_wanted));
        tasks.spawn(join::run(
            settings.seeds.clone(),
            contacts_found,
            control_address,
            membership.clone(),
            peers.clone(),
        ));
        let platform = settings
            .platform_address
            .map(|address| PlatformClient::new(platform_settings(settings, address)));
        if let Some(platform) = &platform {
            follow_catalogue(
                &mut tasks,
                settings,
                platform,
                &membership,
                &catalogue,
                Arc::clone(&local_target),
            );
            follow_platform(&mut tasks, settings, platform, &membership, contacts);
        }
        Ok(Self {
            views: Views {
                catalogue: catalogue.view(),
                members: membership.view(),
                local_target,
                revision_query,
            },
            catalogue,
            membership,
            platform,
            peers,
            claims,
            datagrams,
            unreadable_members,
            pulls: pull_counts,
            allowances,
            address: control_address,
            tasks,
            rpc,
        })
    }

    /// Channels that the control plane and the data path share.
    #[must_use]
    pub fn views(&self) -> Views {
        self.views.clone()
    }

    /// Control address that is advertised to other nodes, with the port that the system chose if the settings left it
    /// open.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.address
    }

    /// Access to the catalogue in effect, for example to apply a change without a platform.
    #[must_use]
    pub fn catalogue(&self) -> CatalogueHandle {
        self.catalogue.clone()
    }

    /// Access to the member table, crash reports included.
    #[must_use]
    pub fn membership(&self) -> MembershipHandle {
        self.membership.clone()
    }

    /// Platform client with the call budget of the node; none if the settings name no platform.
    #[must_use]
    pub fn platform(&self) -> Option<PlatformClient> {
        self.platform.clone()
    }

    /// RPC client for calls to other nodes.
    #[must_use]
    pub fn peers(&self) -> Peers {
        self.peers.clone()
    }

    /// Counters of lost datagrams.
    #[must_use]
    pub fn datagrams(&self) -> Arc<DatagramCounts> {
        Arc::clone(&self.datagrams)
    }

    /// Members from other nodes that could not be read.
    #[must_use]
    pub fn unreadable_members(&self) -> Arc<UnreadableMembers> {
        Arc::clone(&self.unreadable_members)
    }

    /// Counters of catalogue pulls from other nodes.
    #[must_use]
    pub fn pulls(&self) -> Arc<PullCounts> {
        Arc::clone(&self.pulls)
    }

    /// Tokens of the allowances of workspaces.
    #[must_use]
    pub fn allowances(&self) -> Arc<Allowances> {
        Arc::clone(&self.allowances)
    }

    /// Receiver of the claim calls from other nodes, which fail until this is called.
    ///
    /// # Errors
    ///
    /// When the receiver was taken before.
    pub fn take_claim_calls(&self) -> ControlResult<mpsc::Receiver<ClaimsCall>> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_CLAIMS);
        self.claims.set(sender).map_err(|_| {
            report(
                ControlError::Start,
                Step::Claim,
                Peer::Local,
                "the receiver of claim calls was taken before",
            )
        })?;
        Ok(receiver)
    }

    /// Announces that the node leaves, stops the control plane, and waits for its tasks and its thread.
    pub async fn stop(self) {
        let Self {
            catalogue,
            membership,
            mut tasks,
            rpc,
            ..
        } = self;
        membership.leave().await;
        tasks.stop().await;
        rpc.join().await;
        catalogue.stop().await;
    }
}

/// Allowances that send their questions and answers as datagrams of this node.
fn start_allowances(
    settings: &NodeSettings,
    incarnation: Incarnation,
    sender: udp::Sender,
    membership: &MembershipHandle,
    catalogue: &CatalogueHandle,
) -> Arc<Allowances> {
    let (own, revisions) = (settings.node.clone(), catalogue.view());
    let send = move |to: SocketAddr, kind: DatagramKind| {
        let datagram = Datagram {
            sender: own.clone(),
            incarnation,
            catalogue_revision: revisions.borrow().revision(),
            sequence: 0,
            kind,
            updates: Vec::new(),
            crashes: Vec::new(),
        };
        sender.send(to, &datagram);
    };
    let context = AllowancesContext {
        own: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        members: membership.view(),
        catalogue: catalogue.view(),
        send: Box::new(send),
    };
    Allowances::new(context, Instant::now())
}

/// Platform settings with the call budget for the catalogue source. A node that watches the configuration reads again
/// after each change, and changes come in quick succession: 4 a second over some seconds. The budget of a node that
/// follows the change log delayed the last of them by seconds.
fn platform_settings(settings: &NodeSettings, address: SocketAddr) -> PlatformSettings {
    let defaults = PlatformSettings::new(address);
    match settings.catalogue_source {
        CatalogueSource::ChangeLog => defaults,
        CatalogueSource::Configuration => PlatformSettings {
            calls_per_s: CONFIGURATION_CALLS_PER_S,
            burst: CONFIGURATION_BURST,
            watch_wait: CONFIGURATION_WATCH_WAIT,
            watch_margin: CONFIGURATION_WATCH_MARGIN,
            ..defaults
        },
    }
}

/// Follows what the platform keeps besides the catalogue.
fn follow_platform(
    tasks: &mut Tasks,
    settings: &NodeSettings,
    platform: &PlatformClient,
    membership: &MembershipHandle,
    contacts: mpsc::Sender<SocketAddr>,
) {
    tasks.spawn(log_restores(platform.eras()));
    tasks.spawn(join_points::run(
        platform.clone(),
        settings.node.clone(),
        membership.clone(),
        contacts,
    ));
    tasks.spawn(platform_contact::run(
        platform.clone(),
        settings.node.clone(),
        membership.clone(),
    ));
    tasks.spawn(quarantines::run(
        platform.clone(),
        settings.node.clone(),
        membership.clone(),
    ));
}

/// Starts the task that follows the catalogue at the platform, from the source in the settings.
fn follow_catalogue(
    tasks: &mut Tasks,
    settings: &NodeSettings,
    platform: &PlatformClient,
    membership: &MembershipHandle,
    catalogue: &CatalogueHandle,
    local_target: Arc<watch::Sender<LocalTarget>>,
) {
    let (platform, catalogue) = (platform.clone(), catalogue.clone());
    match settings.catalogue_source {
        CatalogueSource::ChangeLog => tasks.spawn(platform_follow::run(
            platform,
            settings.node.clone(),
            membership.clone(),
            catalogue,
        )),
        CatalogueSource::Configuration => {
            tasks.spawn(follow_limits(
                catalogue.clone(),
                settings.service.clone(),
                local_target,
            ));
            tasks.spawn(
                ConfigurationFollower {
                    platform,
                    own: settings.node.clone(),
                    membership: membership.clone(),
                    catalogue,
                }
                .run(),
            );
        }
    }
}

/// Logs each restore of the platform that answers show.
async fn log_restores(mut eras: watch::Receiver<Option<StoreEra>>) {
    let mut known = *eras.borrow_and_update();
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        if let (Some(former), Some(era)) = (known, era) {
            log::warn!(
                "the platform was restored from a copy (era {former}, now {era}); recent changes may be lost"
            );
        }
        known = era;
    }
}

async fn tick(membership: MembershipHandle) {
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        membership.tick();
    }
}

/// Queries the catalogue revision of members that lag behind, each time `wanted` is notified.
async fn query_revisions(membership: MembershipHandle, wanted: Arc<Notify>) {
    loop {
        wanted.notified().await;
        membership.query_revisions().await;
        tokio::time::sleep(QUERY_PERIOD).await;
    }
}

/// Passes changes of the local target to membership.
async fn follow_target(membership: MembershipHandle, mut target: watch::Receiver<LocalTarget>) {
    while target.changed().await.is_ok() {
        let target = target.borrow_and_update().clone();
        if !membership.target_changed(target).await {
            return;
        }
    }
}

fn own_member(
    settings: &NodeSettings,
    incarnation: Incarnation,
    control_address: SocketAddr,
) -> Member {
    Member {
        node: settings.node.clone(),
        incarnation,
        update: 0,
        data_address: settings
            .advertised_data_address
            .unwrap_or(settings.data_address),
        control_address,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        service: settings.service.clone(),
        target_state: LocalTarget::initial(settings).state,
        slots: settings.target_slots,
        catalogue_revision: 0,
        presence: Presence::Alive,
        platform_unreachable: false,
    }
}

fn incarnation(now: SystemTime) -> ControlResult<Incarnation> {
    now.duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|since| Incarnation::try_from(since.as_micros()).ok())
        .ok_or_else(|| {
            report(
                ControlError::Start,
                Step::Settings,
                Peer::Local,
                "the system clock is outside the range of incarnations",
            )
        })
}
