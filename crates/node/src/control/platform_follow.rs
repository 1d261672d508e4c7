//! Follows the change log of the catalogue at the platform, on the nodes that are chosen to watch it.

use {
    super::{catalogue_actor::CatalogueHandle, membership_actor::MembershipHandle},
    error_stack::Report,
    jujubeline_catalogue::{Difference, LoggedChange, SNAPSHOT_NAME, replay},
    jujubeline_coordination::{membership::Member, replication::watches_platform},
    jujubeline_core::NodeId,
    jujubeline_platform::{Event, Kind, Object, PlatformClient, PlatformError, WatchStart},
    rand::Rng,
    std::{future::Future, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Longest random delay before the platform is read again. Both watchers of a data centre lose their watch at the same
/// time when the platform restarts.
const MAX_REREAD_DELAY: Duration = Duration::from_secs(1);

/// Time for which a node that has just started waits to join others before it watches the platform on its own.
const JOIN_WAIT: Duration = Duration::from_secs(1);

/// Follows the platform while this node is one of its watchers, until the task is cancelled.
pub(super) async fn run(
    platform: PlatformClient,
    own: NodeId,
    membership: MembershipHandle,
    catalogue: CatalogueHandle,
) {
    while_watcher(&own, &membership, || follow(&platform, &catalogue)).await;
}

/// Runs `watch` while this node is one of the watchers of the platform, or is cut off from the nodes that are, until the
/// task is cancelled.
pub(super) async fn while_watcher<F>(
    own: &NodeId,
    membership: &MembershipHandle,
    watch: impl Fn() -> F,
) where
    F: Future<Output = ()>,
{
    let mut members = membership.view();
    // Alone, every node would be a watcher; nodes that start together find each other within this time.
    let joined = members.wait_for(|members| members.len() > 1);
    let _ = tokio::time::timeout(JOIN_WAIT, joined).await;
    let mut cut_off = membership.cut_off();
    let watches =
        |members: &[Member], is_cut_off: bool| is_cut_off || is_platform_watcher(own, members);
    loop {
        if !wait_until(&mut members, &mut cut_off, |members, is_cut_off| {
            watches(members, is_cut_off)
        })
        .await
        {
            return;
        }
        log::info!("this node watches the platform");
        let (mut members, mut cut_off) = (members.clone(), cut_off.clone());
        tokio::select! {
            has_members = wait_until(&mut members, &mut cut_off, |members, is_cut_off| {
                !watches(members, is_cut_off)
            }) => {
                if !has_members {
                    return;
                }
                log::info!("this node no longer watches the platform");
            }
            () = watch() => {}
        }
    }
}

/// Waits until a condition on the member table and on the contact to other nodes holds. Returns `false` when membership
/// has ended.
async fn wait_until(
    members: &mut watch::Receiver<Arc<Vec<Member>>>,
    cut_off: &mut watch::Receiver<bool>,
    holds: impl Fn(&[Member], bool) -> bool,
) -> bool {
    loop {
        if holds(&members.borrow_and_update(), *cut_off.borrow_and_update()) {
            return true;
        }
        let changed = tokio::select! {
            changed = members.changed() => changed,
            changed = cut_off.changed() => changed,
        };
        if changed.is_err() {
            return false;
        }
    }
}

/// Whether this node is among those that watch the platform.
pub(super) fn is_platform_watcher(own: &NodeId, members: &[Member]) -> bool {
    members
        .iter()
        .find(|member| member.node == *own)
        .is_some_and(|own| watches_platform(own, members))
}

async fn follow(platform: &PlatformClient, catalogue: &CatalogueHandle) {
    loop {
        let ended = match catch_up(platform, catalogue).await {
            Ok(start) => watch_changes(platform, catalogue, start).await,
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            log::debug!("catalogue could not be followed at the platform: {error:?}");
        }
        let wait = MAX_REREAD_DELAY.mul_f64(rand::rng().random());
        tokio::time::sleep(wait).await;
    }
}

/// Reads the changes and then the snapshot, since no gap between them can arise in this order, and applies what is
/// newer.
async fn catch_up(
    platform: &PlatformClient,
    catalogue: &CatalogueHandle,
) -> Result<WatchStart, Report<PlatformError>> {
    let listing = platform.list(Kind::CatalogueChanges).await?;
    let snapshot = platform
        .get(Kind::CatalogueSnapshots, SNAPSHOT_NAME)
        .await?;
    let snapshot = snapshot.and_then(|object| read_snapshot(&object));
    let changes: Vec<LoggedChange> = listing
        .objects
        .iter()
        .filter_map(|object| LoggedChange::read(&object.name, &object.value))
        .collect();
    match replay(snapshot.as_ref(), &changes) {
        Ok(replayed) => {
            for (revision, problem) in &replayed.skipped {
                log::warn!("catalogue change {revision} is invalid and without effect: {problem}");
            }
            apply_update(
                catalogue,
                &replayed.state.changes_since(revision(catalogue)),
            )
            .await;
        }
        // The catalogue in effect stays until a later read succeeds.
        Err(error) => log::warn!("the catalogue at the platform cannot be rebuilt: {error}"),
    }
    Ok(WatchStart::from(&listing))
}

async fn apply_update(catalogue: &CatalogueHandle, difference: &Difference) {
    // A stale read is older than what peers have already sent.
    if difference.to <= revision(catalogue) {
        return;
    }
    if let Err(error) = catalogue.merge(difference.clone()).await {
        log::debug!("catalogue from the platform was not applied: {error:?}");
    }
}

fn revision(catalogue: &CatalogueHandle) -> u64 {
    catalogue.view().borrow().revision()
}

fn read_snapshot(object: &Object) -> Option<Difference> {
    match serde_json::from_value(object.value.clone()) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            log::warn!("the snapshot of the catalogue is invalid: {error}");
            None
        }
    }
}

/// Applies changes as they arrive. Returns when a change is missing, so that the caller reads everything again.
async fn watch_changes(
    platform: &PlatformClient,
    catalogue: &CatalogueHandle,
    start: WatchStart,
) -> Result<(), Report<PlatformError>> {
    let mut watch = platform.watch(Kind::CatalogueChanges, start);
    loop {
        let Event::Set(object) = watch.next().await? else {
            continue;
        };
        let Some(logged) = LoggedChange::read(&object.name, &object.value) else {
            continue;
        };
        if logged.revision <= revision(catalogue) {
            continue;
        }
        if logged.revision > revision(catalogue) + 1 {
            return Ok(());
        }
        if let Err(error) = catalogue.apply_or_skip(logged).await {
            log::debug!("catalogue change from the platform was not applied: {error:?}");
        }
    }
}

/// Reports each revision that takes effect to membership.
pub(super) async fn report_revisions(
    mut catalogue: watch::Receiver<Arc<jujubeline_catalogue::CatalogueState>>,
    membership: MembershipHandle,
) {
    while catalogue.changed().await.is_ok() {
        let revision = catalogue.borrow_and_update().revision();
        if !membership.revision_changed(revision).await {
            return;
        }
    }
}
