//! Measures calls directly to the targets and through two nodes.

use {
    super::{OverheadReport, OverheadRow},
    crate::{
        deployment::{Deployment, DeploymentPlan, EntryPlan, Instance, InstancePlan},
        load::{Call, LoadPlan, LoadSummary, run as run_load},
        process::{ProcessError, Usage},
    },
    jujubeline_core::Class,
    std::{net::SocketAddr, time::Duration},
};

/// Slots, connections and queue length of each target, and concurrency limit of the catalogue entry; large enough not
/// to limit the measurement.
const SLOTS: u32 = 2_048;

/// Duration of the calls before each measured run that let connections and limits warm up.
const WARM_UP: Duration = Duration::from_millis(500);

const PATH: &str = "/schedules/1";

/// What to measure.
#[derive(Debug, Clone)]
pub struct OverheadPlan {
    /// Rates in calls a second. `None` sends as many as the connections can carry.
    pub rates_per_s: Vec<Option<f64>>,
    /// Numbers of connections; each is measured with each rate.
    pub connections: Vec<usize>,
    /// Duration of each run; a row has a run with direct calls and one through the nodes.
    pub duration: Duration,
}

/// Starts the platform stand-in and three instances in two data centres, and measures calls directly to the targets and
/// then through the nodes. The entry node's own target serves another service, so each call through the nodes crosses
/// two of them.
///
/// # Errors
///
/// When a process does not start or ends early.
pub async fn run(plan: &OverheadPlan) -> Result<OverheadReport, ProcessError> {
    let deployment = Deployment::start(DeploymentPlan {
        instances: vec![
            instance("entry", "dc-1", "billing"),
            instance("gate-1", "dc-1", "schedules"),
            instance("gate-2", "dc-2", "schedules"),
        ],
        entries: vec![EntryPlan {
            name: "schedules-read".to_owned(),
            method: "GET",
            path_prefix: "/schedules/".to_owned(),
            service: "schedules".to_owned(),
            class: Class::Normal,
            deadline_ms: 10_000,
            retry_bound: 3,
            concurrency: SLOTS,
            at_most_once: false,
        }],
    })
    .await?;
    let (entry, gates) = deployment.instances.split_at(1);
    let mut report = OverheadReport {
        seconds: plan.duration.as_secs(),
        entry_rest_bytes: usage(&entry[0])?.resident_bytes,
        rows: Vec::new(),
    };
    for rate_per_s in &plan.rates_per_s {
        for connections in &plan.connections {
            let load = LoadPlan {
                addresses: Vec::new(),
                call: Call::get(PATH),
                rate_per_s: *rate_per_s,
                connections: *connections,
                duration: plan.duration,
            };
            report
                .rows
                .push(measure_row(&load, &entry[0], gates).await?);
        }
    }
    Ok(report)
}

async fn measure_row(
    load: &LoadPlan,
    entry: &Instance,
    gates: &[Instance],
) -> Result<OverheadRow, ProcessError> {
    let targets = gates.iter().map(|gate| gate.target_address).collect();
    let direct = run_after_warm_up(load, targets).await;
    let load = &LoadPlan {
        addresses: vec![entry.addresses.callers],
        ..load.clone()
    };
    warm_up(load).await;
    let entry_before = usage(entry)?;
    let gates_before = gate_cpu(gates)?;
    let nodes = run_load(load).await;
    let entry_after = usage(entry)?;
    let gate_cpu = gate_cpu(gates)?.saturating_sub(gates_before);
    let (direct_latencies, nodes_latencies) = (direct.latencies(), nodes.latencies());
    let added = |pick: fn(&crate::load::Latencies) -> u64| {
        pick(&nodes_latencies).cast_signed() - pick(&direct_latencies).cast_signed()
    };
    Ok(OverheadRow {
        rate_per_s: load.rate_per_s,
        connections: load.connections,
        direct_per_s: per_second(direct.count(200), load.duration),
        nodes_per_s: per_second(nodes.count(200), load.duration),
        nodes_failed: nodes.failures() + nodes.answers() - nodes.count(200),
        direct: direct_latencies,
        nodes: nodes_latencies,
        added_p50_us: added(|latencies| latencies.p50_us),
        added_p99_us: added(|latencies| latencies.p99_us),
        added_p999_us: added(|latencies| latencies.p999_us),
        entry_cpu_us_per_call: us_per_call(entry_after.cpu_since(&entry_before), &nodes),
        gate_cpu_us_per_call: us_per_call(gate_cpu, &nodes),
        entry_resident_bytes: entry_after.resident_bytes,
    })
}

/// Runs a warm-up and then the load against `addresses`.
async fn run_after_warm_up(load: &LoadPlan, addresses: Vec<SocketAddr>) -> LoadSummary {
    let load = LoadPlan {
        addresses,
        ..load.clone()
    };
    warm_up(&load).await;
    run_load(&load).await
}

async fn warm_up(load: &LoadPlan) {
    let warm_up = LoadPlan {
        duration: WARM_UP,
        ..load.clone()
    };
    run_load(&warm_up).await;
}

fn usage(instance: &Instance) -> Result<Usage, ProcessError> {
    let node = instance.node.as_ref().ok_or_else(|| ProcessError {
        name: instance.plan.name.clone(),
        detail: "its node is not running".to_owned(),
    })?;
    node.usage()
}

/// Processor time of all gates since their start.
fn gate_cpu(gates: &[Instance]) -> Result<Duration, ProcessError> {
    gates.iter().try_fold(Duration::ZERO, |sum, gate| {
        Ok(sum + Duration::from_millis(usage(gate)?.cpu_ms))
    })
}

/// Processor time for each complete answer, in microseconds.
#[allow(clippy::cast_precision_loss)] // Counts of calls stay far below 2^52.
fn us_per_call(cpu: Duration, summary: &LoadSummary) -> f64 {
    cpu.as_secs_f64() * 1e6 / summary.answers().max(1) as f64
}

#[allow(clippy::cast_precision_loss)] // Counts of calls stay far below 2^52.
fn per_second(count: u64, duration: Duration) -> f64 {
    count as f64 / duration.as_secs_f64()
}

fn instance(name: &str, data_centre: &str, service: &str) -> InstancePlan {
    InstancePlan {
        name: name.to_owned(),
        region: "lab".to_owned(),
        data_centre: data_centre.to_owned(),
        service: service.to_owned(),
        slots: SLOTS,
        connections: SLOTS,
        queue: SLOTS,
        service_us: 0,
        calls: Vec::new(),
        has_target: true,
        has_relays: false,
        journal: None,
    }
}
