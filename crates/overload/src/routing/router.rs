//! Load balancer of an entry node for the targets of one service.

use {
    crate::{
        ExchangeEnd,
        admission::Level,
        routing::{
            Candidate, LoadReport, NodeLocation, TargetStatus,
            latency::{DEFAULT_LATENCY_S, LatencyEwma},
            leaving_share::{LeavingShare, SideCompletion},
            subset::{self, TIERS},
            target::Target,
        },
    },
    jujubeline_core::{Class, Incarnation, NodeId, RootId},
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Upper bound of the subset size.
const MAX_SUBSET: usize = 200;
/// Largest tier in which all targets are examined to find a usable one.
const MAX_FULL_SCAN: usize = 8;
/// Targets examined in a larger tier. The number exceeds a retry bound of 3, so that targets that were already tried
/// are skipped and another one is found.
const LARGE_TIER_SCAN: usize = 4;
/// Factor on the score of a target in a more distant tier when it competes with a loaded one nearby.
const DISTANCE_FACTOR: f64 = 1.5;

/// Tier of the targets in the own data centre.
const NEAR: usize = 0;
/// Tier of the targets in other data centres of the region.
const REGION: usize = 1;
/// Time that leaving the data centre must save a request unless a setting says otherwise.
pub const DEFAULT_CROSSING_COST: Duration = Duration::from_millis(10);

/// A selected target. It must be returned with [`Router::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a pick that is not finished counts as in flight"]
pub struct Pick {
    node: NodeId,
    incarnation: Incarnation,
    started: Instant,
    index: usize,
}

/// Selects targets of one service by power of two choices within tiers of distance, with slow start and outlier
/// ejection.
#[derive(Debug)]
pub struct Router {
    location: NodeLocation,
    subset_size: usize,
    targets: Vec<Target>,
    index: HashMap<NodeId, usize>,
    /// Indexes of the targets that are neither draining nor ejected, by tier.
    available: [Vec<usize>; TIERS],
    next_release: Option<Instant>,
    latency: LatencyEwma,
    ejections_refused: u64,
    leaving: LeavingShare,
}

impl Pick {
    /// Instance of the target.
    #[must_use]
    pub const fn node(&self) -> &NodeId {
        &self.node
    }

    /// Incarnation of the node beside the target.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

impl Router {
    /// Default number of targets in a subset.
    pub const DEFAULT_SUBSET: usize = 20;

    /// Creates a router without targets. `subset_size` is clamped to the range from 1 to 200.
    #[must_use]
    pub fn new(location: NodeLocation, subset_size: usize, now: Instant) -> Self {
        Self {
            location,
            subset_size: subset_size.clamp(1, MAX_SUBSET),
            targets: Vec::new(),
            index: HashMap::new(),
            available: Default::default(),
            next_release: None,
            latency: LatencyEwma::new(now),
            ejections_refused: 0,
            leaving: LeavingShare::new(DEFAULT_CROSSING_COST, now),
        }
    }

    /// Replaces the time that leaving the data centre must save a request.
    pub const fn set_crossing_cost(&mut self, crossing_cost: Duration) {
        self.leaving.set_crossing_cost(crossing_cost);
    }

    /// Share of the requests that leaves the data centre; `None` while each request decides by the one near target that
    /// is drawn for it, because too little is known.
    #[must_use]
    pub fn leaving_share(&self) -> Option<f64> {
        self.leaving.share()
    }

    /// Replaces the candidates of the service and selects the subset. The state of a target is kept as long as it stays
    /// in the subset with the same incarnation.
    pub fn update(&mut self, candidates: &[Candidate], now: Instant) {
        let chosen = subset::choose(&self.location, candidates, self.subset_size);
        let mut old: HashMap<NodeId, Target> = self
            .targets
            .drain(..)
            .map(|target| (target.candidate.node.clone(), target))
            .collect();
        self.targets = chosen
            .into_iter()
            .map(|(tier, candidate)| match old.remove(&candidate.node) {
                Some(mut target) if target.candidate.incarnation == candidate.incarnation => {
                    target.update_candidate(candidate, tier, now);
                    target
                }
                earlier => Target::new(candidate, tier, earlier.is_some(), now),
            })
            .collect();
        self.index = self
            .targets
            .iter()
            .enumerate()
            .map(|(index, target)| (target.candidate.node.clone(), index))
            .collect();
        self.rebuild(now);
    }

    /// Selects a target for which `usable` holds, and counts the request as in flight at it. Returns `None` if none is
    /// found.
    ///
    /// `usable` excludes the targets that were already tried. Admission levels are ignored: a request that runs at most
    /// once must not be refused by them.
    pub fn pick(
        &mut self,
        usable: impl Fn(&NodeId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_target(&|target| usable(&target.candidate.node), now, rng)
    }

    /// Like [`Router::pick`], but only among the targets whose decayed admission level is above the key of the request.
    /// The share that [`Level::admits`] reserves for each class does not apply here. If this finds no target and
    /// [`Router::pick`] would, the request is refused with `admission_level`.
    pub fn pick_admitting(
        &mut self,
        class: Class,
        root: RootId,
        usable: impl Fn(&NodeId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let key = Level::key(class, root);
        let admits =
            |target: &Target| key < target.level(now).keys() && usable(&target.candidate.node);
        self.pick_target(&admits, now, rng)
    }

    fn pick_target(
        &mut self,
        usable: &impl Fn(&Target) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        if self.next_release.is_some_and(|at| now >= at) {
            self.rebuild(now);
        }
        if self.leaving.is_due(now) {
            let (near, far) = (self.side(NEAR, now), self.side(REGION, now));
            self.leaving.adjust(near, far, now);
        }
        let usual = self.mean_latency();
        if let Some(index) = self.pick_near_or_leave(usable, usual, now, rng) {
            return Some(self.start(index, now));
        }
        let mut best: Option<(usize, f64)> = None;
        for tier in 0..TIERS {
            let Some((index, score)) = self.better_of_two(tier, usable, usual, now, rng) else {
                continue;
            };
            let score = score * DISTANCE_FACTOR.powi(i32::from(best.is_some()));
            // Random, with probabilities in inverse proportion to the scores. If each entry node moved all of its
            // requests to the better tier, all nodes would move together and oscillate as the load reports change.
            if best.is_none_or(|(_, near)| rng.random::<f64>() * (near + score) < near) {
                best = Some((index, score));
            }
            if !self.targets[index].is_loaded(now) {
                break;
            }
        }
        let (index, _) = best?;
        Some(self.start(index, now))
    }

    /// Chooses a target by the share that leaves the data centre and by the queues of the targets that are drawn. `None`
    /// if too little is known, or if the target is in trouble: it may have no queue then, so it is compared with those of
    /// other tiers by its score.
    fn pick_near_or_leave(
        &self,
        usable: &impl Fn(&Target) -> bool,
        usual: f64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        self.leaving.share()?;
        let (near, _) = self.better_of_two(NEAR, usable, usual, now, rng)?;
        let far = self.better_of_two(REGION, usable, usual, now, rng);
        let chosen = match far {
            Some((far, _)) => {
                let reported = |index: usize| self.targets[index].reported_s(now);
                let chance = self.leaving.chance(reported(near), reported(far));
                if rng.random::<f64>() < chance {
                    far
                } else {
                    near
                }
            }
            None => near,
        };
        (!self.targets[chosen].is_in_trouble(now)).then_some(chosen)
    }

    /// Counts a request as in flight at a target.
    fn start(&mut self, index: usize, now: Instant) -> Pick {
        let target = &mut self.targets[index];
        target.in_flight += 1;
        Pick {
            node: target.candidate.node.clone(),
            incarnation: target.candidate.incarnation,
            started: now,
            index,
        }
    }

    /// Expected completion at the available targets of a tier that have reported recently, weighted by their slots.
    fn side(&self, tier: usize, now: Instant) -> Option<SideCompletion> {
        let (mut sum_s, mut wait_s, mut slots) = (0.0, 0.0, 0.0);
        for &index in &self.available[tier] {
            let target = &self.targets[index];
            let Some(completion) = target.reported_s(now) else {
                continue;
            };
            let weight = f64::from(target.candidate.slots.max(1));
            sum_s += completion.mean_s * weight;
            slots += weight;
            wait_s += completion.wait_s * weight;
        }
        (slots > 0.0).then(|| SideCompletion {
            mean_s: sum_s / slots,
            wait_s: wait_s / slots,
        })
    }

    /// Records the end of a request at its target. Ignored if the target has left the subset or has restarted.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a pick can be finished only once"
    )]
    pub fn finish(&mut self, pick: Pick, end: ExchangeEnd, now: Instant) {
        let Some(index) = self.find(&pick) else {
            return;
        };
        let latency = now.saturating_duration_since(pick.started);
        let target = &mut self.targets[index];
        target.in_flight = target.in_flight.saturating_sub(1);
        match end {
            ExchangeEnd::Completed => {
                target.latency.record(latency, now);
                target.failures.on_success(now);
                self.latency.record(latency, now);
            }
            ExchangeEnd::Shed | ExchangeEnd::Refused => target.record_refusal(now),
            ExchangeEnd::TimedOut => {
                target.latency.record(latency, now);
                self.record_failure(index, now);
            }
            ExchangeEnd::Failed => self.record_failure(index, now),
            ExchangeEnd::Cancelled => {}
        }
    }

    /// Records the load that a target reported in a response.
    pub fn record_load(&mut self, node: &NodeId, report: LoadReport, now: Instant) {
        if let Some(&index) = self.index.get(node) {
            self.targets[index].record_load(report, now);
        }
    }

    /// Records the admission level in the response of a target's gate.
    pub fn record_level(&mut self, node: &NodeId, level: Level, now: Instant) {
        if let Some(&index) = self.index.get(node) {
            self.targets[index].record_level(level, now);
        }
    }

    /// Expected latency of another attempt: the mean over all targets plus twice the mean deviation.
    #[must_use]
    pub fn expected_latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency.upper_estimate().unwrap_or(DEFAULT_LATENCY_S))
    }

    /// State of each target in the subset, for operators.
    #[must_use]
    pub fn target_statuses(&self, now: Instant) -> Vec<TargetStatus> {
        self.targets
            .iter()
            .map(|target| target.status(now))
            .collect()
    }

    /// Targets of the subset that are neither draining nor ejected.
    pub fn available(&self) -> impl Iterator<Item = &NodeId> {
        let indexes = self.available.iter().flatten();
        indexes.map(|&index| &self.targets[index].candidate.node)
    }

    /// Number of targets in the subset.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the subset is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Total number of ejections that were not made because at most half of the targets that are not draining may be
    /// ejected.
    #[must_use]
    pub const fn ejections_refused(&self) -> u64 {
        self.ejections_refused
    }

    /// Mean latency over all targets in seconds.
    fn mean_latency(&self) -> f64 {
        self.latency.known_mean().unwrap_or(DEFAULT_LATENCY_S)
    }

    /// Index of the target of a pick, which may have changed since. `None` if that incarnation has left the subset.
    fn find(&self, pick: &Pick) -> Option<usize> {
        let same = |index: &usize| {
            self.targets.get(*index).is_some_and(|target| {
                target.candidate.node == pick.node
                    && target.candidate.incarnation == pick.incarnation
            })
        };
        Some(pick.index)
            .filter(same)
            .or_else(|| self.index.get(&pick.node).copied().filter(same))
    }

    /// The target with the lower score of two random usable targets of a tier, and its score.
    fn better_of_two(
        &self,
        tier: usize,
        usable: &impl Fn(&Target) -> bool,
        usual: f64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(usize, f64)> {
        let first = self.find_usable(tier, None, usable, now, rng)?;
        let score = |index: usize| (index, self.targets[index].score(usual, now));
        let Some(second) = self.find_usable(tier, Some(first), usable, now, rng) else {
            return Some(score(first));
        };
        let (first, second) = (score(first), score(second));
        Some(if second.1 < first.1 { second } else { first })
    }

    /// A usable target of a tier, scanning from a random index. A target in slow start is skipped with a probability
    /// that falls as its share grows. A skipped target is used only if the scan finds no other one and `other_than` is
    /// `None`.
    fn find_usable(
        &self,
        tier: usize,
        other_than: Option<usize>,
        usable: &impl Fn(&Target) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let available = &self.available[tier];
        if available.is_empty() {
            return None;
        }
        let start = rng.random_range(0..available.len());
        let mut cold = None;
        let scan_length = if available.len() <= MAX_FULL_SCAN {
            available.len()
        } else {
            LARGE_TIER_SCAN
        };
        for step in 0..scan_length {
            let index = available[(start + step) % available.len()];
            let target = &self.targets[index];
            if Some(index) == other_than || !usable(target) {
                continue;
            }
            let slow_start_share = target.slow_start_share(now);
            if slow_start_share >= 1.0 || rng.random::<f64>() < slow_start_share {
                return Some(index);
            }
            cold = cold.or(Some(index));
        }
        cold.filter(|_| other_than.is_none())
    }

    /// Counts a failure and ejects the target if it fails too often. At most half of the targets that are not draining
    /// may be ejected.
    fn record_failure(&mut self, index: usize, now: Instant) {
        let target = &mut self.targets[index];
        if target.failures.is_ejected(now) || !target.failures.on_failure(now) {
            return;
        }
        let members = self.targets.iter().filter(|target| !target.is_draining());
        let (mut count, mut ejected) = (0, 0);
        for target in members {
            count += 1;
            ejected += usize::from(target.failures.is_ejected(now));
        }
        if (ejected + 1) * 2 > count {
            self.ejections_refused += 1;
            return;
        }
        self.targets[index].failures.eject(now);
        self.rebuild(now);
    }

    /// Recomputes the available targets and the end of the next ejection, and ends the ejections that are over.
    fn rebuild(&mut self, now: Instant) {
        for list in &mut self.available {
            list.clear();
        }
        self.next_release = None;
        for (index, target) in self.targets.iter_mut().enumerate() {
            target.failures.release(now);
            if target.is_draining() {
                continue;
            }
            if let Some(until) = target.failures.ejected_until() {
                self.next_release = Some(self.next_release.map_or(until, |at| at.min(until)));
            } else {
                self.available[target.tier].push(index);
            }
        }
    }
}
