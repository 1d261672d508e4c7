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

/// Longest delay of the first read.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(300);

/// Time between a write by an isolated node and its next read. Nodes that found no join point at the same moment wrote
/// several and find each other by reading again.
const CONFIRM_PERIOD: Duration = Duration::from_millis(400);

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
    // Of nodes that start together, the first to read writes the join point through which the others join.
    let first_read = FIRST_READ_SPREAD.mul_f64(rand::rng().random());
    tokio::time::sleep(first_read).await;
    loop {
        let members = Arc::clone(&membership.view().borrow());
        let is_isolated = members.len() <= 1;
        reads_while_isolated = if is_isolated {
            reads_while_isolated + 1
        } else {
            0
        };
        let mut has_written = false;
        if is_isolated || is_platform_watcher(&own, &members) {
            let refresh = Refresh {
                platform: &platform,
                own: &own,
                members: &members,
                membership: &membership,
                contacts: &contacts,
                is_isolated,
                // The nodes of existing join points are tried first; they may also all be gone.
                may_write: !is_isolated || reads_while_isolated > READS_BEFORE_WRITE,
            };
            match refresh.run().await {
                Ok(written) => has_written = written,
                Err(error) => log::debug!("join points could not be read or written: {error:?}"),
            }
        }
        rounds = rounds.saturating_add(1);
        let period = match (is_isolated, rounds <= EARLY_READS) {
            (true, _) if has_written => CONFIRM_PERIOD,
            (true, _) => ISOLATED_PERIOD,
            (false, true) => EARLY_READ_PERIOD,
            (false, false) => READ_PERIOD,
        };
        // Random jitter, so that nodes that start together do not read at the same time.
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(period.mul_f64(jitter)).await;
    }
}

/// One round of reading the join points, and of writing those that are missing or whose nodes are gone.
struct Refresh<'a> {
    platform: &'a PlatformClient,
    own: &'a NodeId,
    members: &'a [Member],
    membership: &'a MembershipHandle,
    contacts: &'a mpsc::Sender<SocketAddr>,
    is_isolated: bool,
    may_write: bool,
}

/// Objects of the platform, with the join points that they hold.
struct Points {
    objects: Vec<Object>,
    points: Vec<(String, JoinPoint)>,
}

impl Refresh<'_> {
    /// Returns whether a join point was written.
    async fn run(&self) -> Result<bool, Report<PlatformError>> {
        let copy = Points::new(self.platform.list_stale(Kind::JoinPoints).await?.objects);
        let knows_contact = self.offer_contacts(&copy);
        let Some(own) = self.members.iter().find(|member| member.node == *self.own) else {
            return Ok(false);
        };
        let is_done = if self.is_isolated {
            knows_contact && !self.may_write
        } else {
            !knows_contact && copy.to_write(own, self.members).is_empty()
        };
        if is_done {
            return Ok(false);
        }
        // The copy may lack the join points of nodes that started at the same time.
        let current = Points::new(self.platform.list(Kind::JoinPoints).await?.objects);
        if self.offer_contacts(&current) && !self.may_write {
            return Ok(false);
        }
        write(self.platform, own, self.members, &current).await
    }

    /// Sends the addresses of unknown nodes to be joined through. Returns whether there are any.
    fn offer_contacts(&self, points: &Points) -> bool {
        let mut has_contact = false;
        for (_, point) in &points.points {
            // A point that names this node under an old address is not a contact.
            if point.node != *self.own && !self.membership.has_member_at(point.control_address) {
                has_contact = true;
                // An address that a full queue rejects is sent after the next read; the queue is emptied before that.
                let _ = self.contacts.try_send(point.control_address);
            }
        }
        has_contact
    }
}

impl Points {
    fn new(objects: Vec<Object>) -> Self {
        let points = objects
            .iter()
            .filter_map(|object| {
                let point = serde_json::from_value(object.value.clone()).ok()?;
                Some((object.name.clone(), point))
            })
            .collect();
        Self { objects, points }
    }

    /// The join points of this node's data centre that have to be written, each with the name of its object.
    fn to_write(&self, own: &Member, members: &[Member]) -> Vec<(String, JoinPoint)> {
        let names: Vec<String> = (0..JOIN_POINTS_PER_DATA_CENTRE)
            .map(|slot| join_point_name(&own.data_centre, slot))
            .collect();
        let present: Vec<Option<JoinPoint>> = names
            .iter()
            .map(|name| {
                let found = self.points.iter().find(|(known, _)| known == name);
                found.map(|(_, point)| point.clone())
            })
            .collect();
        join_points_to_write(own, members, &present)
            .into_iter()
            .map(|(slot, point)| (names[slot].clone(), point))
            .collect()
    }
}

/// Writes the join points that are missing or whose nodes are gone. Returns whether one was written.
async fn write(
    platform: &PlatformClient,
    own: &Member,
    members: &[Member],
    current: &Points,
) -> Result<bool, Report<PlatformError>> {
    let mut has_written = false;
    for (name, point) in current.to_write(own, members) {
        let Ok(value) = serde_json::to_value(&point) else {
            continue;
        };
        let known = current.objects.iter().find(|object| object.name == name);
        let written = match known {
            Some(object) => {
                platform
                    .update(Kind::JoinPoints, &name, object.resource_version, value)
                    .await
            }
            None => platform.create(Kind::JoinPoints, &name, value).await,
        };
        has_written = true;
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
    Ok(has_written)
}
