//! What the gates of other nodes reported about their targets, kept by an entry node.

use {
    jujubeline_core::{NodeId, ProcessId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Targets for which a report is kept.
const MAX_REPORTS: usize = 4_096;
/// Time for which a report of a leaving process is kept. A leaving process ends within seconds.
const LEAVING_RETENTION: Duration = Duration::from_mins(1);
/// Time for which a report of a limit alone is kept. A restarted gate hears the limit from its target's first response.
const LIMIT_RETENTION: Duration = Duration::from_secs(10);

/// What a target states about itself, as its gate passes it on with each response while there is something to report.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TargetReport {
    /// Process of the target, where the deployment identifies targets by process.
    pub process: Option<ProcessId>,
    /// Start of the process in milliseconds since the Unix epoch, if it is known.
    pub born_ms: Option<u64>,
    /// Requests per second that the target accepts from all nodes together.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the process is shutting down.
    pub is_leaving: bool,
}

impl TargetReport {
    /// Whether the report is about the process with this id and start. An unknown start equals any.
    #[must_use]
    pub fn is_about(&self, process: Option<&ProcessId>, born_ms: Option<u64>) -> bool {
        let is_same_start = match (self.born_ms, born_ms) {
            (Some(reported), Some(known)) => reported == known,
            (None, _) | (_, None) => true,
        };
        self.process.as_ref() == process && is_same_start
    }
}

/// The last report about each target.
///
/// A gate that restarts beside a running target has lost what the target stated. Each request to it carries the report,
/// so that the statement binds the restarted gate before its first request reaches the target.
#[derive(Debug, Default)]
pub struct TargetReports {
    by_node: HashMap<NodeId, (TargetReport, Instant)>,
    refused: u64,
}

impl TargetReports {
    /// Records what came with a response or a refusal of the gate at `node`; `None` if the gate had nothing to report.
    /// That ends a limit. A process that is leaving stays so.
    pub fn record(&mut self, node: &NodeId, report: Option<TargetReport>, now: Instant) {
        match report {
            Some(report) => self.insert(node, report, now),
            None => self.end_limit(node),
        }
    }

    /// The report about the target at a node; `None` when there is none that still applies.
    #[must_use]
    pub fn get(&self, node: &NodeId, now: Instant) -> Option<&TargetReport> {
        let (report, at) = self.by_node.get(node)?;
        is_kept(report, *at, now).then_some(report)
    }

    /// Number of reports that were not recorded because the table was full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    fn insert(&mut self, node: &NodeId, mut report: TargetReport, now: Instant) {
        if let Some((known, at)) = self.by_node.get_mut(node) {
            report.is_leaving |=
                known.is_leaving && known.is_about(report.process.as_ref(), report.born_ms);
            (*known, *at) = (report, now);
            return;
        }
        if self.by_node.len() >= MAX_REPORTS {
            self.by_node
                .retain(|_, (report, at)| is_kept(report, *at, now));
        }
        if self.by_node.len() >= MAX_REPORTS {
            self.refused += 1;
            return;
        }
        self.by_node.insert(node.clone(), (report, now));
    }

    fn end_limit(&mut self, node: &NodeId) {
        let Some((report, _)) = self.by_node.get_mut(node) else {
            return;
        };
        if report.is_leaving {
            report.rate_limit_per_s = None;
        } else {
            self.by_node.remove(node);
        }
    }
}

fn is_kept(report: &TargetReport, at: Instant, now: Instant) -> bool {
    let retention = if report.is_leaving {
        LEAVING_RETENTION
    } else {
        LIMIT_RETENTION
    };
    now.saturating_duration_since(at) < retention
}
