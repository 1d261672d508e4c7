//! Measures the resident memory of claim records, as bytes per record.
//!
//! Run with `cargo run --release --example claim_memory`. Linux only, since it reads `/proc/self/statm`.

use {
    jujubeline_coordination::claims::{
        Candidate, Claim, ClaimGate, ClaimOwner, ClaimReply, GateId, RecordOutcome, RegisteredGate,
        RunReply, SHARDS, ShardTable, key_hash,
    },
    std::{fs, net::SocketAddr, time::Instant},
};

const RECORDS: u32 = 1_000_000;
const PAGE_BYTES: usize = 4_096;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let now = Instant::now();
    let ids = ["owner", "gate"].map(|node| GateId {
        node: node.into(),
        incarnation: 1,
    });
    let mut table = ShardTable::default();
    for (port, gate) in (1_u16..).zip(&ids) {
        table = table.register(RegisteredGate {
            gate: gate.clone(),
            control_address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: gate.node.clone(),
        })?;
    }
    let shards: Vec<_> = (0..SHARDS).collect();
    table = table.take_over(&shards, &ids[0])?;
    let mut owner = ClaimOwner::new(ids[0].clone(), "owner".into(), now);
    let mut own_gate = ClaimGate::new(ids[0].clone(), now);
    let mut gate = ClaimGate::new(ids[1].clone(), now);
    owner.observe(&table, now);
    for fence in owner.pending_work().fences {
        let asked = if fence.gate == ids[0] {
            &mut own_gate
        } else {
            &mut gate
        };
        owner.apply_fence_reply(&asked.fence(&fence), now);
    }
    let candidate = Candidate {
        gate: ids[1].clone(),
        data_centre: "gate".into(),
        load: 0.0,
    };

    let mut runs = Vec::with_capacity(RECORDS as usize);
    let before = resident_bytes()?;
    let started = Instant::now();
    for number in 0..RECORDS {
        let claim = Claim {
            key: key_hash("invoices", &number.to_string()),
            fingerprint: u64::from(number),
            entry_data_centre: "gate".into(),
            avoid: None,
        };
        if let ClaimReply::Run { run, .. } = owner
            .claim(&claim, std::slice::from_ref(&candidate), now)
            .reply
        {
            runs.push(run);
        }
    }
    let claimed = started.elapsed();
    // The list of runs is part of the measurement, not of the records.
    let owner_bytes = resident_bytes()? - before - runs.len() * size_of_val(&runs[0]);
    let before = resident_bytes()?;
    let started = Instant::now();
    for run in &runs {
        if gate.start(run, now) != RunReply::Start {
            return Err("the gate refused a run".into());
        }
        if let Some(completed) = gate.finish(run, RecordOutcome::Done, now) {
            owner.apply_completion(&completed, now);
        }
    }
    let ran = started.elapsed();
    let gate_bytes = resident_bytes()? - before;
    println!(
        "records: {} at the owner, {} at the gate",
        owner.record_count(),
        gate.record_count()
    );
    println!(
        "owner: {:.1} bytes per record, {:.0} ns per claim",
        bytes_per_record(owner_bytes),
        ns_per_record(claimed)
    );
    println!(
        "gate: {:.1} bytes per record, {:.0} ns per run",
        bytes_per_record(gate_bytes),
        ns_per_record(ran)
    );
    Ok(())
}

fn bytes_per_record(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / f64::from(RECORDS)
}

fn ns_per_record(time: std::time::Duration) -> f64 {
    time.as_secs_f64() * 1e9 / f64::from(RECORDS)
}

fn resident_bytes() -> Result<usize, Box<dyn std::error::Error>> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: usize = statm
        .split_whitespace()
        .nth(1)
        .ok_or("statm has no second field")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}
