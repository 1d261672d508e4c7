//! The command `jujubeline-lab overhead`.

use {
    crate::overhead::{OverheadPlan, run},
    bpaf::Bpaf,
    std::{error::Error, time::Duration},
};

/// Options of the overhead measurement.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Calls per second, 0 for as many as possible; may be repeated
    #[bpaf(argument("RATE"))]
    rate: Vec<f64>,
    /// Number of connections; may be repeated
    #[bpaf(argument("COUNT"))]
    connections: Vec<usize>,
    /// Seconds of load for each row and path (direct and through the nodes)
    #[bpaf(argument("SECONDS"), fallback(5))]
    seconds: u64,
    /// Print JSON instead of a table
    json: bool,
}

impl Options {
    /// Measures each combination of rate and number of connections and prints the report.
    pub async fn run(self) -> Result<(), Box<dyn Error>> {
        let rates = values_or_default(self.rate, &[1_000.0, 5_000.0, 0.0]);
        let report = run(&OverheadPlan {
            rates_per_s: rates
                .into_iter()
                .map(|rate| (rate > 0.0).then_some(rate))
                .collect(),
            connections: values_or_default(self.connections, &[1, 100, 500]),
            duration: Duration::from_secs(self.seconds),
        })
        .await?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            println!("{}", report.to_markdown());
        }
        Ok(())
    }
}

fn values_or_default<T: Clone>(values: Vec<T>, default: &[T]) -> Vec<T> {
    if values.is_empty() {
        default.to_vec()
    } else {
        values
    }
}
