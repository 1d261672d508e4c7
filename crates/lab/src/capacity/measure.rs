//! Measures fleets of several sizes, at rest and during catalogue changes.

use {
    super::{CapacityReport, CapacityRow},
    crate::{
        deployment::{
            Deployment, DeploymentPlan, EntryPlan, InstancePlan, apply_catalogue, get_json,
            get_text, node_status,
        },
        process::{ProcessError, Usage},
    },
    jujubeline_core::Class,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Instances of each service: 5,600 servers in 690 services are about eight on average.
const TARGETS_PER_SERVICE: usize = 8;

const DATA_CENTRES: usize = 9;

const DATA_CENTRES_PER_REGION: usize = 3;

/// Timeout for every node to list all nodes as alive and to have a catalogue.
const CONVERGE_TIMEOUT: Duration = Duration::from_mins(4);

/// Pause between convergence and the measurement at rest, so that the messages of the joins are not measured.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Timeout for a catalogue change to be in force on all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two polls of a node's status.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Metric of a node that counts the control bytes it has sent.
const SENT_BYTES: &str = "jujubeline_control_sent_bytes_total";

/// What to measure.
#[derive(Debug, Clone)]
pub struct CapacityPlan {
    /// Fleet sizes, each a number of nodes, in the order of measurement.
    pub nodes: Vec<usize>,
    /// Number of entries in the catalogue.
    pub entries: usize,
    /// Duration of the measurement at rest of each size.
    pub duration: Duration,
    /// Number of catalogue changes that are measured at each size.
    pub changes: u32,
}

/// Measures each fleet size in turn, with real nodes without targets. Prints each row as JSON to standard error as soon
/// as it is measured.
///
/// # Errors
///
/// When a process does not start, a catalogue is rejected, the usage of a node cannot be read, or the fleet does not
/// converge or apply a change before the timeout.
pub async fn run(plan: &CapacityPlan) -> Result<CapacityReport, ProcessError> {
    let mut report = CapacityReport {
        seconds: plan.duration.as_secs(),
        rows: Vec::new(),
    };
    for nodes in &plan.nodes {
        let row = measure_row(plan, *nodes).await?;
        // Prints the row at once, so that it is not lost if a later size fails.
        eprintln!("{}", serde_json::to_string(&row).unwrap_or_default());
        report.rows.push(row);
    }
    Ok(report)
}

async fn measure_row(plan: &CapacityPlan, nodes: usize) -> Result<CapacityRow, ProcessError> {
    let deployment = Deployment::start_without_waiting(DeploymentPlan {
        instances: (0..nodes).map(instance).collect(),
        entries: entries(plan.entries, 0),
    })
    .await?;
    let started = Instant::now();
    deployment.wait_for_members(nodes, CONVERGE_TIMEOUT).await?;
    let converged = started.elapsed();
    sleep(SETTLE_TIME).await;
    let rest = measure_at_rest(&deployment, plan.duration).await?;
    let mut change_ms_max = 0;
    for change in 1..=plan.changes {
        let taken = measure_change(&deployment, &entries(plan.entries, change)).await?;
        change_ms_max = change_ms_max.max(millis(taken));
    }
    Ok(CapacityRow {
        nodes,
        entries: plan.entries,
        converged_ms: millis(converged),
        change_ms_max,
        ..rest
    })
}

/// Measures a fleet without requests. Leaves `entries`, `converged_ms` and `change_ms_max` of the row at zero.
#[allow(clippy::cast_precision_loss)] // Counts and bytes stay far below 2^52.
async fn measure_at_rest(
    deployment: &Deployment,
    duration: Duration,
) -> Result<CapacityRow, ProcessError> {
    let platform = deployment.platform_address;
    let calls = |counts: &Option<serde_json::Value>| {
        let counts = counts.as_ref();
        counts
            .and_then(|counts| counts["calls"].as_u64())
            .unwrap_or(0)
    };
    let sent_before = sent_bytes(deployment).await;
    let usage_before = usages(deployment)?;
    let calls_before = calls(&get_json(platform, "/counts").await);
    sleep(duration).await;
    let counts = get_json(platform, "/counts").await;
    let usage_after = usages(deployment)?;
    let sent_after = sent_bytes(deployment).await;
    let seconds = duration.as_secs_f64();
    let cpu: Vec<f64> = usage_after
        .iter()
        .zip(&usage_before)
        .map(|(after, before)| after.cpu_since(before).as_secs_f64() * 100.0 / seconds)
        .collect();
    let nodes = deployment.instances.len();
    let resident = usage_after.iter().map(|usage| usage.resident_bytes);
    Ok(CapacityRow {
        nodes,
        entries: 0,
        converged_ms: 0,
        cpu_percent_mean: cpu.iter().sum::<f64>() / nodes as f64,
        cpu_percent_max: cpu.iter().copied().fold(0.0, f64::max),
        resident_bytes_mean: resident.clone().sum::<u64>() / nodes as u64,
        resident_bytes_max: resident.max().unwrap_or(0),
        sent_bytes_per_s: (sent_after - sent_before) / seconds / nodes as f64,
        platform_calls_per_s: (calls(&counts) - calls_before) as f64 / seconds,
        platform_watches: counts
            .map_or(0, |counts| counts["pending_watches"].as_u64().unwrap_or(0)),
        change_ms_max: 0,
    })
}

fn usages(deployment: &Deployment) -> Result<Vec<Usage>, ProcessError> {
    let nodes = deployment.instances.iter().filter_map(|i| i.node.as_ref());
    nodes.map(crate::process::Process::usage).collect()
}

/// Sum of the control bytes that all nodes have sent since their start.
async fn sent_bytes(deployment: &Deployment) -> f64 {
    let mut sum = 0.0;
    for instance in &deployment.instances {
        let metrics = get_text(instance.addresses.operators, "/metrics").await;
        let lines = metrics.as_deref().unwrap_or_default().lines();
        let values = lines.filter(|line| line.starts_with(SENT_BYTES));
        let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    sum
}

/// Applies a catalogue and returns the time until it is in force on each node.
async fn measure_change(
    deployment: &Deployment,
    entries: &[EntryPlan],
) -> Result<Duration, ProcessError> {
    let before = revision(deployment, 0).await;
    let started = Instant::now();
    apply_catalogue(deployment.platform_address, entries).await?;
    for index in 0..deployment.instances.len() {
        while revision(deployment, index).await <= before {
            if started.elapsed() > CHANGE_TIMEOUT {
                return Err(ProcessError {
                    name: deployment.instances[index].plan.name.clone(),
                    detail: "catalogue change not in force within the time limit".to_owned(),
                });
            }
            sleep(POLL_PAUSE).await;
        }
    }
    Ok(started.elapsed())
}

/// Catalogue revision on a node; 0 if the node does not answer.
async fn revision(deployment: &Deployment, index: usize) -> u64 {
    let seen = node_status(deployment.instances[index].addresses.operators).await;
    seen.and_then(|seen| seen["catalogue_revision"].as_u64())
        .unwrap_or(0)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn instance(index: usize) -> InstancePlan {
    let data_centre = index % DATA_CENTRES;
    InstancePlan {
        name: format!("node-{index}"),
        region: format!("region-{}", data_centre / DATA_CENTRES_PER_REGION),
        data_centre: format!("dc-{data_centre}"),
        service: format!("service-{}", index / TARGETS_PER_SERVICE),
        slots: 64,
        connections: 256,
        queue: 64,
        service_us: 1_000,
        calls: Vec::new(),
        has_target: false,
        has_relays: false,
        journal: None,
    }
}

/// A catalogue of `count` entries. `change` determines the limit of the first entry, so that each change differs from
/// the one before.
fn entries(count: usize, change: u32) -> Vec<EntryPlan> {
    (0..count)
        .map(|number| EntryPlan {
            name: format!("service-{number}-read"),
            method: "GET",
            path_prefix: format!("/service-{number}/"),
            service: format!("service-{number}"),
            class: Class::Normal,
            deadline_ms: 2_000,
            retry_bound: 3,
            concurrency: if number == 0 { 100 + change } else { 100 },
            at_most_once: false,
        })
        .collect()
}
