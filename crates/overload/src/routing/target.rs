//! Routing state of one target in the subset of a router.

use {
    crate::{
        admission::{Level, ObservedLevel},
        routing::{
            Candidate, CandidateState, ExpectedCompletion, LoadReport, TargetStatus,
            latency::LatencyEwma, leaving_share::SideCompletion, outlier_detector::OutlierDetector,
        },
    },
    std::time::{Duration, Instant},
};

/// Time in which a cold or restarted target reaches its full share of requests.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of its usual requests that a target receives at the beginning of its slow start.
const SLOW_START_INITIAL_SHARE: f64 = 0.1;
/// Age after which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Age at which a reported wait has faded to nothing, so that a target that had a queue is tried again.
const WAIT_TTL: Duration = Duration::from_secs(1);
/// Reported utilisation above which a target counts as loaded.
const LOADED_UTILISATION: f64 = 0.85;
/// Largest factor of a load report on the score. It is bounded so that a wrong report can shift requests to other
/// targets but never stop them.
const REPORT_FACTOR: f64 = 2.0;
/// Time for which a target counts as loaded after it refused or shed a request.
const REFUSAL_TTL: Duration = Duration::from_millis(500);
/// Factor on the score of a target that refused recently.
const REFUSAL_FACTOR: f64 = 3.0;
/// Multiple of its latency floor above which a target without a fresh load report counts as loaded.
const LOADED_LATENCY: f64 = 2.0;
/// The same for a target with a fresh load report that shows room. Its latency may then have risen with the mix of
/// requests alone, which is no sign of load.
const LOADED_LATENCY_WITH_ROOM: f64 = 3.0;

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) candidate: Candidate,
    pub(crate) tier: usize,
    pub(crate) in_flight: u32,
    pub(crate) latency: LatencyEwma,
    pub(crate) failures: OutlierDetector,
    level: ObservedLevel,
    utilisation: f64,
    reported: Option<Instant>,
    completion: Option<ExpectedCompletion>,
    /// Time of the last refused or shed request.
    refused: Option<Instant>,
    /// Beginning of the slow start, if there has been one.
    slow_start_began: Option<Instant>,
}

impl Target {
    pub(crate) fn new(candidate: Candidate, tier: usize, restarted: bool, now: Instant) -> Self {
        let slow_start_began =
            (restarted || candidate.state == CandidateState::Cold).then_some(now);
        Self {
            candidate,
            tier,
            in_flight: 0,
            latency: LatencyEwma::new(now),
            failures: OutlierDetector::new(now),
            level: ObservedLevel::new(Level::OPEN, now),
            utilisation: 0.0,
            reported: None,
            completion: None,
            refused: None,
            slow_start_began,
        }
    }

    /// Replaces the description of the target within the same incarnation.
    pub(crate) fn update_candidate(&mut self, candidate: Candidate, tier: usize, now: Instant) {
        if candidate.state == CandidateState::Cold && self.slow_start_began.is_none() {
            self.slow_start_began = Some(now);
        }
        self.candidate = candidate;
        self.tier = tier;
    }

    pub(crate) fn record_load(&mut self, report: LoadReport, now: Instant) {
        if report.utilisation.is_finite() {
            self.utilisation = report.utilisation.clamp(0.0, 1.0);
            self.completion = report.completion;
            self.reported = Some(now);
        }
    }

    pub(crate) const fn record_level(&mut self, level: Level, now: Instant) {
        self.level = ObservedLevel::new(level, now);
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

    /// Share of its usual requests that the target receives, below 1.0 during slow start.
    pub(crate) fn slow_start_share(&self, now: Instant) -> f64 {
        let Some(from) = self.slow_start_began else {
            return 1.0;
        };
        let age = now.saturating_duration_since(from).as_secs_f64() / SLOW_START.as_secs_f64();
        (SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * age).min(1.0)
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

    /// Expected cost of one more request in seconds; lower is better. `mean_latency` in seconds is the fallback for a
    /// target without recent samples.
    pub(crate) fn score(&self, mean_latency: f64, now: Instant) -> f64 {
        let completion = self.completion_s(now).unwrap_or_else(|| {
            let latency = self.latency.mean(mean_latency, now);
            let score = latency * f64::from(self.in_flight + 1);
            score * (1.0 + (REPORT_FACTOR - 1.0) * self.fresh_utilisation(now))
        });
        let mut score = completion;
        // A target that fails immediately never has many requests in flight, so without this factor it would attract
        // them all.
        score *= f64::from(self.failures.consecutive() + 1);
        if self.refused_recently(now) {
            score *= REFUSAL_FACTOR;
        }
        score
    }

    /// Expected time of one more request in seconds, from the last report and what this node has in flight; `None`
    /// without a recent report. The wait changes within a second, so an old one counts less.
    fn completion_s(&self, now: Instant) -> Option<f64> {
        let completion = self.completion.filter(|_| self.has_report(now))?;
        let service_s = completion.service.as_secs_f64();
        let own_share = f64::from(self.in_flight) / f64::from(self.candidate.slots.max(1));
        Some(service_s * (1.0 + own_share) + self.wait_s(now))
    }

    /// Completion and wait in seconds as the last report states them; `None` once the wait has faded. Faded figures would
    /// make targets that are seldom used look better than others.
    pub(crate) fn reported_s(&self, now: Instant) -> Option<SideCompletion> {
        let completion = self.completion?;
        let age = now.saturating_duration_since(self.reported?);
        let wait_s = completion.wait.as_secs_f64();
        (age < WAIT_TTL).then_some(SideCompletion {
            mean_s: completion.service.as_secs_f64() + wait_s,
            wait_s,
        })
    }

    /// Reported wait in seconds, which fades with the age of the report.
    fn wait_s(&self, now: Instant) -> f64 {
        let (Some(completion), Some(reported)) = (self.completion, self.reported) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        let freshness = (1.0 - age / WAIT_TTL.as_secs_f64()).max(0.0);
        completion.wait.as_secs_f64() * freshness
    }

    pub(crate) fn status(&self, now: Instant) -> TargetStatus {
        let ejected = self.failures.is_ejected(now);
        TargetStatus {
            node: self.candidate.node.clone(),
            data_centre: self.candidate.data_centre.clone(),
            state: self.candidate.state,
            weight: if ejected || self.is_draining() {
                0.0
            } else {
                self.slow_start_share(now)
            },
            in_flight: self.in_flight,
            latency: self.latency.known_mean().map(Duration::from_secs_f64),
            completion: self.completion.filter(|_| self.has_report(now)),
            ejected,
            loaded: self.is_loaded(now),
        }
    }

    /// Whether the target refused or shed a request recently, or failed the last one.
    pub(crate) fn is_in_trouble(&self, now: Instant) -> bool {
        self.refused_recently(now) || self.failures.consecutive() > 0
    }

    fn refused_recently(&self, now: Instant) -> bool {
        self.refused
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_TTL)
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
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_TTL)
    }
}
