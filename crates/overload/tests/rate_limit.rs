//! Admission to a target that states a limit on the rate of requests.

use {
    jujubeline_core::{Class, RefusalReason, StatedRate, cases},
    jujubeline_overload::{AdmissionRequest, Admitted, ExchangeEnd, GateAdmission, Permit, Ticket},
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(90);
/// Window, factor and allowance within which a target must get no more than its limit.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_ALLOWANCE: f64 = 5.0;

/// A gate that gets requests at constant rates, and its target, which answers each after 90 ms.
struct Model {
    gate: GateAdmission,
    now: Instant,
    running: VecDeque<(Instant, Instant, Permit)>,
    waiting: HashMap<Ticket, Class>,
    owed: HashMap<Class, f64>,
    roots: u128,
    starts: Vec<(Instant, Class)>,
    refused: HashMap<RefusalReason, u32>,
}

impl Model {
    fn new() -> Self {
        let now = Instant::now();
        let mut gate = GateAdmission::new(560, now);
        gate.set_exact_slots(Some(90));
        Self {
            gate,
            now,
            running: VecDeque::new(),
            waiting: HashMap::new(),
            owed: HashMap::new(),
            roots: 0,
            starts: Vec::new(),
            refused: HashMap::new(),
        }
    }

    /// Offers each class at its rate in requests per second, while the target states `stated`.
    fn run(&mut self, time: Duration, demand: &[(Class, f64)], stated: StatedRate) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            while self
                .running
                .front()
                .is_some_and(|first| first.0 <= self.now)
            {
                let (_, sent, permit) = self.running.pop_front().unwrap();
                self.gate.observe_rate(stated, sent, self.now);
                self.gate.end(permit, ExchangeEnd::Completed, self.now);
                self.decide();
            }
            for &(class, per_s) in demand {
                let owed = self.owed.entry(class).or_default();
                *owed += per_s * STEP.as_secs_f64();
                while *self.owed.get(&class).unwrap() >= 1.0 {
                    *self.owed.get_mut(&class).unwrap() -= 1.0;
                    self.offer(class);
                }
            }
            self.decide();
        }
    }

    fn offer(&mut self, class: Class) {
        self.roots += 0x9e37_79b9_7f4a_7c15;
        let request = AdmissionRequest {
            workspace: None,
            is_call: false,
            has_alternative: false,
            class,
            root: self.roots,
            entry: class.label().into(),
            entry_concurrency: 80,
            deadline: self.now + Duration::from_secs(5),
        };
        match self.gate.offer(&request, self.now) {
            Ok(Admitted::Run(permit)) => self.start(class, permit),
            Ok(Admitted::Wait(ticket)) => {
                self.waiting.insert(ticket, class);
            }
            Err(reason) => *self.refused.entry(reason).or_default() += 1,
        }
    }

    fn decide(&mut self) {
        for decision in self.gate.decide(self.now) {
            let class = self.waiting.remove(&decision.ticket).unwrap();
            match decision.result {
                Ok(permit) => self.start(class, permit),
                Err(reason) => *self.refused.entry(reason).or_default() += 1,
            }
        }
    }

    fn start(&mut self, class: Class, permit: Permit) {
        self.starts.push((self.now, class));
        self.running.push_back((self.now + WORK, self.now, permit));
    }

    fn started_since(&self, from: Instant, class: Option<Class>) -> usize {
        let starts = self.starts.iter();
        starts
            .filter(|(at, started)| *at > from && class.is_none_or(|class| class == *started))
            .count()
    }

    /// Most requests that the target got in one window that begins at `from` or later.
    fn busiest_window(&self, from: Instant) -> usize {
        let starts: Vec<_> = self.starts.iter().map(|start| start.0).collect();
        let begins = starts.iter().enumerate().filter(|(_, at)| **at >= from);
        begins
            .map(|(first, at)| starts[first..].partition_point(|later| *later < *at + WINDOW))
            .max()
            .unwrap_or(0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn as_rate(count: usize, time: Duration) -> f64 {
    count as f64 / time.as_secs_f64()
}

cases! {
    /// Guards against a target that gets more requests than the limit that it states, or far fewer although there is
    /// demand for more.
    fn target_gets_what_it_states(limit_per_s: f64, demand_per_s: f64) {
        let mut model = Model::new();
        let stated = StatedRate::PerSecond(limit_per_s);
        model.run(Duration::from_secs(2), &[(Class::Normal, demand_per_s)], StatedRate::Unlimited);
        model.run(Duration::from_secs(1), &[(Class::Normal, demand_per_s)], stated);
        let from = model.now;
        let time = Duration::from_secs(20);
        model.run(time, &[(Class::Normal, demand_per_s)], stated);
        #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
        let busiest = model.busiest_window(from) as f64;
        let allowed = limit_per_s * WINDOW.as_secs_f64() * WINDOW_FACTOR + WINDOW_ALLOWANCE;
        assert!(busiest <= allowed, "{busiest} in 4 s, {allowed} allowed");
        let rate = as_rate(model.started_since(from, None), time);
        let expected = limit_per_s.min(demand_per_s) * 0.85 - 0.1;
        assert!(rate >= expected, "{rate} of {limit_per_s} per second");
    }
    half_of_the_demand: (21.4, 42.0),
    a_tenth_of_the_demand: (21.4, 214.0),
    close_to_the_demand: (42.0, 44.0),
    above_the_demand: (60.0, 42.0),
    fast_target: (133.0, 266.0),
    slow_target: (2.0, 40.0),
    one_request_in_two_seconds: (0.5, 40.0),
    nothing_at_all: (0.0, 40.0),
}

/// Guards against a limited target that runs lower classes while critical requests are refused.
#[test]
fn limited_target_serves_critical_requests_first() {
    let mut model = Model::new();
    let demand = [(Class::Critical, 15.0), (Class::Low, 60.0)];
    let stated = StatedRate::PerSecond(20.0);
    model.run(Duration::from_secs(3), &demand, stated);
    let from = model.now;
    let time = Duration::from_secs(20);
    model.run(time, &demand, stated);
    let critical = as_rate(model.started_since(from, Some(Class::Critical)), time);
    let low = as_rate(model.started_since(from, Some(Class::Low)), time);
    assert!(
        critical >= 14.5,
        "{critical} of 15 critical requests per second"
    );
    assert!(
        low >= 3.0,
        "{low} of the 5 requests per second that are left"
    );
}

cases! {
    /// Guards against a request that waits for the limit of one target while another may have room, and against one that
    /// is refused although only this target is left.
    fn only_the_last_target_lets_a_request_wait(has_alternative: bool, waits: bool) {
        let now = Instant::now();
        let mut gate = GateAdmission::new(560, now);
        gate.set_exact_slots(Some(90));
        gate.observe_rate(StatedRate::PerSecond(20.0), now, now);
        let request = AdmissionRequest {
            workspace: None,
            is_call: true,
            has_alternative,
            class: Class::Normal,
            root: 1,
            entry: "any".into(),
            entry_concurrency: 80,
            deadline: now + Duration::from_secs(5),
        };
        let first = gate.offer(&request, now);
        assert!(matches!(first, Ok(Admitted::Run(_))), "a token is left");
        match gate.offer(&request, now) {
            Ok(Admitted::Wait(_)) => assert!(waits),
            Err(reason) => assert_eq!((reason, waits), (RefusalReason::TargetRateLimit, false)),
            Ok(Admitted::Run(_)) => panic!("no token is left"),
        }
    }
    with_an_alternative: (true, false),
    at_the_last_target: (false, true),
}

/// Guards against a limit that outlasts the responses that state it.
#[test]
fn limit_ends_with_the_statement() {
    let mut model = Model::new();
    let demand = [(Class::Normal, 60.0)];
    model.run(Duration::from_secs(5), &demand, StatedRate::PerSecond(10.0));
    model.run(Duration::from_secs(3), &demand, StatedRate::Unlimited);
    let from = model.now;
    model.run(Duration::from_secs(5), &demand, StatedRate::Unlimited);
    let rate = as_rate(model.started_since(from, None), Duration::from_secs(5));
    assert!(rate >= 57.0, "{rate} of 60 per second");
}

/// Guards against a late response of a time without a limit that lifts the present limit.
#[test]
fn late_response_does_not_lift_the_limit() {
    let now = Instant::now();
    let mut gate = GateAdmission::new(560, now);
    let at = |ms| now + Duration::from_millis(ms);
    gate.observe_rate(StatedRate::PerSecond(10.0), at(0), at(90));
    assert_eq!(
        gate.observe_rate(StatedRate::Unlimited, at(50), at(140)),
        None
    );
    assert_eq!(
        gate.observe_rate(StatedRate::Unreadable, at(100), at(190)),
        None
    );
    assert_eq!(gate.rate_limit(), Some(10.0));
    assert!(
        gate.observe_rate(StatedRate::Unlimited, at(100), at(190))
            .is_some()
    );
    assert_eq!(gate.rate_limit(), None);
}

/// Guards against a timer that runs without a pause while the level waits for completions.
#[test]
fn postponed_adjustment_is_due_later() {
    let now = Instant::now();
    let mut gate = GateAdmission::new(560, now);
    gate.set_exact_slots(Some(90));
    gate.observe_rate(StatedRate::PerSecond(0.0), now, now);
    let request = AdmissionRequest {
        workspace: None,
        is_call: false,
        has_alternative: true,
        class: Class::Normal,
        root: 1,
        entry: "any".into(),
        entry_concurrency: 80,
        deadline: now + Duration::from_secs(5),
    };
    for ms in (0..2_000).step_by(10) {
        let at = now + Duration::from_millis(ms);
        let _ = gate.offer(&request, at);
        gate.decide(at);
        assert!(
            gate.next_wake() > at,
            "a decision is due at {ms} ms, where one was made"
        );
    }
}
