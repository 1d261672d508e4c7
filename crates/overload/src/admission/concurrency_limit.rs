//! Adaptive limit on the number of concurrent requests at the local target.

use {
    crate::{
        ExchangeEnd,
        admission::latency_window::{LatencyWindow, WindowSummary},
    },
    std::time::{Duration, Instant},
};

/// Limit before the first latency measurement.
const INITIAL_LIMIT: f64 = 10.0;
/// Short-term latency relative to its long-term minimum above which the limit falls.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Smallest factor on the limit in one window.
const MAX_FALL: f64 = 0.7;
/// Factor by which the limit grows in one window, initially and while it is less than half of the limit before the last
/// reductions.
const FAST_GROWTH: f64 = 1.5;
/// Short-term latency relative to its long-term minimum from which the limit grows by its square root instead of by
/// [`FAST_GROWTH`].
const FAST_GROWTH_RATIO: f64 = 1.2;
/// Samples over which the short-term latency is averaged.
const SHORT_SAMPLES: f64 = 50.0;
/// A window whose mean latency is below this share of the short-term latency replaces the short-term latency. After a
/// slowdown, averaging alone took more than a second to converge, and the limit did not grow in that time.
const SHORT_RESET_RATIO: f64 = 0.7;
/// Samples over which latency is averaged before its minimum is taken. The minimum of a noisier average is far below
/// the real latency: a fifth below for exponential service times and 50 samples.
const LONG_SAMPLES: f64 = 300.0;
/// Samples before the minimum is used. Short requests end first, so they are over-represented in the first window.
const MIN_BASELINE_SAMPLES: f64 = 100.0;
/// Lowest elasticity of latency with respect to the requests in flight at which a reduction of the limit counts as
/// effective. The elasticity is 1 when requests queue inside the target and 0 when the target is slow for another
/// reason.
const ELASTICITY: f64 = 0.5;
/// Smallest factor by which the requests in flight must fall before the effect on latency is evaluated. The effect of a
/// smaller reduction cannot be told from noise.
const MIN_REDUCTION: f64 = 1.2;
/// Number of standard errors by which the measured effect must be below [`ELASTICITY`] to count as no improvement.
const EVALUATION_STANDARD_ERRORS: f64 = 0.5;
/// Reduction factor from which the margin of [`EVALUATION_STANDARD_ERRORS`] is no longer required.
const LARGE_REDUCTION: f64 = 4.0;
/// Samples after which the effect of a reduction is evaluated.
const EVALUATION_SAMPLES: u32 = 100;
/// Time for which the limit is held constant before a measurement, as a multiple of the short-term latency. Requests
/// that started under the previous limit end in that time.
const SETTLE_LATENCIES: f64 = 1.5;
/// Upper bound of that time.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Factor by which latency may rise while the limit is held constant before the first step of a reduction. After a
/// larger rise the limit is held for another settling time.
const MAX_SETTLING_RISE: f64 = 1.2;
/// Longest time for collecting the samples of an evaluation, after the settling time.
const MAX_EVALUATION_TIME: Duration = Duration::from_millis(750);
/// Time after which an accepted latency is evaluated again, because noise can make a queue look like a slow target. The
/// interval doubles with each repetition, since each evaluation runs one to two seconds at a lower limit.
const FIRST_RECHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Upper bound of that interval.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_mins(8);
/// Share of shed requests in a window from which the limit is reduced.
const SHED_SHARE: f64 = 0.02;
/// Share of timed-out requests in a window from which the limit is reduced without an evaluation, because the real
/// latency is then unknown.
const TIMEOUT_SHARE: f64 = 0.5;
/// Time after shed requests during which the limit grows only by [`SLOW_GROWTH`] near the value at which they were
/// shed.
const SLOW_GROWTH_TIME: Duration = Duration::from_secs(10);
/// Growth in one window near that value, as a share of the limit.
const SLOW_GROWTH: f64 = 0.01;
/// Age after which a utilisation report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Gradient concurrency limit, driven by the ratio of the short-term latency to its long-term minimum.
///
/// Higher latency alone does not show that fewer concurrent requests would help: the target may wait for a slow
/// dependency. The limit is therefore reduced in steps. When latency does not fall with it, the limit is restored and
/// the higher latency becomes the new minimum. Without this check, a target whose service time rises fivefold would be
/// held to a tenth of the throughput that it can still serve.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    slots: Option<u32>,
    /// Limit that the target declares exact. It replaces the adaptive limit while it is set.
    exact: Option<u32>,
    in_flight: u32,
    window: LatencyWindow,
    /// Shortest total time of a request in the last measured window, and the end of that window.
    fastest: Option<(Duration, Instant)>,
    /// Short-term average of latency in seconds.
    short: Option<f64>,
    /// Long-term average of latency in seconds.
    long: f64,
    /// Number of samples recorded so far.
    sample_count: f64,
    /// Minimum of the long-term average in seconds, or the accepted latency.
    baseline: Option<f64>,
    reduction: Option<Reduction>,
    accepted: Option<AcceptedLatency>,
    /// Highest limit before the last reductions. The limit grows by [`FAST_GROWTH`] below half of it. Infinite until
    /// the limit may first grow while latency is at or above [`FAST_GROWTH_RATIO`], and zero once the limit has grown
    /// back to it.
    good_limit: f64,
    /// Limit after the last shed requests, and their time.
    shed_at: Option<(f64, Instant)>,
    full_until: Option<Instant>,
}

/// A stepwise reduction of the limit whose effect on latency is being evaluated.
#[derive(Debug, Clone, Copy)]
struct Reduction {
    /// Limit and measurement before the first step. Latency lags behind the limit, so it is measured once the limit has
    /// been constant for the settling time.
    first: Option<(f64, Measurement)>,
    /// Limit and measurement before the last step.
    previous: Option<(f64, Measurement)>,
    /// Measurement since the last step.
    after: Measurement,
    /// Short-term latency in seconds at the start of the settling time before the first step.
    latency: f64,
    /// End of the settling time. Requests that end earlier still reflect the limit before the last step.
    settled: Instant,
}

/// A higher latency that was attributed to the target itself and not to queueing, until the next evaluation.
#[derive(Debug, Clone, Copy)]
struct AcceptedLatency {
    /// Lowest long-term minimum before the latency was accepted, in seconds.
    baseline: f64,
    recheck_at: Instant,
    interval: Duration,
}

/// Latency in seconds and requests in flight, sampled at a constant limit.
#[derive(Debug, Clone, Copy, Default)]
struct Measurement {
    samples: u32,
    timeouts: u32,
    in_flight_sum: f64,
    latency_sum: f64,
    latency_square_sum: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit between 1 and `max_limit`, which is the target's connection limit.
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
            sample_count: 0.0,
            baseline: None,
            reduction: None,
            accepted: None,
            good_limit: f64::INFINITY,
            shed_at: None,
            full_until: None,
        }
    }

    /// The limit in effect.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between 1 and the number of connections of a target"
    )]
    pub fn limit(&self) -> u32 {
        self.effective() as u32
    }

    /// Number of requests that are running.
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

    /// Counts a request that ends and records its latency. `in_calls` is the part of its time in which the target
    /// waited for calls of its own. Only the rest counts as latency of the target: fewer requests here would not help
    /// against a slow downstream service.
    pub fn end(&mut self, started: Instant, in_calls: Duration, end: ExchangeEnd, now: Instant) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let total = now.saturating_duration_since(started);
        let own = total.saturating_sub(in_calls);
        // An unfinished exchange is no evidence about the target when the target mostly waited for its own calls.
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
            // A caller that disconnects after more than the short-term latency shows that latency is at least that
            // long.
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

    /// Replaces the adaptive limit with the number of slots of the target; `None` returns to the adaptive limit. Meant
    /// for targets that announce exact slots and are called by this node only: their latency includes the time in which
    /// they wait for their own calls, which does not reflect their free capacity.
    pub fn set_exact(&mut self, slots: Option<u32>) {
        self.exact = slots.map(|slots| slots.max(1));
    }

    /// Caps the limit at the number of slots that the target announced. Zero or `None` removes the cap.
    ///
    /// Once latency has been measured, the cap cannot lower the limit below half of the adaptive limit.
    pub fn hint_slots(&mut self, slots: Option<u32>) {
        self.slots = slots.filter(|&slots| slots > 0);
        if let Some(slots) = self.slots
            && self.short.is_none()
        {
            self.limit = self.limit.min(f64::from(slots)).max(1.0);
        }
    }

    /// Records the utilisation that the target reported, 1.0 for fully used. A fully used target slows the growth of
    /// the limit for two seconds. A report never raises the limit.
    pub fn hint_utilisation(&mut self, utilisation: f64, now: Instant) {
        if utilisation >= 1.0 {
            self.full_until = Some(now + REPORT_TTL);
        }
    }

    /// Sets the upper bound of the limit, when the target announces another connection limit.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.max_limit = f64::from(max_limit.max(1));
        self.limit = self.limit.min(self.max_limit);
    }

    /// Shortest total time of a request in the last measured window, calls of the target included. Zero when that
    /// window is older than a second, so that requests are admitted and latency is measured again.
    #[must_use]
    pub fn expected_latency(&self, now: Instant) -> Duration {
        self.fastest
            .filter(|(_, at)| now.saturating_duration_since(*at) < Duration::from_secs(1))
            .map_or(Duration::ZERO, |(latency, _)| latency)
    }

    /// Short-term latency, excluding the calls of the target. Zero before the first measurement.
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
            self.update_latency(window, now);
        }
        let total = f64::from(window.samples + window.sheds);
        if f64::from(window.sheds) >= (SHED_SHARE * total).max(2.0) {
            self.fall_to_shed_level(window, now);
            return;
        }
        if f64::from(window.timeouts) >= TIMEOUT_SHARE * total && window.timeouts > 0 {
            self.reduce_to(self.effective() * MAX_FALL);
            return;
        }
        self.recheck(now);
        let (Some(short), Some(baseline)) = (self.short, self.baseline) else {
            return;
        };
        let ratio = short / baseline;
        if ratio > LATENCY_TOLERANCE {
            self.fall(short, ratio, now);
        } else {
            self.reduction = None;
            self.grow(ratio, window, now);
        }
    }

    /// Updates the short-term latency and the long-term minimum from a window with samples.
    fn update_latency(&mut self, window: &WindowSummary, now: Instant) {
        if window.fastest.is_finite() {
            self.fastest = Some((Duration::from_secs_f64(window.fastest), now));
        }
        let samples = f64::from(window.samples);
        let short = self.short.unwrap_or(window.latency);
        self.short = if window.latency < SHORT_RESET_RATIO * short {
            Some(window.latency)
        } else {
            Some(short + (window.latency - short) * samples / (samples + SHORT_SAMPLES))
        };
        self.sample_count += samples;
        self.long += (window.latency - self.long) * samples
            / (samples + LONG_SAMPLES).min(self.sample_count);
        if self.sample_count >= MIN_BASELINE_SAMPLES {
            self.baseline = Some(
                self.baseline
                    .map_or(self.long, |known| known.min(self.long)),
            );
        }
    }

    fn fall_to_shed_level(&mut self, window: &WindowSummary, now: Instant) {
        let effective = self.effective();
        let level = f64::from(window.lowest_shed.saturating_sub(1));
        self.reduce_to(level.min(effective).max(effective * MAX_FALL));
        self.shed_at = Some((self.limit, now));
    }

    fn reduce_to(&mut self, limit: f64) {
        self.good_limit = self.good_limit.max(self.limit);
        self.limit = limit.max(1.0);
        self.reduction = None;
    }

    /// Reduces the limit in steps and evaluates after each step whether latency falls with it.
    fn fall(&mut self, short: f64, ratio: f64, now: Instant) {
        let effective = self.effective();
        let settle = Duration::from_secs_f64(SETTLE_LATENCIES * short).min(MAX_SETTLE_TIME);
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
        if reduction.after.samples < EVALUATION_SAMPLES
            && now < reduction.settled + MAX_EVALUATION_TIME
        {
            return;
        }
        if reduction.first.is_none() && short > MAX_SETTLING_RISE * reduction.latency {
            // Latency is still rising, which would hide the effect of a step.
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
        self.limit = (effective * (LATENCY_TOLERANCE / ratio).max(MAX_FALL)).max(1.0);
    }

    /// Restores `limit` and makes `latency` the new minimum, because fewer concurrent requests did not make the target
    /// faster.
    fn accept_latency(&mut self, limit: f64, latency: f64, now: Instant) {
        if let Some(baseline) = self.baseline {
            let accepted = self.accepted.get_or_insert(AcceptedLatency {
                baseline,
                recheck_at: now,
                interval: FIRST_RECHECK_INTERVAL,
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

    /// Restores the earlier minimum when an accepted latency is due for another evaluation.
    fn recheck(&mut self, now: Instant) {
        let (Some(accepted), Some(baseline)) = (&mut self.accepted, &mut self.baseline) else {
            return;
        };
        if *baseline <= accepted.baseline {
            self.accepted = None;
            return;
        }
        if now >= accepted.recheck_at {
            accepted.interval = (accepted.interval * 2).min(MAX_RECHECK_INTERVAL);
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
            self.limit >= 0.9 * level && now.saturating_duration_since(at) < SLOW_GROWTH_TIME
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
        // The slot cap also bounds growth, so that a reduction takes effect from the cap at once.
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
    /// The limit before the last step, or else before the first one, if latency did not fall after it.
    fn limit_to_restore(&self) -> Option<f64> {
        [&self.previous, &self.first]
            .into_iter()
            .flatten()
            .find(|(_, before)| before.is_not_improved_by(&self.after))
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

    /// Whether latency in `after`, with fewer requests in flight, has not improved on this measurement.
    fn is_not_improved_by(&self, after: &Self) -> bool {
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
            EVALUATION_STANDARD_ERRORS
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
