//! The command `jujubeline-lab soak`.

use {
    crate::soak::{SoakPlan, run},
    bpaf::Bpaf,
    std::{error::Error, time::Duration},
};

/// Options of the soak run.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of callers and faults
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Seconds during which faults are injected
    #[bpaf(argument("SECONDS"), fallback(60))]
    seconds: u64,
    /// Number of concurrent callers
    #[bpaf(argument("COUNT"), fallback(8))]
    callers: usize,
}

impl Options {
    /// Runs the soak and prints the report as JSON; fails when the report lists violations of the invariants.
    pub async fn run(self) -> Result<(), Box<dyn Error>> {
        let report = run(SoakPlan {
            seed: self.seed,
            duration: Duration::from_secs(self.seconds),
            callers: self.callers,
        })
        .await?;
        println!("{}", serde_json::to_string_pretty(&report)?);
        if report.violations.is_empty() {
            return Ok(());
        }
        Err(format!("{} violations", report.violations.len()).into())
    }
}
