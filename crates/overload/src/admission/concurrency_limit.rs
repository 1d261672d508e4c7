//! Adaptive limit on the requests that run at the local target.

use {
    crate::{
        ExchangeEnd,
        admission::latency_window::{LatencyWindow, WindowSummary},
    },
    std::time::{Duration, Instant},
};

/// Limit before anything is measured.
const INITIAL_LIMIT: f64 = 10.0;
/// Short-term latency relative to its long-term minimum above which the limit falls.
const TOLERANCE: f64 = 1.5;
/// Smallest factor on the limit in one window.
const MAX_FALL: f64 = 0.7;
/// Factor on the limit in one window at the start and while it is far below a limit that worked before.
const FAST_GROWTH: f64 = 1.5;
/// Short-term latency relative to its minimum above which the limit does not grow that fast.
const FAST_GROWTH_RATIO: f64 = 1.2;
/// Samples over which the short-term latency is averaged.
const SHORT_SAMPLES: f64 = 50.0;
/// Share of the short-term latency below which one window replaces it. After a slowdown the average needed more than a
/// second to follow, and the limit did not grow in that time.
const MUCH_SHORTER: f64 = 0.7;
/// Samples over which latency is averaged before its minimum is taken. The minimum of a noisier average would lie far
/// below the real latency: a fifth for exponential service times and 50 samples.
const LONG_SAMPLES: f64 = 300.0;
/// Samples before the minimum counts. The first window holds more short requests than usual.
const FIRST_SAMPLES: f64 = 100.0;
/// Share of a reduction that shows up as shorter latency: 1 when requests queue inside the target and 0 when the target
/// is slow for another reason. Less than this is taken as the latter.
const ELASTICITY: f64 = 0.5;
/// Reduction of the requests in flight that is needed for a judgement. Chance decides about a smaller one.
const MIN_REDUCTION: f64 = 1.2;
/// Standard errors by which the measured share must be below the threshold.
const JUDGE_ERRORS: f64 = 0.5;
/// Reduction at which the judgement no longer waits for that much evidence.
const LARGE_REDUCTION: f64 = 4.0;
/// Samples after which a reduction is judged.
const JUDGE_SAMPLES: u32 = 100;
/// Time for which the limit stands still before a measurement, in latencies and at most. Requests that started under the
/// earlier limit end in that time.
const SETTLE_LATENCIES: f64 = 1.5;
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Rise of latency while the limit stands still after which it stands still for longer.
const STEADY: f64 = 1.2;
/// Longest time for collecting the samples of a judgement.
const JUDGE_TIME: Duration = Duration::from_millis(750);
/// Time after which an accepted latency is judged again, because chance can make a queue look like a slow target. It
/// doubles with each repetition, since each judgement costs one to two seconds at a lower limit.
const FIRST_RECHECK: Duration = Duration::from_secs(30);
const MAX_RECHECK: Duration = Duration::from_mins(8);
/// Share of shed requests in a window from which the limit falls.
const SHED_SHARE: f64 = 0.02;
/// Share of timed-out requests from which the limit falls without judgement, because the real latency is not known.
const TIMEOUT_SHARE: f64 = 0.5;
/// Time for which the limit grows slowly near the level at which the target shed requests.
const SHED_MEMORY: Duration = Duration::from_secs(10);
/// Growth in one window near that level, as a share of the limit.
const SLOW_GROWTH: f64 = 0.01;
/// Age after which a reported utilisation has no effect.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Gradient limit: follows the ratio of short-term latency to its long-term minimum.
///
/// A rise of latency alone does not show that fewer requests would help: the target may wait for something slow behind
/// it. The limit is therefore reduced in steps, and when latency does not follow, the limit is restored and the higher
/// latency becomes the new minimum. Without this a target whose service time rises five times would keep a tenth of the
/// throughput that it still has.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    slots: Option<u32>,
    /// Limit that the target states as exact; nothing is learned while there is one.
    exact: Option<u32>,
    in_flight: u32,
    window: LatencyWindow,
    fastest: Option<(Duration, Instant)>,
    short: Option<f64>,
    long: f64,
    learned: f64,
    baseline: Option<f64>,
    reduction: Option<Reduction>,
    accepted: Option<Accepted>,
    good_limit: f64,
    shed_at: Option<(f64, Instant)>,
    full_until: Option<Instant>,
}

/// A reduction of the limit whose effect on latency is judged.
#[derive(Debug, Clone, Copy)]
struct Reduction {
    /// Limit and measurement before the first step. Latency lags behind the limit, so it is measured after the limit
    /// has stood still for a while.
    first: Option<(f64, Measurement)>,
    /// Limit and measurement before the last step.
    previous: Option<(f64, Measurement)>,
    /// Measurement since the last step.
    after: Measurement,
    /// Short-term latency when the limit began to stand still.
    latency: f64,
    /// Completions before this time still show the state before the last step.
    settled: Instant,
}

/// A latency that was taken for the target's own, and is judged again later.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    /// The lowest minimum before.
    baseline: f64,
    recheck_at: Instant,
    interval: Duration,
}

/// Latency and requests in flight at a constant limit.
#[derive(Debug, Clone, Copy, Default)]
struct Measurement {
    samples: u32,
    timeouts: u32,
    in_flight_sum: f64,
    latency_sum: f64,
    latency_square_sum: f64,
}

impl ConcurrencyLimit {
    /// A limit between 1 and `max_limit`, which is the target's connection limit.
    #[must_use]
    pub fn new(max_limit: u32, now: Instant) -> Self {
        let max_limit = f64::from(max_limit.max(1));
        Self {
            limit: INITIAL_LIMIT.min(max_limit),
            max_limit,
            slots: None,
            exact: None,
            in_flight: 0,
            window: LatencyWindow::new(now),
            fastest: None,
            short: None,
            long: 0.0,
            learned: 0.0,
            baseline: None,
            reduction: None,
            accepted: None,
            good_limit: f64::INFINITY,
            shed_at: None,
            full_until: None,
        }
    }

    /// Requests that may run now.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between 1 and the number of connections of a target"
    )]
    pub fn limit(&self) -> u32 {
        self.effective() as u32
    }

    /// Requests that run.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether another request may run.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_flight < self.limit()
    }

    /// Counts a request that starts.
    pub fn start(&mut self) {
        self.in_flight += 1;
        self.window.record_in_flight(self.in_flight);
    }

    /// Counts a request that ends, and learns from it. `in_calls` is the part of its time in which the target waited for
    /// calls of its own. Only the rest is the target's own time: when a service further down is slow, fewer requests here
    /// would not help it.
    pub fn end(&mut self, started: Instant, in_calls: Duration, end: ExchangeEnd, now: Instant) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let total = now.saturating_duration_since(started);
        let own = total.saturating_sub(in_calls);
        // An exchange without an end says nothing about the target when the target mostly waited for its calls.
        let waited_for_calls = in_calls > own;
        let latency = own.as_secs_f64();
        match end {
            ExchangeEnd::Completed => {
                self.window.record_completed(latency);
                self.window.record_total(total.as_secs_f64());
                self.record_reduction(latency, in_flight, false, now);
            }
            ExchangeEnd::TimedOut | ExchangeEnd::Cancelled if waited_for_calls => {}
            ExchangeEnd::TimedOut => {
                self.window.record_timeout(latency);
                self.record_reduction(latency, in_flight, true, now);
            }
            // A caller that goes away after a long wait shows that latency is at least that long.
            ExchangeEnd::Cancelled if self.short.is_some_and(|short| latency > short) => {
                self.window.record_timeout(latency);
                self.record_reduction(latency, in_flight, true, now);
            }
            ExchangeEnd::Shed => self.window.record_shed(in_flight),
            ExchangeEnd::Refused | ExchangeEnd::Failed | ExchangeEnd::Cancelled => {}
        }
        if let Some(summary) = self.window.finish(self.limit(), now) {
            self.window.record_in_flight(self.in_flight);
            self.adjust(&summary, now);
        }
    }

    /// Uses the slots of the target as the limit from now on, instead of learning one. For targets whose announced slots
    /// are exact and that are called by this node only: latency then also contains the time in which a target waits for
    /// its own calls, which says nothing about its room.
    pub fn set_exact(&mut self, slots: Option<u32>) {
        self.exact = slots.map(|slots| slots.max(1));
    }

    /// Takes the number of slots that the target announced as a cap. Zero or `None` removes the cap.
    ///
    /// An announcement made after latency was measured cannot lower the limit below half of what latency supports.
    pub fn hint_slots(&mut self, slots: Option<u32>) {
        self.slots = slots.filter(|&slots| slots > 0);
        if let Some(slots) = self.slots
            && self.short.is_none()
        {
            self.limit = self.limit.min(f64::from(slots)).max(1.0);
        }
    }

    /// Takes the utilisation that the target reported, 1.0 for fully used. A full target slows a rise of the limit; no
    /// report causes one.
    pub fn hint_utilisation(&mut self, utilisation: f64, now: Instant) {
        if utilisation >= 1.0 {
            self.full_until = Some(now + REPORT_LIFE);
        }
    }

    /// Changes the upper bound, when the target announces another connection limit.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.max_limit = f64::from(max_limit.max(1));
        self.limit = self.limit.min(self.max_limit);
    }

    /// Shortest latency to expect, calls of the target included, from the last measured window; zero when it is older than a second, so that requests
    /// are let through to measure again.
    #[must_use]
    pub fn expected_latency(&self, now: Instant) -> Duration {
        self.fastest
            .filter(|(_, at)| now.saturating_duration_since(*at) < Duration::from_secs(1))
            .map_or(Duration::ZERO, |(latency, _)| latency)
    }

    /// Short-term latency without the calls of the target; zero before the first measurement.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.short.map_or(Duration::ZERO, Duration::from_secs_f64)
    }

    fn effective(&self) -> f64 {
        if let Some(exact) = self.exact {
            return f64::from(exact).min(self.max_limit);
        }
        self.slots.map_or(self.limit, |slots| {
            self.limit.min(f64::from(slots).max(self.limit / 2.0))
        })
    }

    fn record_reduction(&mut self, latency: f64, in_flight: u32, timed_out: bool, now: Instant) {
        if let Some(reduction) = &mut self.reduction
            && now >= reduction.settled
        {
            reduction.after.record(latency, in_flight, timed_out);
        }
    }

    fn adjust(&mut self, window: &WindowSummary, now: Instant) {
        if window.samples > 0 {
            self.learn(window, now);
        }
        let total = f64::from(window.samples + window.sheds);
        if f64::from(window.sheds) >= (SHED_SHARE * total).max(2.0) {
            self.fall_to_shed_level(window, now);
            return;
        }
        if f64::from(window.timeouts) >= TIMEOUT_SHARE * total && window.timeouts > 0 {
            self.set_fallen(self.effective() * MAX_FALL);
            return;
        }
        self.recheck(now);
        let (Some(short), Some(baseline)) = (self.short, self.baseline) else {
            return;
        };
        let ratio = short / baseline;
        if ratio > TOLERANCE {
            self.fall(short, ratio, now);
        } else {
            self.reduction = None;
            self.grow(ratio, window, now);
        }
    }

    /// Updates the short-term latency and the long-term minimum.
    fn learn(&mut self, window: &WindowSummary, now: Instant) {
        if window.fastest.is_finite() {
            self.fastest = Some((Duration::from_secs_f64(window.fastest), now));
        }
        let samples = f64::from(window.samples);
        let short = self.short.unwrap_or(window.latency);
        self.short = if window.latency < MUCH_SHORTER * short {
            Some(window.latency)
        } else {
            Some(short + (window.latency - short) * samples / (samples + SHORT_SAMPLES))
        };
        self.learned += samples;
        self.long +=
            (window.latency - self.long) * samples / (samples + LONG_SAMPLES).min(self.learned);
        if self.learned >= FIRST_SAMPLES {
            self.baseline = Some(
                self.baseline
                    .map_or(self.long, |known| known.min(self.long)),
            );
        }
    }

    fn fall_to_shed_level(&mut self, window: &WindowSummary, now: Instant) {
        let effective = self.effective();
        let level = f64::from(window.lowest_shed.saturating_sub(1));
        self.set_fallen(level.min(effective).max(effective * MAX_FALL));
        self.shed_at = Some((self.limit, now));
    }

    fn set_fallen(&mut self, limit: f64) {
        self.good_limit = self.good_limit.max(self.limit);
        self.limit = limit.max(1.0);
        self.reduction = None;
    }

    /// Reduces the limit in steps and checks after each whether latency follows.
    fn fall(&mut self, short: f64, ratio: f64, now: Instant) {
        let effective = self.effective();
        let settle = Duration::from_secs_f64(SETTLE_LATENCIES * short).min(SETTLE_TIME);
        let Some(mut reduction) = self.reduction else {
            self.reduction = Some(Reduction {
                latency: short,
                first: None,
                previous: None,
                after: Measurement::default(),
                settled: now + settle,
            });
            return;
        };
        if reduction.after.samples < JUDGE_SAMPLES && now < reduction.settled + JUDGE_TIME {
            return;
        }
        if reduction.first.is_none() && short > STEADY * reduction.latency {
            // Latency still rises, so a step now would look as if it had no effect.
            reduction.latency = short;
            reduction.after = Measurement::default();
            reduction.settled = now + settle;
            self.reduction = Some(reduction);
            return;
        }
        if let Some(limit) = reduction.limit_to_restore() {
            self.accept_latency(limit, reduction.after.latency(), now);
            return;
        }
        reduction.previous = Some((effective, reduction.after));
        reduction.first = reduction.first.or(reduction.previous);
        reduction.after = Measurement::default();
        reduction.settled = now + settle;
        self.reduction = Some(reduction);
        self.good_limit = self.good_limit.max(effective);
        self.limit = (effective * (TOLERANCE / ratio).max(MAX_FALL)).max(1.0);
    }

    /// Restores the limit, because fewer requests did not make the target faster.
    fn accept_latency(&mut self, limit: f64, latency: f64, now: Instant) {
        if let Some(baseline) = self.baseline {
            let accepted = self.accepted.get_or_insert(Accepted {
                baseline,
                recheck_at: now,
                interval: FIRST_RECHECK,
            });
            accepted.baseline = accepted.baseline.min(baseline);
            accepted.recheck_at = now + accepted.interval;
        }
        self.limit = limit;
        self.short = Some(latency);
        self.long = latency;
        self.baseline = Some(latency);
        self.reduction = None;
    }

    /// Returns to the earlier minimum when an accepted latency is due for another judgement.
    fn recheck(&mut self, now: Instant) {
        let (Some(accepted), Some(baseline)) = (&mut self.accepted, &mut self.baseline) else {
            return;
        };
        if *baseline <= accepted.baseline {
            self.accepted = None;
            return;
        }
        if now >= accepted.recheck_at {
            accepted.interval = (accepted.interval * 2).min(MAX_RECHECK);
            accepted.recheck_at = now + accepted.interval;
            *baseline = accepted.baseline;
        }
    }

    fn grow(&mut self, ratio: f64, window: &WindowSummary, now: Instant) {
        let effective = self.effective();
        if f64::from(window.peak_in_flight) < effective * 0.8 {
            return;
        }
        let near_shedding = self.shed_at.is_some_and(|(level, at)| {
            self.limit >= 0.9 * level && now.saturating_duration_since(at) < SHED_MEMORY
        });
        if self.good_limit.is_infinite() && ratio >= FAST_GROWTH_RATIO {
            self.good_limit = 0.0;
        }
        let full = self.full_until.is_some_and(|until| now < until);
        let growth = if near_shedding {
            self.limit * SLOW_GROWTH
        } else if self.limit < self.good_limit / 2.0 && ratio < FAST_GROWTH_RATIO {
            self.limit * (FAST_GROWTH - 1.0)
        } else if full && self.limit >= self.good_limit {
            self.limit.sqrt() / 4.0
        } else {
            self.limit.sqrt()
        };
        // A hint that caps the limit also ends its growth, so that the limit can fall from there at once.
        let cap = self
            .slots
            .map_or(self.max_limit, |slots| f64::from(slots).max(self.limit));
        self.limit = (self.limit + growth).min(cap).min(self.max_limit);
        if self.limit >= self.good_limit {
            self.good_limit = 0.0;
        }
    }
}

impl Reduction {
    /// The limit before the last step, or before all steps, when latency did not follow them.
    fn limit_to_restore(&self) -> Option<f64> {
        [&self.previous, &self.first]
            .into_iter()
            .flatten()
            .find(|(_, before)| before.is_followed_in_vain(&self.after))
            .map(|(limit, _)| *limit)
    }
}

impl Measurement {
    fn record(&mut self, latency: f64, in_flight: u32, timed_out: bool) {
        self.samples += 1;
        self.timeouts += u32::from(timed_out);
        self.in_flight_sum += f64::from(in_flight);
        self.latency_sum += latency;
        self.latency_square_sum += latency * latency;
    }

    fn latency(&self) -> f64 {
        self.latency_sum / f64::from(self.samples)
    }

    fn in_flight(&self) -> f64 {
        self.in_flight_sum / f64::from(self.samples)
    }

    /// Whether fewer requests in flight have not made the target faster.
    fn is_followed_in_vain(&self, after: &Self) -> bool {
        if self.samples < 2 || after.samples < 2 {
            return false;
        }
        if f64::from(after.timeouts) > TIMEOUT_SHARE * f64::from(after.samples) {
            return false;
        }
        let error = self.relative_error().hypot(after.relative_error());
        let reduced = self.in_flight() / after.in_flight();
        if reduced < MIN_REDUCTION {
            return false;
        }
        let errors = if reduced >= LARGE_REDUCTION {
            0.0
        } else {
            JUDGE_ERRORS
        };
        (self.latency() / after.latency()).ln() < ELASTICITY * reduced.ln() - errors * error
    }

    /// Standard error of the mean latency, relative to it.
    fn relative_error(&self) -> f64 {
        let samples = f64::from(self.samples);
        let latency = self.latency();
        let variance = (self.latency_square_sum / samples - latency * latency).max(0.0);
        (variance / samples).sqrt() / latency
    }
}
