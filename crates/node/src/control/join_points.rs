//! Join points at the platform: read by isolated nodes, read and written by the nodes that watch the platform.

use {
    super::{membership_actor::MembershipHandle, platform_follow::is_platform_watcher},
    error_stack::Report,
    jujubeline_coordination::{
        membership::Member,
        replication::{
            JOIN_POINTS_PER_DATA_CENTRE, JoinPoint, join_point_name, join_points_to_write,
        },
    },
    jujubeline_core::NodeId,
    jujubeline_platform::{Kind, Object, PlatformClient, PlatformError},
    rand::Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Time between two reads while this node is isolated, that is, while it is the only member in its table.
const ISOLATED_PERIOD: Duration = Duration::from_secs(2);

/// Time between two reads by a node that watches the platform. Reads of 18 nodes in this period are 0.6 calls/s at the
/// platform.
const READ_PERIOD: Duration = Duration::from_secs(30);

/// Time between two reads by a node that watches the platform and has just started. Nodes that start together may form
/// several separate groups; 30 nodes took 28 s to form a single group at [`READ_PERIOD`].
const EARLY_READ_PERIOD: Duration = Duration::from_secs(3);

/// Number of rounds after the start, those of an isolated node included, before [`READ_PERIOD`] applies.
const EARLY_READS: u32 = 10;

/// Reads by an isolated node before it replaces join points of nodes that it could not join through.
const READS_BEFORE_WRITE: u32 = 3;

/// Keeps the join points up to date and sends the addresses of unknown nodes to `contacts`, until the task is
/// cancelled.
pub(super) async fn run(
    platform: PlatformClient,
    own: NodeId,
    membership: MembershipHandle,
    contacts: mpsc::Sender<SocketAddr>,
) {
    let mut reads_while_isolated = 0;
    let mut rounds = 0_u32;
    loop {
        let members = Arc::clone(&membership.view().borrow());
        let is_isolated = members.len() <= 1;
        reads_while_isolated = if is_isolated {
            reads_while_isolated + 1
        } else {
            0
        };
        // The nodes of existing join points are tried first; they may also all be gone.
        let may_write = !is_isolated || reads_while_isolated > READS_BEFORE_WRITE;
        if (is_isolated || is_platform_watcher(&own, &members))
            && let Err(error) =
                refresh_join_points(&platform, &own, &members, &membership, &contacts, may_write)
                    .await
        {
            log::debug!("join points could not be read or written: {error:?}");
        }
        rounds = rounds.saturating_add(1);
        let period = match (is_isolated, rounds <= EARLY_READS) {
            (true, _) => ISOLATED_PERIOD,
            (false, true) => EARLY_READ_PERIOD,
            (false, false) => READ_PERIOD,
        };
        // Random jitter, so that nodes that start together do not read at the same time.
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(period.mul_f64(jitter)).await;
    }
}

async fn refresh_join_points(
    platform: &PlatformClient,
    own: &NodeId,
    members: &[Member],
    membership: &MembershipHandle,
    contacts: &mpsc::Sender<SocketAddr>,
    may_write: bool,
) -> Result<(), Report<PlatformError>> {
    let listing = platform.list(Kind::JoinPoints).await?;
    let points: Vec<(&Object, JoinPoint)> = listing
        .objects
        .iter()
        .filter_map(|object| Some((object, read(object)?)))
        .collect();
    let mut unknown = false;
    for (_, point) in &points {
        // A point that names this node under an old address is not a contact.
        if point.node != *own && !membership.has_member_at(point.control_address) {
            unknown = true;
            // An address that a full queue rejects is sent after the next read; the queue is emptied before that.
            let _ = contacts.try_send(point.control_address);
        }
    }
    let Some(own) = members.iter().find(|member| member.node == *own) else {
        return Ok(());
    };
    if unknown && !may_write {
        return Ok(());
    }
    write(platform, own, members, &listing.objects, &points).await
}

async fn write(
    platform: &PlatformClient,
    own: &Member,
    members: &[Member],
    objects: &[Object],
    points: &[(&Object, JoinPoint)],
) -> Result<(), Report<PlatformError>> {
    let names: Vec<String> = (0..JOIN_POINTS_PER_DATA_CENTRE)
        .map(|slot| join_point_name(&own.data_centre, slot))
        .collect();
    let present: Vec<Option<JoinPoint>> = names
        .iter()
        .map(|name| {
            let found = points.iter().find(|(object, _)| object.name == *name);
            found.map(|(_, point)| point.clone())
        })
        .collect();
    for (slot, point) in join_points_to_write(own, members, &present) {
        let Ok(value) = serde_json::to_value(&point) else {
            continue;
        };
        let name = &names[slot];
        let written = match objects.iter().find(|object| object.name == *name) {
            Some(object) => {
                platform
                    .update(Kind::JoinPoints, name, object.resource_version, value)
                    .await
            }
            None => platform.create(Kind::JoinPoints, name, value).await,
        };
        match written {
            Ok(_) => log::info!("join point {name} names {}", point.node),
            // Another node wrote the join point first; the next read returns its value.
            Err(error)
                if matches!(
                    error.current_context(),
                    PlatformError::Conflict | PlatformError::AlreadyExists
                ) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn read(object: &Object) -> Option<JoinPoint> {
    serde_json::from_value(object.value.clone()).ok()
}
