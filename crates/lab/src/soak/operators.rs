//! Operators of a soak run, which change the catalogue concurrently, and a monitor of the revision on each node.

use {
    super::checks::Violation,
    crate::{deployment::node_status, process::binary_path},
    serde_json::Value,
    std::{
        collections::HashMap, net::SocketAddr, path::PathBuf, process::Output, sync::Arc,
        time::Duration,
    },
    tokio::{process::Command, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Pause of an operator between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(700);

/// Pause between two polls of all nodes; also the timeout of one poll of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Exit code of the tool for a change that conflicts with a concurrent one.
const CONFLICT: i32 = 4;

/// An operator that applies the catalogue repeatedly, each time with a higher limit for one entry.
#[derive(Debug)]
pub(super) struct Operator {
    pub(super) name: String,
    pub(super) platform: SocketAddr,
    pub(super) folder: PathBuf,
    /// Renders the catalogue file. The argument is the concurrency limit of the entry that the operator changes.
    pub(super) catalogue: fn(u32) -> String,
    /// Limit that the first change sets; each further change sets the next higher number.
    pub(super) first_limit: u32,
    pub(super) stop: CancellationToken,
}

/// Results of the changes of one or more operators.
#[derive(Debug, Clone, Default)]
pub(super) struct OperatorRecord {
    /// Revisions of the changes that the tool reported as accepted.
    pub(super) accepted: Vec<u64>,
    /// Changes that conflicted with a concurrent one.
    pub(super) conflicts: u64,
    /// Changes that failed for any other reason, or whose result is unknown.
    pub(super) failed: u64,
}

impl Operator {
    /// Applies changes until `stop` is cancelled.
    pub(super) async fn run(self) -> OperatorRecord {
        let mut record = OperatorRecord::default();
        let file = self.folder.join(format!("{}.toml", self.name));
        for number in 0.. {
            if self.stop.is_cancelled() {
                break;
            }
            let text = (self.catalogue)(self.first_limit + number);
            if std::fs::write(&file, text).is_err() {
                break;
            }
            let output = Command::new(binary_path("jujubeline"))
                .arg("--platform-address")
                .arg(self.platform.to_string())
                .args([
                    "--output",
                    "json",
                    "catalogue",
                    "apply",
                    "--author",
                    &self.name,
                ])
                .arg(&file)
                .output()
                .await;
            record.count(output.ok());
            sleep(CHANGE_PAUSE).await;
        }
        record
    }
}

impl OperatorRecord {
    /// Counts the result of one run of the tool; `None` stands for a run that could not be started.
    fn count(&mut self, output: Option<Output>) {
        let Some(output) = output else {
            self.failed += 1;
            return;
        };
        let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        match (report["result"].as_str(), output.status.code()) {
            (Some("accepted"), _) => self.accepted.extend(report["change"]["revision"].as_u64()),
            (Some("unchanged"), _) => {}
            (_, Some(CONFLICT)) => self.conflicts += 1,
            _ => self.failed += 1,
        }
    }
}

/// Polls the catalogue revision on each node until `stop` is cancelled and reports each decrease within one
/// incarnation.
pub(super) async fn watch_revisions(
    operators: Arc<Vec<(String, SocketAddr)>>,
    stop: CancellationToken,
) -> Vec<Violation> {
    let mut highest: HashMap<(String, u64), u64> = HashMap::new();
    let mut violations = Vec::new();
    while !stop.is_cancelled() {
        for (node, address) in operators.iter() {
            let Ok(Some(seen)) = tokio::time::timeout(POLL_INTERVAL, node_status(*address)).await
            else {
                continue;
            };
            let incarnation = seen["incarnation"].as_u64().unwrap_or(0);
            let revision = seen["catalogue_revision"].as_u64().unwrap_or(0);
            let highest_revision = highest.entry((node.clone(), incarnation)).or_default();
            if revision < *highest_revision {
                violations.push(Violation::RevisionFell {
                    node: node.clone(),
                    from: *highest_revision,
                    to: revision,
                });
            }
            *highest_revision = revision.max(*highest_revision);
        }
        sleep(POLL_INTERVAL).await;
    }
    violations
}
