//! Plan of an experiment: strategy, trigger, size of the chain and phases.

use {
    derive_more::Display,
    serde::Serialize,
    std::{str::FromStr, time::Duration},
};

/// How the chain handles overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// Targets call one another directly, with an effectively unbounded queue, and retry failed calls.
    #[display("none")]
    None,
    /// Targets call one another directly, refuse requests beyond a fixed limit and retry failed calls.
    #[display("fixed_limits")]
    FixedLimits,
    /// Calls go through nodes, which control admission and retries.
    #[display("jujubeline")]
    Jujubeline,
}

impl Strategy {
    /// All strategies, in the order in which they run.
    pub const ALL: [Self; 3] = [Self::None, Self::FixedLimits, Self::Jujubeline];
}

/// Fault or change of demand that an experiment applies during its trigger phase.
#[derive(Debug, Clone, Copy, PartialEq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trigger {
    /// No fault: the baseline.
    #[display("calm")]
    Calm,
    /// The last service of the chain takes five times as long.
    #[display("slow_deep")]
    SlowDeep,
    /// Demand is multiplied by this factor.
    #[display("demand_x{_0}")]
    Demand(u32),
    /// Demand doubles, and callers retry each failed request up to ten times instead of twice.
    #[display("hard_retries")]
    HardRetries,
    /// Half of the targets of the last service are killed and restarted at the end of the trigger.
    #[display("kill_half")]
    KillHalf,
    /// All targets of the last service are killed and restarted at the end of the trigger.
    #[display("cold_restart")]
    ColdRestart,
}

impl Trigger {
    /// All triggers, in the order of the report.
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::SlowDeep,
        Self::Demand(2),
        Self::Demand(5),
        Self::Demand(10),
        Self::HardRetries,
        Self::KillHalf,
        Self::ColdRestart,
    ];

    /// Factor by which the demand is multiplied during the trigger; 1 for triggers that leave it unchanged.
    #[must_use]
    pub fn demand_factor(self) -> f64 {
        match self {
            Self::Demand(factor) => f64::from(factor),
            Self::HardRetries => 2.0,
            _ => 1.0,
        }
    }

    /// Upper bound on the retries of a failed request by its caller, in all phases of the experiment.
    #[must_use]
    pub const fn caller_retries(self) -> u32 {
        match self {
            Self::HardRetries => 10,
            _ => 2,
        }
    }
}

impl FromStr for Strategy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|strategy| strategy.to_string() == text)
            .ok_or_else(|| format!("unknown strategy {text:?}"))
    }
}

impl FromStr for Trigger {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|trigger| trigger.to_string() == text)
            .ok_or_else(|| format!("unknown trigger {text:?}"))
    }
}

/// Lengths of the phases of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Phases {
    /// Time before the first measured phase, in which connections and limits settle, in milliseconds.
    pub warm_up_ms: u64,
    /// Measured time before the trigger, in milliseconds.
    pub before_ms: u64,
    /// Duration of the trigger, in milliseconds.
    pub trigger_ms: u64,
    /// Time after the trigger, in which recovery is measured, in milliseconds.
    pub after_ms: u64,
}

impl Phases {
    /// Start of the trigger, from the start of the experiment.
    #[must_use]
    pub const fn trigger_start(&self) -> Duration {
        Duration::from_millis(self.warm_up_ms + self.before_ms)
    }

    /// End of the trigger, from the start of the experiment.
    #[must_use]
    pub const fn trigger_end(&self) -> Duration {
        Duration::from_millis(self.warm_up_ms + self.before_ms + self.trigger_ms)
    }

    /// End of the last phase, from the start of the experiment.
    #[must_use]
    pub const fn end(&self) -> Duration {
        Duration::from_millis(self.warm_up_ms + self.before_ms + self.trigger_ms + self.after_ms)
    }
}

/// One experiment: a chain under one strategy and one trigger.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ExperimentPlan {
    /// How the chain handles overload.
    pub strategy: Strategy,
    /// Fault or change of demand during the trigger phase.
    pub trigger: Trigger,
    /// Number of services in the chain.
    pub depth: usize,
    /// Number of targets of each service.
    pub targets: usize,
    /// Slots of each target of the last service, which is the bottleneck.
    pub deep_slots: u32,
    /// Time that a request holds a slot of a target of the last service, in microseconds.
    pub deep_service_us: u64,
    /// Demand before the trigger as a share of the capacity of the last service.
    pub base_load: f64,
    /// Time after its arrival within which a request must be answered completely to count, in milliseconds.
    pub deadline_ms: u64,
    /// Lengths of the phases.
    pub phases: Phases,
    /// Seed of the random arrivals and their classes.
    pub seed: u64,
}

impl ExperimentPlan {
    /// Requests a second that the last service can complete with all of its slots in use.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Small counts.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.targets as f64 * f64::from(self.deep_slots);
        slots * 1e6 / self.deep_service_us as f64
    }

    /// Demand before the trigger, in requests a second.
    #[must_use]
    pub fn base_rate_per_s(&self) -> f64 {
        self.capacity_per_s() * self.base_load
    }

    /// Time after its arrival within which a request must be answered completely to count.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
