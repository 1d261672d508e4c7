//! The command `jujubeline-lab capacity`.

use {
    crate::capacity::{CapacityPlan, run},
    bpaf::Bpaf,
    std::{error::Error, time::Duration},
};

/// Options of the capacity measurement.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of nodes in the deployment; may be repeated
    #[bpaf(argument("COUNT"))]
    nodes: Vec<usize>,
    /// Number of catalogue entries
    #[bpaf(argument("COUNT"), fallback(690))]
    entries: usize,
    /// Seconds for which the idle nodes of each row are measured
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Number of catalogue changes in each row
    #[bpaf(argument("COUNT"), fallback(5))]
    changes: u32,
}

impl Options {
    /// Measures each number of nodes in turn and prints the report as a Markdown table.
    pub async fn run(self) -> Result<(), Box<dyn Error>> {
        let nodes = if self.nodes.is_empty() {
            vec![10, 30, 100]
        } else {
            self.nodes
        };
        let report = run(&CapacityPlan {
            nodes,
            entries: self.entries,
            duration: Duration::from_secs(self.seconds),
            changes: self.changes,
        })
        .await?;
        println!("{}", report.to_markdown());
        Ok(())
    }
}
