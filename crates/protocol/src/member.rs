//! Conversion of members, for datagrams and RPC calls.

use {
    crate::{
        ProtocolError, address,
        bounds::{MAX_MEMBERS, check_size, list_len, name},
        node_capnp::{self, member},
    },
    capnp::struct_list,
    jujubeline_coordination::membership::{Member, Presence, TargetState},
    jujubeline_core::NodeId,
};

/// A decoded message, without the members that cannot be read. Members are independent of each other, so one that cannot
/// be read must not hide the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decoded<T> {
    /// The message.
    pub value: T,
    /// Members that were left out.
    pub unreadable: Vec<UnreadableMember>,
}

/// A member that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UnreadableMember {
    /// Node of the member, if it can be read.
    pub node: Option<NodeId>,
    /// Why the member cannot be read.
    pub error: ProtocolError,
}

pub(crate) fn write(mut builder: member::Builder<'_>, member: &Member) {
    builder.set_node(&*member.node);
    builder.set_incarnation(member.incarnation);
    builder.set_update(member.update);
    address::write(builder.reborrow().init_data_address(), member.data_address);
    address::write(
        builder.reborrow().init_control_address(),
        member.control_address,
    );
    builder.set_data_centre(&*member.data_centre);
    builder.set_region(&*member.region);
    builder.set_service(&*member.service);
    builder.set_target_state(target_state_to_wire(member.target_state));
    builder.set_slots(member.slots);
    builder.set_catalogue_revision(member.catalogue_revision);
    builder.set_presence(presence_to_wire(member.presence));
    builder.set_platform_unreachable(member.platform_unreachable);
}

/// Reads a member.
pub(crate) fn read(reader: member::Reader<'_>) -> Result<Member, UnreadableMember> {
    read_fields(reader).map_err(|error| {
        let node = reader.get_node().map_err(ProtocolError::from);
        let node = node.and_then(|node| name("member.node", node)).ok();
        UnreadableMember { node, error }
    })
}

fn read_fields(reader: member::Reader<'_>) -> Result<Member, ProtocolError> {
    Ok(Member {
        node: name("member.node", reader.get_node()?)?,
        incarnation: reader.get_incarnation(),
        update: reader.get_update(),
        data_address: address::read(reader.get_data_address()?)?,
        control_address: address::read(reader.get_control_address()?)?,
        data_centre: name("member.dataCentre", reader.get_data_centre()?)?,
        region: name("member.region", reader.get_region()?)?,
        service: name("member.service", reader.get_service()?)?,
        target_state: target_state(reader.get_target_state()?),
        slots: reader.get_slots(),
        catalogue_revision: reader.get_catalogue_revision(),
        presence: presence(reader.get_presence()?),
        platform_unreachable: reader.get_platform_unreachable(),
    })
}

/// Writes members into the list that `init` allocates for the given length.
///
/// # Errors
///
/// When there are more than 16,384 members; `init` is then not called.
pub fn write_members<'a>(
    members: &[Member],
    init: impl FnOnce(u32) -> struct_list::Builder<'a, member::Owned>,
) -> Result<(), ProtocolError> {
    let mut list = init(list_len("members", members.len(), MAX_MEMBERS)?);
    for (index, member) in (0..).zip(members) {
        write(list.reborrow().get(index), member);
    }
    Ok(())
}

/// Reads a list of members. Those with an invalid name, address, state or presence are left out.
///
/// # Errors
///
/// When there are more than 16,384 members.
pub fn read_members(
    list: struct_list::Reader<'_, member::Owned>,
) -> Result<Decoded<Vec<Member>>, ProtocolError> {
    check_size("members", list.len() as usize, MAX_MEMBERS)?;
    Ok(decode_each(list.iter().map(read)))
}

/// Separates the members that can be read from the others.
pub(crate) fn decode_each<T>(
    read: impl Iterator<Item = Result<T, UnreadableMember>>,
) -> Decoded<Vec<T>> {
    let mut unreadable = Vec::new();
    let value = read
        .filter_map(|member| member.map_err(|error| unreadable.push(error)).ok())
        .collect();
    Decoded { value, unreadable }
}

const fn target_state_to_wire(state: TargetState) -> node_capnp::TargetState {
    match state {
        TargetState::Cold => node_capnp::TargetState::Cold,
        TargetState::Ready => node_capnp::TargetState::Ready,
        TargetState::Draining => node_capnp::TargetState::Draining,
        TargetState::Gone => node_capnp::TargetState::Gone,
    }
}

const fn target_state(state: node_capnp::TargetState) -> TargetState {
    match state {
        node_capnp::TargetState::Cold => TargetState::Cold,
        node_capnp::TargetState::Ready => TargetState::Ready,
        node_capnp::TargetState::Draining => TargetState::Draining,
        node_capnp::TargetState::Gone => TargetState::Gone,
    }
}

pub(crate) const fn presence_to_wire(presence: Presence) -> node_capnp::Presence {
    match presence {
        Presence::Alive => node_capnp::Presence::Alive,
        Presence::Suspect => node_capnp::Presence::Suspect,
        Presence::Unreachable => node_capnp::Presence::Unreachable,
        Presence::Dead => node_capnp::Presence::Dead,
        Presence::Left => node_capnp::Presence::Left,
    }
}

pub(crate) const fn presence(presence: node_capnp::Presence) -> Presence {
    match presence {
        node_capnp::Presence::Alive => Presence::Alive,
        node_capnp::Presence::Suspect => Presence::Suspect,
        node_capnp::Presence::Unreachable => Presence::Unreachable,
        node_capnp::Presence::Dead => Presence::Dead,
        node_capnp::Presence::Left => Presence::Left,
    }
}
