//! Join points: platform objects that name the nodes through which a new node joins.

use {
    super::watchers::lowest_ranked,
    crate::membership::{Member, Presence},
    jujubeline_core::{DataCentre, NodeId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Number of join points of each data centre.
pub const JOIN_POINTS_PER_DATA_CENTRE: usize = 3;

/// Time between two reads while a node is isolated, that is, while it is the only member in its table.
const ISOLATED_PERIOD: Duration = Duration::from_secs(2);

/// Time between two reads by a node that watches the platform. Reads of 18 nodes in this period are 0.6 calls/s at the
/// platform.
const READ_PERIOD: Duration = Duration::from_secs(30);

/// Time between two reads by a node that watches the platform and has just started. Nodes that start together may form
/// several separate groups; 30 nodes took 28 s to form a single group at [`READ_PERIOD`].
const EARLY_READ_PERIOD: Duration = Duration::from_secs(3);

/// Number of rounds after the start, those of an isolated node included, before [`READ_PERIOD`] applies.
const EARLY_READS: u32 = 10;

/// Time between a write by an isolated node and its next read. Nodes that found no join point at the same moment wrote
/// several and find each other by reading again.
const CONFIRM_PERIOD: Duration = Duration::from_millis(400);

/// Reads by an isolated node before it replaces join points of nodes that it could not join through.
const READS_BEFORE_WRITE: u32 = 3;

/// When a node reads the join points, and whether it may write them.
#[derive(Debug, Clone, Default)]
pub struct JoinPointSchedule {
    rounds: u32,
    reads_while_isolated: u32,
    /// Whether the platform was restored from a copy since the last read.
    is_restored: bool,
}

/// How one round of reading the join points is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JoinPointRound {
    /// Whether join points may be written. An isolated node first tries the nodes of the existing ones, which may also
    /// all be gone.
    pub may_write: bool,
    /// Whether a copy that is seconds old may answer. After a restore of the platform, a copy may still show join points
    /// that are lost.
    pub may_be_stale: bool,
}

impl JoinPointSchedule {
    /// Begins a round.
    pub fn begin(&mut self, is_isolated: bool) -> JoinPointRound {
        self.reads_while_isolated = if is_isolated {
            self.reads_while_isolated + 1
        } else {
            0
        };
        self.rounds = self.rounds.saturating_add(1);
        JoinPointRound {
            may_write: !is_isolated || self.reads_while_isolated > READS_BEFORE_WRITE,
            may_be_stale: !std::mem::take(&mut self.is_restored),
        }
    }

    /// Records that the platform was restored from a copy. The next round is due at once.
    pub const fn platform_restored(&mut self) {
        self.is_restored = true;
    }

    /// Time until the next round, after one that has written a join point or not.
    #[must_use]
    pub const fn period(&self, is_isolated: bool, has_written: bool) -> Duration {
        match (is_isolated, self.rounds <= EARLY_READS) {
            (true, _) if has_written => CONFIRM_PERIOD,
            (true, _) => ISOLATED_PERIOD,
            (false, true) => EARLY_READ_PERIOD,
            (false, false) => READ_PERIOD,
        }
    }
}

/// A node that others can join through.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinPoint {
    /// Name of the node.
    pub node: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Address at which the node receives control messages.
    pub control_address: SocketAddr,
}

/// Name of the object for a slot of a data centre.
#[must_use]
pub fn join_point_name(data_centre: &str, slot: usize) -> String {
    format!("{data_centre}-{slot}")
}

/// Slots of this node's data centre that must be written: those that are missing, and those whose node is dead, has
/// left, or is not in the table with this control address.
///
/// Objects are rewritten only then, so the number of writes depends on the failures and not on the size of the fleet.
#[must_use]
pub fn join_points_to_write(
    own: &Member,
    members: &[Member],
    present: &[Option<JoinPoint>],
) -> Vec<(usize, JoinPoint)> {
    let usable = |point: &JoinPoint| {
        members.iter().any(|member| {
            member.node == point.node
                && member.control_address == point.control_address
                && !matches!(member.presence, Presence::Dead | Presence::Left)
        })
    };
    let slot = |slot: usize| present.get(slot).and_then(Option::as_ref);
    let kept: Vec<&JoinPoint> = (0..JOIN_POINTS_PER_DATA_CENTRE)
        .filter_map(slot)
        .filter(|point| usable(point))
        .collect();
    let mut replacements = lowest_ranked(own, members, JOIN_POINTS_PER_DATA_CENTRE * 2)
        .into_iter()
        .filter(|member| kept.iter().all(|point| point.node != member.node));
    (0..JOIN_POINTS_PER_DATA_CENTRE)
        .filter(|index| !slot(*index).is_some_and(usable))
        .filter_map(|index| {
            let member = replacements.next()?;
            Some((
                index,
                JoinPoint {
                    node: member.node.clone(),
                    data_centre: member.data_centre.clone(),
                    control_address: member.control_address,
                },
            ))
        })
        .collect()
}
