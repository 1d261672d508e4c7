//! Runs a soak test from the start of the processes to its report.

use {
    super::{
        callers::{Caller, ExchangeResult, KeyRecord},
        checks::{SoakReport, Violation, check_drains, check_keys},
        faults::FaultInjector,
        journal::Journal,
        operators::{Operator, OperatorRecord, watch_revisions},
    },
    crate::{
        deployment::{
            Deployment, DeploymentPlan, EntryPlan, InstancePlan, catalogue_toml, node_status,
        },
        process::ProcessError,
    },
    jujubeline_core::Class,
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Number of targets of the at-most-once service, spread over three data centres.
const INVOICE_TARGETS: usize = 4;

/// Time after the end of the last fault within which all nodes must have the latest catalogue revision.
const CATALOGUE_TIMEOUT: Duration = Duration::from_secs(11);

/// Time given to requests in flight to end before the executions are counted.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Plan of a soak run.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Seed of the callers' random choices and of the faults.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of concurrent callers.
    pub callers: usize,
}

/// Runs the plan and checks the invariants. Violations are part of the report and not an error.
///
/// # Errors
///
/// When a process does not start, is not ready in time or does not stop in time, or when a file cannot be created or
/// read.
///
/// # Panics
///
/// When the task of a caller, an operator or the revision monitor panics.
pub async fn run(plan: SoakPlan) -> Result<SoakReport, ProcessError> {
    let to_process_error = |error: std::io::Error| ProcessError {
        name: "soak".to_owned(),
        detail: error.to_string(),
    };
    let folder = tempfile::tempdir().map_err(to_process_error)?;
    let mut deployment = Deployment::start(deployment_plan(folder.path())).await?;
    let stop = CancellationToken::new();
    let mut callers = start_callers(&plan, &deployment, &stop);
    let mut operators = JoinSet::new();
    for (name, first_limit) in [("ana", 100), ("binh", 10_000)] {
        operators.spawn(operator(name, first_limit, &deployment, folder.path(), &stop).run());
    }
    let watched = deployment.instances.iter();
    let watched = watched.map(|i| (i.plan.name.clone(), i.addresses.operators));
    let watch = tokio::spawn(watch_revisions(Arc::new(watched.collect()), stop.clone()));

    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut faults = FaultInjector::new();
    let end = Instant::now() + plan.duration;
    faults.run(&mut deployment, &mut random, end).await?;
    stop.cancel();

    let mut records: Vec<KeyRecord> = Vec::new();
    while let Some(result) = callers.join_next().await {
        records.extend(result.expect("a caller panicked"));
    }
    let mut changes = OperatorRecord::default();
    while let Some(result) = operators.join_next().await {
        let record = result.expect("an operator panicked");
        changes.accepted.extend(record.accepted);
        changes.conflicts += record.conflicts;
        changes.failed += record.failed;
    }
    let mut violations = watch.await.expect("the revision monitor panicked");
    violations.extend(check_catalogue(&deployment, &changes).await);
    violations.extend(check_changes(&changes));
    sleep(SETTLE_TIME).await;

    let mut journal = Journal::default();
    for instance in &deployment.instances {
        if let Some(path) = &instance.plan.journal {
            journal
                .read(&instance.plan.name, path)
                .map_err(to_process_error)?;
        }
    }
    violations.extend(check_keys(&records, &journal));
    violations.extend(check_drains(&faults.drain_windows, &journal));
    Ok(report(
        &plan, &records, &journal, faults, &changes, violations,
    ))
}

fn report(
    plan: &SoakPlan,
    records: &[KeyRecord],
    journal: &Journal,
    faults: FaultInjector,
    changes: &OperatorRecord,
    violations: Vec<Violation>,
) -> SoakReport {
    let mut refusals = BTreeMap::new();
    for reason in records.iter().flat_map(|record| &record.reasons) {
        *refusals.entry(reason.clone()).or_insert(0) += 1;
    }
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    let answered = records
        .iter()
        .filter(|record| record.received.contains(&ExchangeResult::Success));
    SoakReport {
        seed: plan.seed,
        seconds: plan.duration.as_secs(),
        keys: count(records.len()),
        exchanges: count(records.iter().map(|record| record.received.len()).sum()),
        answered: count(answered.count()),
        executions: count(journal.lines.len()),
        faults: faults.counts,
        refusals,
        changes_accepted: count(changes.accepted.len()),
        change_conflicts: changes.conflicts,
        violations,
    }
}

/// Waits until all nodes have the same revision, which is at least the last accepted one. Reports the nodes that lag
/// behind at the timeout, and the last accepted change if no node has it.
async fn check_catalogue(deployment: &Deployment, changes: &OperatorRecord) -> Vec<Violation> {
    let until = Instant::now() + CATALOGUE_TIMEOUT;
    loop {
        let mut revisions = Vec::new();
        for instance in &deployment.instances {
            let seen = node_status(instance.addresses.operators).await;
            let revision = seen.and_then(|status| status["catalogue_revision"].as_u64());
            revisions.push((instance.plan.name.clone(), revision.unwrap_or(0)));
        }
        let wanted = revisions.iter().map(|(_, revision)| *revision).max();
        let wanted = wanted.unwrap_or(0);
        let lagging = revisions.iter().filter(|(_, revision)| *revision < wanted);
        let lagging: Vec<Violation> = lagging
            .map(|(node, revision)| Violation::NodeLags {
                node: node.clone(),
                revision: *revision,
                wanted,
            })
            .collect();
        let accepted = changes.accepted.iter().copied().max().unwrap_or(0);
        if lagging.is_empty() && wanted >= accepted {
            return Vec::new();
        }
        if Instant::now() > until {
            let mut violations = lagging;
            if wanted < accepted {
                violations.push(Violation::ChangeLost { revision: accepted });
            }
            return violations;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Reports each revision under which two changes were accepted: one of the two is lost.
fn check_changes(changes: &OperatorRecord) -> Vec<Violation> {
    let mut revisions = changes.accepted.clone();
    revisions.sort_unstable();
    let duplicates = revisions.windows(2).filter(|pair| pair[0] == pair[1]);
    duplicates
        .map(|pair| Violation::ChangeLost { revision: pair[0] })
        .collect()
}

fn start_callers(
    plan: &SoakPlan,
    deployment: &Deployment,
    stop: &CancellationToken,
) -> JoinSet<Vec<KeyRecord>> {
    let addresses = deployment.instances.iter();
    let addresses = Arc::new(addresses.map(|i| i.addresses.callers).collect::<Vec<_>>());
    let mut callers = JoinSet::new();
    for number in 0..plan.callers {
        let caller = Caller {
            addresses: addresses.clone(),
            seed: plan.seed.wrapping_add(number as u64 + 1),
            stop: stop.clone(),
        };
        callers.spawn(caller.run());
    }
    callers
}

fn operator(
    name: &str,
    first_limit: u32,
    deployment: &Deployment,
    folder: &Path,
    stop: &CancellationToken,
) -> Operator {
    Operator {
        name: name.to_owned(),
        platform: deployment.platform_address,
        folder: folder.to_owned(),
        catalogue: |concurrency| catalogue_toml(&entries(concurrency)),
        first_limit,
        stop: stop.clone(),
    }
}

/// The catalogue of the run: one entry, whose concurrency limit the operators change.
fn entries(concurrency: u32) -> Vec<EntryPlan> {
    vec![EntryPlan {
        name: "invoices-create".to_owned(),
        method: "POST",
        path_prefix: "/invoices/".to_owned(),
        service: "invoices".to_owned(),
        class: Class::Critical,
        deadline_ms: 3_000,
        retry_bound: 3,
        concurrency,
        at_most_once: true,
    }]
}

fn deployment_plan(folder: &Path) -> DeploymentPlan {
    let instance = |index: usize| InstancePlan {
        name: format!("invoices-{index}"),
        region: "lab".to_owned(),
        data_centre: format!("dc-{}", index % 3),
        service: "invoices".to_owned(),
        slots: 32,
        connections: 128,
        queue: 64,
        service_us: 5_000,
        calls: Vec::new(),
        has_target: true,
        has_relays: false,
        journal: Some(folder.join(format!("invoices-{index}.journal"))),
    };
    DeploymentPlan {
        instances: (0..INVOICE_TARGETS).map(instance).collect(),
        entries: entries(64),
    }
}
