//! The command `jujubeline-lab experiment`.

use {
    crate::experiment::{
        ExperimentPlan, ExperimentReport, Phases, Strategy, Trigger, run, write_plot,
    },
    bpaf::Bpaf,
    std::{error::Error, path::PathBuf},
};

/// Phases of an experiment, long enough to observe a recovery of several seconds.
const PHASES: Phases = Phases {
    warm_up_ms: 2_000,
    before_ms: 3_000,
    trigger_ms: 5_000,
    after_ms: 8_000,
};

/// Options of the experiments.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of services in the chain
    #[bpaf(argument("COUNT"), fallback(5))]
    depth: usize,
    /// Number of targets of each service
    #[bpaf(argument("COUNT"), fallback(2))]
    targets: usize,
    /// Trigger to run, such as `slow_deep` or `demand_x5`; may be repeated
    #[bpaf(argument("TRIGGER"))]
    trigger: Vec<Trigger>,
    /// Strategy to run: none, `fixed_limits` or jujubeline; may be repeated
    #[bpaf(argument("STRATEGY"))]
    strategy: Vec<Strategy>,
    /// Demand before the trigger as a share of the capacity
    #[bpaf(argument("SHARE"), fallback(0.8))]
    base_load: f64,
    /// Seed of the random arrival times
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Print concurrency limit, running and waiting requests and admission level of each service's gates over time
    gates: bool,
    /// Folder for the reports as JSON and the plots as SVG
    #[bpaf(argument("FOLDER"))]
    out: Option<PathBuf>,
}

impl Options {
    /// Runs each combination of trigger and strategy and prints a table row for it. If a folder is given, writes a plot
    /// for each trigger and all reports as JSON to it.
    pub async fn run(self) -> Result<(), Box<dyn Error>> {
        println!("{HEAD}");
        let triggers = if self.trigger.is_empty() {
            Trigger::ALL.to_vec()
        } else {
            self.trigger.clone()
        };
        let strategies = if self.strategy.is_empty() {
            Strategy::ALL.to_vec()
        } else {
            self.strategy.clone()
        };
        let mut reports = Vec::new();
        for trigger in triggers {
            let mut lines = Vec::new();
            for strategy in &strategies {
                let (report, timeline) = run(self.plan(*strategy, trigger)).await?;
                println!("{}", row(&report));
                if report.unsent > 0 {
                    println!(
                        "  the callers did not send {} requests: too many in flight, or deadline passed",
                        report.unsent
                    );
                }
                if self.gates {
                    print_gates(&report);
                }
                reports.push(report);
                lines.push((strategy.to_string(), timeline));
            }
            if let Some(out) = &self.out {
                std::fs::create_dir_all(out)?;
                let name = format!("depth{}-{trigger}", self.depth);
                write_plot(&out.join(format!("{name}.svg")), &name, &lines)?;
            }
        }
        if let Some(out) = &self.out {
            let file = out.join(format!("depth{}.json", self.depth));
            std::fs::write(file, serde_json::to_string_pretty(&reports)?)?;
        }
        Ok(())
    }

    const fn plan(&self, strategy: Strategy, trigger: Trigger) -> ExperimentPlan {
        ExperimentPlan {
            strategy,
            trigger,
            depth: self.depth,
            targets: self.targets,
            deep_slots: 4,
            deep_service_us: 20_000,
            base_load: self.base_load,
            deadline_ms: 1_000,
            phases: PHASES,
            seed: self.seed,
        }
    }
}

const HEAD: &str = "| depth | trigger | strategy | capacity | goodput before, 1/s | during, 1/s | recovery, ms | \
    answered critical/high/normal/low, % | deep executions mean/max | wasted, % |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

fn row(report: &ExperimentReport) -> String {
    let classes: Vec<String> = report
        .classes
        .iter()
        .map(|class| format!("{:.1}", percent(class.answered, class.sent)))
        .collect();
    format!(
        "| {} | {} | {} | {:.0} | {:.0} | {:.0} | {} | {} | {:.2}/{} | {:.1} |",
        report.plan.depth,
        report.plan.trigger,
        report.plan.strategy,
        report.capacity_per_s,
        report.goodput_before_per_s,
        report.goodput_during_per_s,
        report
            .recovery_ms
            .map_or_else(|| "none".to_owned(), |ms| ms.to_string()),
        classes.join("/"),
        report.deep_executions_mean,
        report.deep_executions_max,
        report.wasted_share * 100.0,
    )
}

fn print_gates(report: &ExperimentReport) {
    println!("  ms service limit running queue(critical/high/normal/low) level");
    for sample in &report.gates {
        let [critical, high, normal, low] = sample.queue;
        println!(
            "  {} s{:02} {} {} {critical}/{high}/{normal}/{low} {}",
            sample.at_ms, sample.depth, sample.limit, sample.running, sample.admission_level,
        );
    }
    println!("  executions by class: {:?}", report.executions);
    println!("  refusals: {:?}", report.refusals);
}

#[allow(clippy::cast_precision_loss)] // Counts of requests stay far below 2^52.
fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / (whole as f64).max(1.0)
}
