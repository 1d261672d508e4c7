//! Starts chains of services, with or without nodes, and injects faults into their last service.

use {
    super::{ExperimentPlan, Strategy},
    crate::{
        deployment::{
            Deployment, DeploymentPlan, EntryPlan, Instance, InstancePlan, get_json, get_text,
            target_arguments,
        },
        load::{Call, Connection},
        process::{Process, ProcessError},
    },
    jujubeline_core::Class,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Slots of each target in all services but the last: enough that only the last service is a bottleneck.
const NON_BOTTLENECK_SLOTS: u32 = 512;

/// Time that a request holds a slot of a target in these services (all but the last), in microseconds. The time of the
/// target's call to the next service comes on top.
const NON_BOTTLENECK_SERVICE_US: u64 = 500;

/// Queue length of a target under `Strategy::None`; in effect unbounded.
const UNBOUNDED_QUEUE: u32 = 1_000_000;

/// Retries of a failed call by a target that runs without a node.
const CALL_RETRIES: u32 = 2;

/// Retry bound of the catalogue entries, per root request.
const RETRY_BOUND: u32 = 3;

/// A running chain of services. Each service calls the next one; the last is the bottleneck.
#[derive(Debug)]
pub(super) struct Chain {
    /// Addresses of the first service to which callers send root requests.
    pub(super) callers: Vec<SocketAddr>,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    /// Calls go through nodes.
    Controlled(Box<Deployment>),
    /// Targets without nodes, by position of their service in the chain.
    Direct(Vec<Vec<DirectTarget>>),
}

/// A target without a node, which calls the targets of the next service directly.
#[derive(Debug)]
struct DirectTarget {
    plan: InstancePlan,
    process: Option<Process>,
    address: SocketAddr,
    /// Addresses of the targets of the next service; empty for the last one.
    next: Vec<SocketAddr>,
}

impl Chain {
    /// Starts all processes of the chain.
    pub(super) async fn start(plan: &ExperimentPlan) -> Result<Self, ProcessError> {
        match plan.strategy {
            Strategy::Jujubeline => Self::start_controlled(plan).await,
            Strategy::None | Strategy::FixedLimits => Self::start_direct(plan).await,
        }
    }

    async fn start_controlled(plan: &ExperimentPlan) -> Result<Self, ProcessError> {
        let deployment = Deployment::start(DeploymentPlan {
            instances: (0..plan.depth)
                .flat_map(|level| (0..plan.targets).map(move |index| (level, index)))
                .map(|(level, index)| instance(plan, level, index))
                .collect(),
            entries: (0..plan.depth)
                .flat_map(|level| entries(plan, level))
                .collect(),
        })
        .await?;
        Ok(Self {
            callers: deployment.caller_addresses(&service(0)),
            kind: Kind::Controlled(Box::new(deployment)),
        })
    }

    async fn start_direct(plan: &ExperimentPlan) -> Result<Self, ProcessError> {
        let mut levels = Vec::new();
        let mut next = Vec::new();
        for level in (0..plan.depth).rev() {
            let mut targets = Vec::new();
            for index in 0..plan.targets {
                let mut target = DirectTarget {
                    plan: instance(plan, level, index),
                    process: None,
                    address: SocketAddr::from(([127, 0, 0, 1], 0)),
                    next: next.clone(),
                };
                target.start().await?;
                targets.push(target);
            }
            next = targets.iter().map(|target| target.address).collect();
            levels.insert(0, targets);
        }
        Ok(Self {
            callers: next,
            kind: Kind::Direct(levels),
        })
    }

    /// Adds `extra_ms` to each execution of the last service; 0 restores its normal service time.
    pub(super) async fn slow_down(&self, extra_ms: u64) {
        for address in self.last_service_addresses() {
            if let Ok(mut connection) = Connection::open(address).await {
                let path = format!("/standin/slow?extra_ms={extra_ms}");
                let _ = connection.call(&Call::get(path)).await;
            }
        }
    }

    /// Kills the first `count` targets of the last service.
    pub(super) async fn kill(&mut self, count: usize) {
        match &mut self.kind {
            Kind::Controlled(deployment) => {
                for instance in last_service_instances(deployment).take(count) {
                    instance.kill_target().await;
                }
            }
            Kind::Direct(levels) => {
                for target in levels.iter_mut().last().into_iter().flatten().take(count) {
                    if let Some(process) = target.process.take() {
                        process.kill().await;
                    }
                }
            }
        }
    }

    /// Starts the killed targets again.
    pub(super) async fn restart(&mut self) -> Result<(), ProcessError> {
        match &mut self.kind {
            Kind::Controlled(deployment) => {
                for instance in last_service_instances(deployment) {
                    if instance.target.is_none() {
                        instance.start_target().await?;
                    }
                }
            }
            Kind::Direct(levels) => {
                for target in levels.iter_mut().last().into_iter().flatten() {
                    if target.process.is_none() {
                        target.start().await?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Pairs of path and execution count of each service, in the order of the chain. A path occurs once for each
    /// target that executed it; targets that do not answer are left out.
    pub(super) async fn executions(&self) -> Vec<Vec<(String, u64)>> {
        let mut levels = Vec::new();
        for addresses in self.addresses() {
            let mut executions = Vec::new();
            for address in addresses {
                let counts = get_json(address, "/standin/executions").await;
                let by_key = counts
                    .as_ref()
                    .and_then(|counts| counts["by_key"].as_object());
                for (key, count) in by_key.into_iter().flatten() {
                    executions.push((key.clone(), count.as_u64().unwrap_or(0)));
                }
            }
            levels.push(executions);
        }
        levels
    }

    /// Refusals by reason and processor time, both summed over all nodes; zero without nodes.
    pub(super) async fn refusals_and_cpu_time(&self) -> (BTreeMap<String, u64>, Duration) {
        let mut refusals = BTreeMap::new();
        let mut cpu = Duration::ZERO;
        let Kind::Controlled(deployment) = &self.kind else {
            return (refusals, cpu);
        };
        for instance in &deployment.instances {
            let metrics = get_text(instance.addresses.operators, "/metrics").await;
            for (reason, count) in metrics.iter().flat_map(|text| parse_refusals(text)) {
                *refusals.entry(reason).or_insert(0) += count;
            }
            let usage = instance.node.as_ref().and_then(|node| node.usage().ok());
            cpu += usage.map_or(Duration::ZERO, |usage| Duration::from_millis(usage.cpu_ms));
        }
        (refusals, cpu)
    }

    /// Operators' addresses of the nodes, grouped by service in the order of the chain; empty without nodes.
    pub(super) fn operators(&self) -> Vec<Vec<SocketAddr>> {
        let Kind::Controlled(deployment) = &self.kind else {
            return Vec::new();
        };
        by_service(deployment, |instance| instance.addresses.operators)
    }

    fn last_service_addresses(&self) -> Vec<SocketAddr> {
        self.addresses().pop().unwrap_or_default()
    }

    fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        match &self.kind {
            Kind::Controlled(deployment) => {
                by_service(deployment, |instance| instance.target_address)
            }
            Kind::Direct(levels) => levels
                .iter()
                .map(|targets| targets.iter().map(|target| target.address).collect())
                .collect(),
        }
    }
}

impl DirectTarget {
    async fn start(&mut self) -> Result<(), ProcessError> {
        let mut arguments = target_arguments(&self.plan, self.address);
        for address in &self.next {
            arguments.extend(["--node".to_owned(), address.to_string()]);
        }
        arguments.extend(["--call-retries".to_owned(), CALL_RETRIES.to_string()]);
        let process = Process::start("jujubeline-standin", &arguments).await?;
        self.address = process.address("address")?;
        self.process = Some(process);
        Ok(())
    }
}

/// An address of each instance, grouped by service in the order of the chain.
fn by_service(
    deployment: &Deployment,
    address: impl Fn(&Instance) -> SocketAddr,
) -> Vec<Vec<SocketAddr>> {
    deployment
        .instances
        .chunk_by(|one, next| one.plan.service == next.plan.service)
        .map(|instances| instances.iter().map(&address).collect())
        .collect()
}

/// Non-zero refusal counts by reason in the text of a node's metrics.
fn parse_refusals(metrics: &str) -> Vec<(String, u64)> {
    let lines = metrics
        .lines()
        .filter(|line| line.starts_with("jujubeline_refusals_total"));
    let counts = lines.filter_map(|line| {
        let reason = line.split("reason=\"").nth(1)?.split('"').next()?;
        let count = line.rsplit(' ').next()?.parse().ok()?;
        Some((reason.to_owned(), count))
    });
    counts.filter(|(_, count)| *count > 0).collect()
}

/// Instances of the last service of the chain.
fn last_service_instances(deployment: &mut Deployment) -> impl Iterator<Item = &mut Instance> {
    let last = deployment
        .instances
        .last()
        .map(|instance| instance.plan.service.clone())
        .unwrap_or_default();
    deployment
        .instances
        .iter_mut()
        .filter(move |instance| instance.plan.service == last)
}

/// Name of the service at a position in the chain, from 0.
fn service(level: usize) -> String {
    format!("s{level:02}")
}

fn instance(plan: &ExperimentPlan, level: usize, index: usize) -> InstancePlan {
    let is_last = level + 1 == plan.depth;
    let (slots, service_us) = if is_last {
        (plan.deep_slots, plan.deep_service_us)
    } else {
        (NON_BOTTLENECK_SLOTS, NON_BOTTLENECK_SERVICE_US)
    };
    let next = service(level + 1);
    InstancePlan {
        name: format!("{}-{index}", service(level)),
        region: "lab".to_owned(),
        data_centre: format!("dc-{}", index % 3),
        service: service(level),
        slots,
        connections: slots * 4,
        queue: match plan.strategy {
            Strategy::None => UNBOUNDED_QUEUE,
            Strategy::FixedLimits => 0,
            Strategy::Jujubeline => slots,
        },
        service_us,
        calls: if is_last {
            Vec::new()
        } else {
            vec![format!("/CLASS/{next}/ID")]
        },
        has_target: true,
        has_relays: false,
        journal: None,
    }
}

fn entries(plan: &ExperimentPlan, level: usize) -> Vec<EntryPlan> {
    let service = service(level);
    Class::ALL
        .into_iter()
        .map(|class| EntryPlan {
            name: format!("{service}-{class}"),
            method: "GET",
            path_prefix: format!("/{class}/{service}/"),
            service: service.clone(),
            class,
            deadline_ms: plan.deadline_ms,
            retry_bound: RETRY_BOUND,
            concurrency: NON_BOTTLENECK_SLOTS * 2,
            at_most_once: false,
        })
        .collect()
}
