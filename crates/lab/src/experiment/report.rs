//! Results of one experiment.

use {
    super::{ExperimentPlan, GateSample, Timeline},
    jujubeline_core::Class,
    serde::Serialize,
    std::collections::{BTreeMap, HashMap},
};

/// Requests of one class during the trigger.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassReport {
    /// Class to which the counts apply.
    pub class: Class,
    /// Requests that arrived at the callers during the trigger, whether or not they were sent.
    pub sent: u64,
    /// Requests counted in `sent` that were answered completely and within the deadline.
    pub answered: u64,
}

/// Results of one experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Plan that the experiment followed.
    pub plan: ExperimentPlan,
    /// Requests a second that the last service can complete with all of its slots in use.
    pub capacity_per_s: f64,
    /// Mean goodput before the trigger, without the warm-up.
    pub goodput_before_per_s: f64,
    /// Mean goodput during the trigger, without its first second.
    pub goodput_during_per_s: f64,
    /// Time from the end of the trigger until goodput had recovered, in milliseconds; `None` if it did not.
    pub recovery_ms: Option<u64>,
    /// Requests during the trigger by class, highest first.
    pub classes: Vec<ClassReport>,
    /// Mean number of executions at the last service for each root request that reached it.
    pub deep_executions_mean: f64,
    /// Maximum number of executions at the last service for one root request.
    pub deep_executions_max: u64,
    /// Executions in all services for requests that were not answered in time, as a share of all executions.
    pub wasted_share: f64,
    /// Requests that the callers never sent, because their limit of requests in flight was reached or the deadline had
    /// passed. If there are any, the demand was lower than planned.
    pub unsent: u64,
    /// Refusals of all nodes by reason, over the whole experiment.
    pub refusals: BTreeMap<String, u64>,
    /// Executions of each service, in the order of the chain, by class, highest first.
    pub executions: Vec<[u64; 4]>,
    /// Samples of the gates' gauges, one for each service and sampling time; empty without nodes.
    pub gates: Vec<GateSample>,
    /// Processor time of all nodes over the whole experiment, in seconds.
    pub node_cpu_s: f64,
}

impl ExperimentReport {
    /// Computes the results from the requests and the executions, which are given as pairs of path and count for each
    /// service in the order of the chain. Refusals, gate samples and processor time are left empty.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts of requests stay far below 2^52.
    pub fn new(
        plan: ExperimentPlan,
        timeline: &Timeline,
        executions: &[Vec<(String, u64)>],
    ) -> Self {
        let from = plan.phases.trigger_start();
        let to = plan.phases.trigger_end();
        let classes = Class::ALL.map(|class| {
            let (sent, answered) = timeline.sent_and_answered(class, from, to);
            ClassReport {
                class,
                sent,
                answered,
            }
        });
        let deep = deep_executions(executions);
        let deep_total: u64 = deep.values().sum();
        let all: u64 = executions.iter().flatten().map(|(_, count)| count).sum();
        let answered = timeline.records().iter();
        let answered = answered
            .filter(|record| record.answered_at.is_some())
            .count();
        let unsent = timeline.records().iter();
        let unsent = unsent.filter(|record| record.sends == 0).count() as u64;
        let useful = (answered * plan.depth) as f64;
        Self {
            plan,
            capacity_per_s: plan.capacity_per_s(),
            goodput_before_per_s: timeline.goodput_before_per_s(),
            goodput_during_per_s: timeline.goodput_during_per_s(),
            recovery_ms: timeline
                .recovery()
                .map(|recovery| u64::try_from(recovery.as_millis()).unwrap_or(u64::MAX)),
            classes: classes.to_vec(),
            deep_executions_mean: deep_total as f64 / (deep.len() as f64).max(1.0),
            deep_executions_max: deep.values().copied().max().unwrap_or(0),
            wasted_share: (1.0 - useful / (all as f64).max(1.0)).max(0.0),
            unsent,
            refusals: BTreeMap::new(),
            executions: executions.iter().map(|level| by_class(level)).collect(),
            gates: Vec::new(),
            node_cpu_s: 0.0,
        }
    }
}

/// Sums executions by class, which is the first segment of the path.
fn by_class(executions: &[(String, u64)]) -> [u64; 4] {
    Class::ALL.map(|class| {
        let prefix = format!("/{class}/");
        let of_class = executions.iter();
        let of_class = of_class.filter(|(path, _)| path.starts_with(&prefix));
        of_class.map(|(_, count)| count).sum()
    })
}

/// Executions of each root request at the last service, by path.
fn deep_executions(executions: &[Vec<(String, u64)>]) -> HashMap<&str, u64> {
    let mut by_path = HashMap::new();
    for (path, count) in executions.last().into_iter().flatten() {
        *by_path.entry(path.as_str()).or_insert(0) += count;
    }
    by_path
}
