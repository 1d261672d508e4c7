//! Keeps quarantined requests at the platform, so that they outlast a restart of all nodes and reach a node that hears
//! no other.

use {
    super::{membership_actor::MembershipHandle, platform_follow::is_platform_watcher},
    error_stack::Report,
    jujubeline_coordination::StoredQuarantine,
    jujubeline_core::NodeId,
    jujubeline_platform::{Kind, Object, PlatformClient, PlatformError},
    rand::Rng,
    std::{
        collections::BTreeSet,
        time::{Duration, SystemTime},
    },
    tokio::time::{sleep, timeout},
};

/// Longest random delay before the first read. Nodes that start together must not read at the same time.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(500);

/// Time between two reads while a node hears no other, or after a read that failed. A node must know of quarantined
/// requests within 3 s.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Longest random delay before a write, in which another watcher of the platform may write first.
const WRITE_SPREAD: Duration = Duration::from_secs(1);

/// Time after a failed write until the next.
const WRITE_RETRY_PERIOD: Duration = Duration::from_secs(5);

/// Reads quarantined requests when the node starts and while it hears no other node, and writes those that it learns of
/// if it watches the platform, until the task is cancelled.
pub(super) async fn run(platform: PlatformClient, own: NodeId, membership: MembershipHandle) {
    let (reading, writing) = (
        read_when_needed(&platform, &membership),
        write_changes(&platform, &own, &membership),
    );
    tokio::join!(reading, writing);
}

async fn read_when_needed(platform: &PlatformClient, membership: &MembershipHandle) {
    let wait = FIRST_READ_SPREAD.mul_f64(rand::rng().random());
    sleep(wait).await;
    while let Err(error) = read(platform, membership).await {
        log::debug!("quarantined requests could not be read: {error:?}");
        sleep(READ_PERIOD).await;
    }
    let mut cut_off = membership.cut_off();
    while cut_off.wait_for(|is_cut_off| *is_cut_off).await.is_ok() {
        if let Err(error) = read(platform, membership).await {
            log::debug!("quarantined requests could not be read: {error:?}");
        }
        sleep(READ_PERIOD).await;
    }
}

async fn read(
    platform: &PlatformClient,
    membership: &MembershipHandle,
) -> Result<(), Report<PlatformError>> {
    let listing = platform.list_stale(Kind::Quarantines).await?;
    let now = SystemTime::now();
    // The client has noted objects whose value cannot be read.
    let readable = |object: &Object| !object.value.is_null();
    for object in listing.objects.into_iter().filter(readable) {
        match serde_json::from_value::<StoredQuarantine>(object.value) {
            Ok(stored) => membership.learn_crashes(stored.reports(now)).await,
            Err(error) => {
                platform.note_unreadable(Kind::Quarantines, &object.name, &error.to_string());
            }
        }
    }
    Ok(())
}

async fn write_changes(platform: &PlatformClient, own: &NodeId, membership: &MembershipHandle) {
    let mut changes = membership.quarantine_changes();
    let mut written = BTreeSet::new();
    let mut is_complete = true;
    loop {
        let wakeup = if is_complete {
            changes.changed().await
        } else {
            let waited = timeout(WRITE_RETRY_PERIOD, changes.changed()).await;
            waited.unwrap_or(Ok(()))
        };
        if wakeup.is_err() {
            return;
        }
        let wait = WRITE_SPREAD.mul_f64(rand::rng().random());
        sleep(wait).await;
        changes.borrow_and_update();
        let is_watcher = is_platform_watcher(own, &membership.view().borrow());
        is_complete = !is_watcher
            || match write(platform, membership, &mut written).await {
                Ok(()) => true,
                Err(error) => {
                    log::debug!("quarantined requests could not be written: {error:?}");
                    false
                }
            };
    }
}

/// Writes the quarantines that the platform lacks, and deletes those that have ended or that this node wrote and that
/// were cleared since.
async fn write(
    platform: &PlatformClient,
    membership: &MembershipHandle,
    written: &mut BTreeSet<String>,
) -> Result<(), Report<PlatformError>> {
    let now = SystemTime::now();
    let current = StoredQuarantine::from_reports(&membership.crash_reports().await, now);
    // A copy is enough: an object that it lacks is refused as existing, and one that has changed is not deleted.
    let objects = platform.list_stale(Kind::Quarantines).await?.objects;
    for (name, quarantine) in &current {
        if objects.iter().any(|object| object.name == *name) {
            continue;
        }
        let Ok(value) = serde_json::to_value(quarantine) else {
            continue;
        };
        match platform.create(Kind::Quarantines, name, value).await {
            Ok(_) => {
                written.insert(name.clone());
                log::info!("the quarantine of request {name} is kept at the platform");
            }
            // Another watcher of the platform wrote it first.
            Err(error) if matches!(error.current_context(), PlatformError::AlreadyExists) => {}
            Err(error) => return Err(error),
        }
    }
    for object in objects {
        let stored = serde_json::from_value::<StoredQuarantine>(object.value);
        let has_ended = stored.is_ok_and(|stored| stored.has_ended(now));
        let is_cleared = written.contains(&object.name) && !current.contains_key(&object.name);
        if !has_ended && !is_cleared {
            continue;
        }
        written.remove(&object.name);
        let version = object.resource_version;
        match platform
            .delete(Kind::Quarantines, &object.name, version)
            .await
        {
            Ok(()) => {}
            // Another watcher of the platform deleted it first.
            Err(error)
                if matches!(
                    error.current_context(),
                    PlatformError::Conflict | PlatformError::NotFound
                ) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
