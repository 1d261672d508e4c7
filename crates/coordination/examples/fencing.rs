//! A run that a former owner authorised arrives after the takeover, and the fence at the gate refuses it.
//!
//! Run with `cargo run -p jujubeline-coordination --example fencing`.

use {
    jujubeline_coordination::claims::{
        Candidate, Claim, ClaimGate, ClaimOwner, ClaimReply, GateId, RegisteredGate, ShardTable,
        key_hash, shard_of,
    },
    std::{error::Error, net::SocketAddr, time::Instant},
};

fn main() -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let ids = ["ana", "binh", "chi"].map(|node| GateId {
        node: node.into(),
        incarnation: 1,
    });
    let mut gates: Vec<ClaimGate> = ids
        .iter()
        .map(|id| ClaimGate::new(id.clone(), now))
        .collect();
    let mut table = ShardTable::default();
    for (port, gate) in (1_u16..).zip(&ids) {
        table = table.register(RegisteredGate {
            gate: gate.clone(),
            control_address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: gate.node.clone(),
        })?;
    }
    let key = key_hash("invoices", "invoice-1001");
    let shard = shard_of(key);

    // Ana owns the shard and authorises a run at Chi's gate. The message is delayed.
    table = table.take_over(&[shard], &ids[0])?;
    let mut ana = owner(&ids[0], &table, &mut gates, now);
    let delayed = claim(&mut ana, key, &ids[2], now);

    // Ana pauses, Binh takes over and fences all gates. Only Ana's gate could be excused from replying, and only if Ana
    // had settled.
    table = table.take_over(&[shard], &ids[1])?;
    let mut binh = owner(&ids[1], &table, &mut gates, now);
    let current = claim(&mut binh, key, &ids[2], now);

    for (name, reply) in [("ana", delayed), ("binh", current)] {
        if let ClaimReply::Run { run, .. } = reply {
            println!(
                "the run that {name} authorised: {:?}",
                gates[2].start(&run, now)
            );
        }
    }
    Ok(())
}

fn owner(id: &GateId, table: &ShardTable, gates: &mut [ClaimGate], now: Instant) -> ClaimOwner {
    let mut owner = ClaimOwner::new(id.clone(), id.node.clone(), now);
    owner.observe(table, now);
    for (fence, index) in owner.pending_work().fences.into_iter().zip(0..) {
        let reply = gates[index].fence(&fence);
        owner.apply_fence_reply(&reply, now);
    }
    owner
}

fn claim(owner: &mut ClaimOwner, key: u128, gate: &GateId, now: Instant) -> ClaimReply {
    let claim = Claim {
        key,
        fingerprint: 17,
        entry_data_centre: gate.node.clone(),
        avoid: None,
    };
    let candidate = Candidate {
        gate: gate.clone(),
        data_centre: gate.node.clone(),
        load: 0.0,
    };
    owner.claim(&claim, &[candidate], now).reply
}
