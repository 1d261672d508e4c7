//! Command line of `jujubeline-lab`.

mod capacity;
mod experiment;
mod overhead;
mod soak;

use {bpaf::Bpaf, std::error::Error};

/// Measurements and bounded experiments with real processes on loopback.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Measures the latency that two nodes add to a call
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Compares strategies under overload in chains of services
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::options))] experiment::Options),
    /// Measures the cost of the control plane for each node at several numbers of nodes
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
    /// Injects random faults under load and checks the invariants of the system
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
}

impl Command {
    /// Runs the command and prints its report.
    ///
    /// # Errors
    ///
    /// When a process does not start, a file cannot be written or the soak run finds violations.
    pub async fn run(self) -> Result<(), Box<dyn Error>> {
        match self {
            Self::Overhead(options) => options.run().await,
            Self::Experiment(options) => options.run().await,
            Self::Capacity(options) => options.run().await,
            Self::Soak(options) => options.run().await,
        }
    }
}
