//! Checks of the shard table's edits.

use {
    jujubeline_coordination::claims::{GateId, RegisteredGate, SHARDS, ShardTable, TableRefusal},
    jujubeline_core::cases,
    std::collections::BTreeMap,
};

fn gate(number: u16, incarnation: u64, port: u16) -> RegisteredGate {
    RegisteredGate {
        gate: GateId {
            node: format!("n{number}").into(),
            incarnation,
        },
        control_address: ([127, 0, 0, 1], port).into(),
        data_centre: "dc".into(),
    }
}

/// A table with this number of gates, each with its assigned shards.
fn assigned(gates: u16) -> ShardTable {
    let mut table = ShardTable::default();
    for number in 0..gates {
        table = table.register(gate(number, 1, 7_000 + number)).unwrap();
    }
    apply_assignment(table).0
}

fn apply_assignment(mut table: ShardTable) -> (ShardTable, usize) {
    let moves = table.assign(|_| true);
    for assignment in &moves {
        table = table
            .take_over(&[assignment.shard], &assignment.to)
            .unwrap();
    }
    (table, moves.len())
}

cases! {
    /// Guards against an unfair share of shards, and against moves that balance does not need.
    fn assignment_is_fair(gates: u16) {
        let table = assigned(gates);
        let mut held = BTreeMap::new();
        for shard in &table.shards {
            *held.entry(shard.owner.clone().unwrap()).or_insert(0_u16) += 1;
        }
        let share = SHARDS.div_ceil(gates);
        assert!(held.values().all(|count| *count <= share), "{held:?}");
        assert!(table.assign(|_| true).is_empty());
        let (_, moves) = apply_assignment(table.register(gate(gates, 1, 9_000)).unwrap());
        let lower_share = SHARDS.div_ceil(gates + 1);
        assert!(moves <= usize::from(SHARDS - gates * lower_share.min(SHARDS / gates)), "{moves}");
    }
    two_gates: (2),
    three_gates: (3),
    twenty_gates: (20),
    more_gates_than_shards: (90),
}

/// Guards against a takeover that excuses an owner which may hold the only copy of a record.
#[test]
fn only_a_settled_owner_is_excused() {
    let table = assigned(3);
    let (first, second) = (&table.gates[0].gate, &table.gates[1].gate);
    let table = table.take_over(&[0], first).unwrap();
    let unsettled = table.take_over(&[0], second).unwrap();
    assert_eq!(unsettled.shards[0].excused, None);
    let settled = table.settle(&[(0, table.shards[0].epoch)], first).unwrap();
    let excused = settled.take_over(&[0], second).unwrap();
    assert_eq!(excused.shards[0].excused.as_ref(), Some(first));
    assert!(excused.shards[0].epoch > settled.shards[0].epoch);
}

/// Guards against records that are lost unnoticed: a departed gate stays listed until each owner has settled again.
#[test]
fn departed_gate_is_listed_until_records_are_copied() {
    let table = assigned(3);
    let owner = table.shards[0].owner.clone().unwrap();
    let epoch = table.shards[0].epoch;
    let other = table
        .gates
        .iter()
        .find(|entry| entry.gate != owner)
        .unwrap();
    let replaced = RegisteredGate {
        gate: GateId {
            incarnation: 2,
            ..other.gate.clone()
        },
        ..other.clone()
    };
    let table = table.register(replaced).unwrap();
    assert!(table.departed[0].shards.contains(&0));
    let table = table.settle(&[(0, epoch)], &owner).unwrap();
    assert!(!table.departed[0].shards.contains(&0));
}

/// The table with every shard settled by its owner.
fn all_settled(mut table: ShardTable) -> ShardTable {
    for number in 0..SHARDS {
        let shard = &table.shards[usize::from(number)];
        let (epoch, owner) = (shard.epoch, shard.owner.clone().unwrap());
        table = table.settle(&[(number, epoch)], &owner).unwrap();
    }
    table
}

cases! {
    /// Guards against a gate that leaves while another node still needs its records or its fence reply.
    fn gate_can_leave(leaver: u16, change: fn(ShardTable) -> ShardTable, expected: bool) {
        let table = all_settled(assigned(3)).register(gate(3, 1, 7_003)).unwrap();
        assert_eq!(change(table).can_leave(&gate(leaver, 1, 0).gate), expected);
    }
    all_shards_settled: (0, |table| table, true),
    takeover_in_progress: (
        0,
        |table| table.take_over(&[0], &gate(1, 1, 0).gate).unwrap(),
        false
    ),
    owner_has_departed: (
        3,
        |table| table.deregister(&gate(1, 1, 0).gate).unwrap(),
        false
    ),
    own_shard_awaits_copies: (
        0,
        |table| {
            let table = table.deregister(&gate(1, 1, 0).gate).unwrap();
            let (remaining, departed) = (gate(2, 1, 0).gate, gate(1, 1, 0).gate);
            let orphans: Vec<_> = table
                .numbered()
                .filter(|(_, shard)| shard.owner.as_ref() == Some(&departed))
                .map(|(number, _)| (number, table.shard(number).unwrap().epoch + 1))
                .collect();
            let numbers: Vec<_> = orphans.iter().map(|(number, _)| *number).collect();
            let table = table.take_over(&numbers, &remaining).unwrap();
            table.settle(&orphans, &remaining).unwrap()
        },
        false
    ),
    last_gate: (
        0,
        |table| {
            let table = table.deregister(&gate(3, 1, 0).gate).unwrap();
            let table = table.deregister(&gate(1, 1, 0).gate).unwrap();
            table.deregister(&gate(2, 1, 0).gate).unwrap()
        },
        true
    ),
}

cases! {
    /// Guards against a second process that replaces one that may still run.
    fn register_refuses(incarnation: u64, port: u16, expected: TableRefusal) {
        let table = ShardTable::default().register(gate(0, 5, 7_000)).unwrap();
        assert_eq!(table.register(gate(0, incarnation, port)), Err(expected));
    }
    same_incarnation: (5, 7_000, TableRefusal::NoChange),
    earlier_incarnation: (4, 7_000, TableRefusal::Superseded),
    other_address: (6, 7_001, TableRefusal::OtherAddress),
}

/// Guards against a table that changes when it is stored as JSON at the platform.
#[test]
fn table_round_trips_through_json() {
    let table = assigned(3);
    let text = serde_json::to_string(&table).unwrap();
    assert_eq!(serde_json::from_str::<ShardTable>(&text).unwrap(), table);
}
