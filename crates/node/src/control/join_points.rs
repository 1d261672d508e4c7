//! Join points at the platform: read by isolated nodes, read and written by the nodes that watch the platform.

use {
    super::{membership_actor::MembershipHandle, platform_follow::is_platform_watcher},
    error_stack::Report,
    jujubeline_coordination::{
        membership::Member,
        replication::{
            JOIN_POINTS_PER_DATA_CENTRE, JoinPoint, JoinPointRound, JoinPointSchedule,
            join_point_name, join_points_to_write,
        },
    },
    jujubeline_core::NodeId,
    jujubeline_platform::{Kind, Object, PlatformClient, PlatformError, StoreEra},
    rand::Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::timeout,
    },
};

/// Longest delay of the first read, and of the first one after a restore of the platform.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(300);

/// Keeps the join points up to date and sends the addresses of unknown nodes to `contacts`, until the task is
/// cancelled.
pub(super) async fn run(
    platform: PlatformClient,
    own: NodeId,
    membership: MembershipHandle,
    contacts: mpsc::Sender<SocketAddr>,
) {
    let mut schedule = JoinPointSchedule::default();
    let mut eras = platform.eras();
    let mut era = None;
    // Of nodes that start together, the first to read writes the join point through which the others join.
    let first_read = FIRST_READ_SPREAD.mul_f64(rand::rng().random());
    tokio::time::sleep(first_read).await;
    loop {
        let members = Arc::clone(&membership.view().borrow());
        let is_isolated = members.len() <= 1;
        let round = schedule.begin(is_isolated);
        let mut has_written = false;
        if is_isolated || is_platform_watcher(&own, &members) {
            let refresh = Refresh {
                platform: &platform,
                own: &own,
                members: &members,
                membership: &membership,
                contacts: &contacts,
                is_isolated,
                round,
            };
            match refresh.run().await {
                Ok(written) => has_written = written,
                Err(error) => log::debug!("join points could not be read or written: {error:?}"),
            }
        }
        // Random jitter, so that nodes that start together do not read at the same time.
        let jitter = rand::rng().random_range(0.75..1.25);
        let period = schedule.period(is_isolated, has_written).mul_f64(jitter);
        if timeout(period, restored(&mut eras, &mut era)).await.is_ok() {
            schedule.platform_restored();
            let wait = FIRST_READ_SPREAD.mul_f64(rand::rng().random());
            tokio::time::sleep(wait).await;
        }
    }
}

/// Waits until answers of the platform show that it was restored from a copy since `known`, which is then updated.
async fn restored(eras: &mut watch::Receiver<Option<StoreEra>>, known: &mut Option<StoreEra>) {
    loop {
        let era = *eras.borrow_and_update();
        let former = std::mem::replace(known, era);
        if former.is_some() && former != era {
            return;
        }
        if eras.changed().await.is_err() {
            return std::future::pending().await;
        }
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
    round: JoinPointRound,
}

/// Objects of the platform, with the join points that they hold.
struct Points {
    objects: Vec<Object>,
    points: Vec<(String, JoinPoint)>,
}

impl Refresh<'_> {
    /// Returns whether a join point was written.
    async fn run(&self) -> Result<bool, Report<PlatformError>> {
        let copy = if self.round.may_be_stale {
            self.platform.list_stale(Kind::JoinPoints).await?
        } else {
            self.platform.list(Kind::JoinPoints).await?
        };
        let copy = Points::new(self.platform, copy.objects);
        let knows_contact = self.offer_contacts(&copy);
        let Some(own) = self.members.iter().find(|member| member.node == *self.own) else {
            return Ok(false);
        };
        let is_done = if self.is_isolated {
            knows_contact && !self.round.may_write
        } else {
            !knows_contact && copy.to_write(own, self.members).is_empty()
        };
        if is_done {
            return Ok(false);
        }
        // The copy may lack the join points of nodes that started at the same time.
        let current = self.platform.list(Kind::JoinPoints).await?.objects;
        let current = Points::new(self.platform, current);
        if self.offer_contacts(&current) && !self.round.may_write {
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
    fn new(platform: &PlatformClient, objects: Vec<Object>) -> Self {
        let read = |object: &Object| match serde_json::from_value(object.value.clone()) {
            Ok(point) => Some((object.name.clone(), point)),
            // The client has noted it.
            Err(_) if object.value.is_null() => None,
            Err(error) => {
                platform.note_unreadable(Kind::JoinPoints, &object.name, &error.to_string());
                None
            }
        };
        let points = objects.iter().filter_map(read).collect();
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
