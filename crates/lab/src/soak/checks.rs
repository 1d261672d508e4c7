//! Invariants that are checked after a soak run, and the report.

use {
    super::{
        callers::{ExchangeResult, KeyRecord},
        faults::DrainWindow,
        journal::Journal,
    },
    derive_more::Display,
    jujubeline_core::Outcome,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// An invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A key ran more than once.
    #[display("key {key} ran {times} times")]
    RanTwice {
        /// Idempotency key.
        key: String,
        /// Number of executions in the journals of all targets.
        times: u64,
    },
    /// The last answer for a key was a refusal with outcome `not_run`, but the key ran.
    #[display("key {key} was refused with not_run and ran")]
    FalseNotRun {
        /// Idempotency key.
        key: String,
    },
    /// A key was answered with success but never ran.
    #[display("key {key} was answered and never ran")]
    AnsweredWithoutRun {
        /// Idempotency key.
        key: String,
    },
    /// Successful answers for one key name different executions.
    #[display("key {key} got two different answers")]
    AnswersDiffer {
        /// Idempotency key.
        key: String,
    },
    /// The catalogue revision in effect on a node decreased within one incarnation.
    #[display("revision on node {node} fell from {from} to {to}")]
    RevisionFell {
        /// Name of the node.
        node: String,
        /// Highest revision observed before.
        from: u64,
        /// Lower revision observed later.
        to: u64,
    },
    /// A target executed a request later than the drain bound after it had been announced as draining.
    #[display("draining target {instance} ran {key}")]
    WorkAtDrainingTarget {
        /// Name of the target's instance.
        instance: String,
        /// Idempotency key.
        key: String,
    },
    /// A change that the tool reported as accepted is not in force, or another accepted change has the same revision.
    #[display("the change that was accepted as revision {revision} is lost")]
    ChangeLost {
        /// Revision that the tool reported for the change.
        revision: u64,
    },
    /// A node does not have the latest catalogue revision although all faults have ended.
    #[display("node {node} has revision {revision} instead of {wanted}")]
    NodeLags {
        /// Name of the node.
        node: String,
        /// Revision on the node; 0 if the node did not report one.
        revision: u64,
        /// Highest revision on any node.
        wanted: u64,
    },
}

/// Counts and violations of a soak run.
#[derive(Debug, Clone, Serialize)]
pub struct SoakReport {
    /// Seed of callers and faults.
    pub seed: u64,
    /// Time during which faults were injected, in seconds.
    pub seconds: u64,
    /// Idempotency keys that the callers sent.
    pub keys: u64,
    /// Exchanges of the callers, retries included.
    pub exchanges: u64,
    /// Keys that were answered with success at least once.
    pub answered: u64,
    /// Executions that the targets recorded in their journals.
    pub executions: u64,
    /// Injected faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Refusals that the callers received, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Catalogue changes that the tool reported as accepted.
    pub changes_accepted: u64,
    /// Catalogue changes that the tool rejected because of a concurrent change.
    pub change_conflicts: u64,
    /// Invariants that did not hold; empty after a successful run.
    pub violations: Vec<Violation>,
}

/// Compares what the callers received for each key with the executions in the journal. A key that ran more than once
/// gives no further violation.
pub(super) fn check_keys(records: &[KeyRecord], journal: &Journal) -> Vec<Violation> {
    let executions = journal.by_key();
    let mut violations = Vec::new();
    for record in records {
        let times = executions.get(record.key.as_str()).copied().unwrap_or(0);
        let key = record.key.clone();
        if times > 1 {
            violations.push(Violation::RanTwice { key, times });
            continue;
        }
        let answered = record.received.contains(&ExchangeResult::Success);
        if answered && times == 0 {
            violations.push(Violation::AnsweredWithoutRun { key: key.clone() });
        }
        if !record.same_answer {
            violations.push(Violation::AnswersDiffer { key: key.clone() });
        }
        if is_false_not_run(record, times) {
            violations.push(Violation::FalseNotRun { key });
        }
    }
    violations
}

/// Whether the last refusal of a key states `not_run` although the key ran. Keys with an exchange that gave no outcome
/// are not checked: the request of that exchange may still be in flight when a later one is refused.
fn is_false_not_run(record: &KeyRecord, times: u64) -> bool {
    let open = record.received.contains(&ExchangeResult::NoOutcome);
    let last = record.received.last();
    !open && last == Some(&ExchangeResult::Refused(Outcome::NotRun)) && times > 0
}

/// Reports the executions at targets that were draining for longer than the drain bound.
pub(super) fn check_drains(drain_windows: &[DrainWindow], journal: &Journal) -> Vec<Violation> {
    let ran_while_draining = |line: &&super::journal::JournalLine| {
        drain_windows.iter().any(|window| {
            window.instance == line.instance && (window.from_ms..window.to_ms).contains(&line.at_ms)
        })
    };
    journal
        .lines
        .iter()
        .filter(ran_while_draining)
        .map(|line| Violation::WorkAtDrainingTarget {
            instance: line.instance.clone(),
            key: line.key.clone(),
        })
        .collect()
}
