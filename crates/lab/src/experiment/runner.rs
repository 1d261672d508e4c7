//! Runs one experiment from the start of the processes to its report.

use {
    super::{
        ExperimentPlan, ExperimentReport, Timeline, Trigger, callers::Callers, chain::Chain,
        gates::sample_gates,
    },
    crate::process::ProcessError,
    std::time::Instant,
    tokio::time::sleep,
};

/// Factor by which `Trigger::SlowDeep` lengthens the service time of the last service.
const SLOW_FACTOR: u64 = 5;

/// Starts the chain, runs the callers while the trigger is applied and ended, and computes the report.
///
/// # Errors
///
/// When a process does not start, or a killed target does not start again.
///
/// # Panics
///
/// When the task of the callers or of the gate sampler panics.
pub async fn run(plan: ExperimentPlan) -> Result<(ExperimentReport, Timeline), ProcessError> {
    let mut chain = Chain::start(&plan).await?;
    let start = Instant::now();
    let callers = Callers::new(plan, chain.callers.clone());
    let requests = tokio::spawn(callers.run(start));
    let gates = tokio::spawn(sample_gates(chain.operators(), start, plan.phases.end()));
    sleep_until(start, plan.phases.trigger_start()).await;
    apply_trigger(&mut chain, &plan).await;
    sleep_until(start, plan.phases.trigger_end()).await;
    end_trigger(&mut chain, &plan).await?;
    let records = requests.await.expect("the callers panicked");
    let gates = gates.await.expect("the gate sampler panicked");
    let executions = chain.executions().await;
    let timeline = Timeline::new(records, plan.phases);
    let mut report = ExperimentReport::new(plan, &timeline, &executions);
    let (refusals, node_cpu) = chain.refusals_and_cpu_time().await;
    report.refusals = refusals;
    report.gates = gates;
    report.node_cpu_s = node_cpu.as_secs_f64();
    Ok((report, timeline))
}

async fn apply_trigger(chain: &mut Chain, plan: &ExperimentPlan) {
    match plan.trigger {
        Trigger::SlowDeep => {
            let extra_us = plan.deep_service_us * (SLOW_FACTOR - 1);
            chain.slow_down(extra_us / 1_000).await;
        }
        Trigger::KillHalf => chain.kill(plan.targets / 2).await,
        Trigger::ColdRestart => chain.kill(plan.targets).await,
        Trigger::Calm | Trigger::Demand(_) | Trigger::HardRetries => {}
    }
}

async fn end_trigger(chain: &mut Chain, plan: &ExperimentPlan) -> Result<(), ProcessError> {
    match plan.trigger {
        Trigger::SlowDeep => chain.slow_down(0).await,
        Trigger::KillHalf | Trigger::ColdRestart => chain.restart().await?,
        Trigger::Calm | Trigger::Demand(_) | Trigger::HardRetries => {}
    }
    Ok(())
}

async fn sleep_until(start: Instant, at: std::time::Duration) {
    sleep((start + at).saturating_duration_since(Instant::now())).await;
}
