//! Join points: platform objects that name the nodes through which a new node joins.

use {
    super::watchers::lowest_ranked,
    crate::membership::{Member, Presence},
    jujubeline_core::{DataCentre, NodeId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Number of join points of each data centre.
pub const JOIN_POINTS_PER_DATA_CENTRE: usize = 3;

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
        .filter(|node| kept.iter().all(|point| point.node != *node));
    (0..JOIN_POINTS_PER_DATA_CENTRE)
        .filter(|index| !slot(*index).is_some_and(usable))
        .filter_map(|index| {
            let node = replacements.next()?;
            let member = members.iter().find(|member| member.node == node)?;
            Some((
                index,
                JoinPoint {
                    node,
                    data_centre: member.data_centre.clone(),
                    control_address: member.control_address,
                },
            ))
        })
        .collect()
}
