//! What a router knows about one target of its subset.

use {
    crate::{
        admission::{LearnedLevel, Level},
        routing::{
            Candidate, CandidateState, LoadReport, TargetView, failure_watch::FailureWatch,
            latency::Latency,
        },
    },
    std::time::{Duration, Instant},
};

/// Time in which a cold target reaches its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of a target at the start of its slow start.
const SLOW_START_SHARE: f64 = 0.1;
/// Age after which a load report has no effect.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Reported utilisation above which a target counts as loaded.
const LOADED_UTILISATION: f64 = 0.85;
/// Largest factor that a load report puts on a score, so that a wrong report shifts work and never stops it.
const REPORT_FACTOR: f64 = 2.0;
/// Time for which a refusal or a shed request marks a target as loaded.
const REFUSAL_LIFE: Duration = Duration::from_millis(500);
/// Factor on the score of a target that refused recently.
const REFUSAL_FACTOR: f64 = 3.0;
/// Multiple of its usual latency above which a target counts as loaded.
const LOADED_LATENCY: f64 = 2.0;
/// The same while the target reports room: then latency also rises with the mix of requests, which says nothing about it.
const LOADED_LATENCY_WITH_ROOM: f64 = 3.0;

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) candidate: Candidate,
    pub(crate) tier: usize,
    pub(crate) in_flight: u32,
    pub(crate) latency: Latency,
    pub(crate) failures: FailureWatch,
    level: LearnedLevel,
    utilisation: f64,
    reported: Option<Instant>,
    refused: Option<Instant>,
    warm_from: Option<Instant>,
}

impl Target {
    pub(crate) fn new(candidate: Candidate, tier: usize, restarted: bool, now: Instant) -> Self {
        let warm_from = (restarted || candidate.state == CandidateState::Cold).then_some(now);
        Self {
            candidate,
            tier,
            in_flight: 0,
            latency: Latency::new(now),
            failures: FailureWatch::new(now),
            level: LearnedLevel::new(Level::OPEN, now),
            utilisation: 0.0,
            reported: None,
            refused: None,
            warm_from,
        }
    }

    /// Takes over a new description of the same incarnation.
    pub(crate) fn describe(&mut self, candidate: Candidate, tier: usize, now: Instant) {
        if candidate.state == CandidateState::Cold && self.warm_from.is_none() {
            self.warm_from = Some(now);
        }
        self.candidate = candidate;
        self.tier = tier;
    }

    pub(crate) fn report(&mut self, report: LoadReport, now: Instant) {
        if report.utilisation.is_finite() {
            self.utilisation = report.utilisation.clamp(0.0, 1.0);
            self.reported = Some(now);
        }
    }

    pub(crate) const fn learn_level(&mut self, level: Level, now: Instant) {
        self.level = LearnedLevel::new(level, now);
    }

    pub(crate) fn level(&self, now: Instant) -> Level {
        self.level.at(now)
    }

    pub(crate) const fn record_refusal(&mut self, now: Instant) {
        self.refused = Some(now);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.candidate.state == CandidateState::Draining
    }

    /// Share of the usual work, below 1.0 during slow start.
    pub(crate) fn warmth(&self, now: Instant) -> f64 {
        let Some(from) = self.warm_from else {
            return 1.0;
        };
        let age = now.saturating_duration_since(from).as_secs_f64() / SLOW_START.as_secs_f64();
        (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * age).min(1.0)
    }

    pub(crate) fn is_loaded(&self, now: Instant) -> bool {
        let latency = if self.has_report(now) {
            LOADED_LATENCY_WITH_ROOM
        } else {
            LOADED_LATENCY
        };
        self.refused_recently(now)
            || self.fresh_utilisation(now) >= LOADED_UTILISATION
            || self.latency.is_above_floor(latency)
    }

    /// Expected cost of one more request; lower is better.
    pub(crate) fn score(&self, usual_latency: f64, now: Instant) -> f64 {
        let latency = self.latency.mean(usual_latency, now);
        let mut score = latency * f64::from(self.in_flight + 1);
        // A target that fails at once never has many requests in flight and would attract all of them.
        score *= f64::from(self.failures.consecutive() + 1);
        score *= 1.0 + (REPORT_FACTOR - 1.0) * self.fresh_utilisation(now);
        if self.refused_recently(now) {
            score *= REFUSAL_FACTOR;
        }
        score
    }

    pub(crate) fn view(&self, now: Instant) -> TargetView {
        let ejected = self.failures.is_ejected(now);
        TargetView {
            node: self.candidate.node.clone(),
            data_centre: self.candidate.data_centre.clone(),
            state: self.candidate.state,
            weight: if ejected || self.is_draining() {
                0.0
            } else {
                self.warmth(now)
            },
            in_flight: self.in_flight,
            latency: self.latency.known_mean().map(Duration::from_secs_f64),
            ejected,
            loaded: self.is_loaded(now),
        }
    }

    fn refused_recently(&self, now: Instant) -> bool {
        self.refused
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_LIFE)
    }

    fn fresh_utilisation(&self, now: Instant) -> f64 {
        if self.has_report(now) {
            self.utilisation
        } else {
            0.0
        }
    }

    fn has_report(&self, now: Instant) -> bool {
        self.reported
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_LIFE)
    }
}
