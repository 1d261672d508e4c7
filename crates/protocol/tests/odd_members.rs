//! Members that cannot be read, among others in a table or a datagram.

use {
    capnp::{
        message::{Builder, ReaderOptions},
        serialize_packed, struct_list,
    },
    jujubeline_coordination::membership::{
        Datagram, DatagramKind, Member, Presence, TargetState, Update,
    },
    jujubeline_core::cases,
    jujubeline_protocol::{
        ProtocolError, decode_datagram, encode_datagram,
        node_capnp::{address, datagram, member, node, update},
        read_members, write_members,
    },
    std::{net::SocketAddr, sync::Arc},
};

fn ping() -> Datagram {
    Datagram {
        sender: "one".into(),
        incarnation: 1,
        catalogue_revision: 1,
        sequence: 1,
        kind: DatagramKind::Ping,
        updates: Vec::new(),
        crashes: Vec::new(),
    }
}

fn member_named(node: &str) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_402));
    Member {
        node: node.into(),
        incarnation: 1,
        update: 1,
        data_address: address,
        control_address: address,
        data_centre: "kingston".into(),
        region: "jm-south".into(),
        service: "schedules".into(),
        target_state: TargetState::Ready,
        slots: 8,
        catalogue_revision: 1,
        presence: Presence::Alive,
        platform_unreachable: false,
    }
}

fn three_members() -> [Member; 3] {
    ["first", "second", "third"].map(member_named)
}

fn set_no_name(mut member: member::Builder<'_>) {
    member.set_node("");
}

fn set_long_name(mut member: member::Builder<'_>) {
    member.set_node("n".repeat(10_000));
}

fn set_control_character(mut member: member::Builder<'_>) {
    member.set_data_centre("king\nston");
}

fn set_no_service(mut member: member::Builder<'_>) {
    member.set_service("");
}

fn set_short_address(member: member::Builder<'_>) {
    let mut address: address::Builder<'_> = member.init_control_address();
    address.set_ipv6(&[0; 3]);
}

cases! {
    /// Guards against one malformed member that hides all others in the table that a peer sends.
    fn malformed_member_hides_no_other_in_a_table(spoil: fn(member::Builder<'_>)) {
        let mut message = Builder::new_default();
        let mut results = message.init_root::<node::members_results::Builder<'_>>();
        write_members(&three_members(), |len| results.reborrow().init_members(len)).expect("fits");
        spoil(results.reborrow().get_members().expect("written").get(1));
        let list = results.into_reader().get_members().expect("written");
        let nodes: Vec<_> = read_nodes(list);
        assert_eq!(nodes, ["first", "third"]);
    }
    member_without_name: (set_no_name),
    member_with_long_name: (set_long_name),
    member_with_control_character: (set_control_character),
    member_without_service: (set_no_service),
    member_with_short_address: (set_short_address),
}

cases! {
    /// Guards against one malformed member because of which a node drops datagrams and takes their senders for dead.
    fn malformed_member_hides_no_other_in_a_datagram(spoil: fn(member::Builder<'_>)) {
        let updates = three_members().map(|member| Update::Described(Arc::new(member)));
        let sent = Datagram { updates: updates.to_vec(), ..ping() };
        let bytes = encode_datagram(&sent).expect("fits");
        let message = serialize_packed::read_message(&*bytes, ReaderOptions::new()).expect("valid");
        let mut spoiled = Builder::new_default();
        spoiled.set_root(message.get_root::<datagram::Reader<'_>>().expect("valid")).expect("fits");
        let root = spoiled.get_root::<datagram::Builder<'_>>().expect("valid");
        let second = root.get_updates().expect("written").get(1);
        match second.which().expect("known") {
            update::Described(member) => spoil(member.expect("written")),
            update::Claimed(_) => unreachable!("all updates describe members"),
        }
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &spoiled).expect("fits");
        let received = decode(&bytes).expect("the datagram holds");
        let expected = [sent.updates[0].clone(), sent.updates[2].clone()];
        assert_eq!(received.updates, expected);
        assert_eq!((received.sender, received.kind), (sent.sender, sent.kind));
    }
    update_without_name: (set_no_name),
    update_with_control_character: (set_control_character),
    update_without_service: (set_no_service),
    update_with_short_address: (set_short_address),
}

fn read_nodes(list: struct_list::Reader<'_, member::Owned>) -> Vec<String> {
    let read = read_members(list).expect("within the bound");
    assert_eq!(read.unreadable.len(), 1);
    read.value
        .iter()
        .map(|member| member.node.to_string())
        .collect()
}

fn decode(bytes: &[u8]) -> Result<Datagram, ProtocolError> {
    let decoded = decode_datagram(bytes)?;
    assert_eq!(decoded.unreadable.len(), 1);
    Ok(decoded.value)
}
