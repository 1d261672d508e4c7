//! Discrete-event simulation of one target, its gate, and one entry node with its callers.

use {
    jujubeline_core::{Class, NodeId, RootId},
    jujubeline_overload::{
        AdmissionRequest, Admitted, ExchangeEnd, GateAdmission, ObservedLevels, Permit, Ticket,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
        ops::Range,
        time::{Duration, Instant},
    },
};

/// One-way latency from the entry node to the gate.
const HOP: Duration = Duration::from_millis(1);
/// Entry under which levels are recorded. The target makes no calls, so its level is the same for all entries.
const ENTRY: &str = "all";
/// Largest number of resends of one request by its caller, each 50 to 150 ms after a refusal.
const RESENDS: u32 = 3;
/// Length of the intervals in which goodput is counted.
const SLICE: Duration = Duration::from_millis(100);
/// Slices over which goodput is averaged to detect recovery: half a second.
const RECOVERY_SLICES: usize = 5;

/// How the target handles a request beyond its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excess {
    /// The request waits in an unbounded FIFO queue inside the target.
    Queue,
    /// The target sheds the request with a documented refusal.
    Shed,
    /// The request runs at once, and requests that start while the target is over its capacity take longer. A slowdown
    /// reduces capacity and not the speed of a single request.
    Share,
}

/// What the target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reports {
    /// Nothing.
    None,
    /// Its real slots and utilisation.
    True,
    /// These slots and this utilisation, regardless of the real ones.
    Fixed(u32, f64),
}

/// Demand and service time during one phase of a run.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: u64,
    /// Demand as a multiple of the capacity at the usual service time.
    pub demand: f64,
    /// Factor on the service time.
    pub slowness: f64,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Settings {
    pub seed: u64,
    pub slots: u32,
    pub connections: u32,
    pub service: Duration,
    pub deadline: Duration,
    pub excess: Excess,
    pub reports: Reports,
    /// Whether requests pass through admission control. Otherwise each is sent to the target at once.
    pub admission: bool,
    /// Shares of the classes in the demand.
    pub mix: [f64; 4],
    pub phases: Vec<Phase>,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Results {
    /// Requests completed before their deadline, by slice.
    pub goodput: Vec<u32>,
    /// Requests that arrived, by class.
    pub arrived: [u32; 4],
    /// Requests that were never completed in time, by class.
    pub lost: [u32; 4],
    /// Requests that the target ran.
    pub ran: u32,
    /// Requests that the target ran although the caller had timed out or resent them.
    pub wasted: u32,
    /// Concurrency limit at the end of each slice.
    pub limits: Vec<u32>,
}

impl Results {
    /// Goodput per second in a range of slices.
    pub fn rate(&self, slices: Range<usize>) -> f64 {
        let count = u32::try_from(slices.len()).expect("a run has few slices");
        let sum: u32 = self.goodput[slices].iter().sum();
        f64::from(sum) / (f64::from(count) * SLICE.as_secs_f64())
    }

    /// Time from slice `end` until goodput over half a second is back at 95 % of `before`.
    pub fn recovery(&self, end: usize, before: f64) -> Option<Duration> {
        let last = self.goodput.len() - RECOVERY_SLICES;
        let back = (end..last)
            .position(|first| self.rate(first..first + RECOVERY_SLICES) >= 0.95 * before)?;
        let slices = u32::try_from(back + RECOVERY_SLICES).expect("a run has few slices");
        Some(SLICE * slices)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Send(usize),
    AtGate(usize),
    Served(usize, u32),
    CallerTimeout(usize),
    Wake,
    Slice,
}

struct Request {
    class: Class,
    root: RootId,
    deadline: Instant,
    tries: u32,
    finished: bool,
    permit: Option<Permit>,
    ticket: Option<Ticket>,
}

struct Model {
    settings: Settings,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    waiting: HashMap<Ticket, usize>,
    gate: GateAdmission,
    levels: ObservedLevels,
    target: NodeId,
    running: u32,
    target_queue: VecDeque<usize>,
    results: Results,
}

/// Simulates all phases of the settings in sequence.
pub fn run(settings: &Settings) -> Results {
    let start = Instant::now();
    let mut model = Model {
        settings: settings.clone(),
        rng: StdRng::seed_from_u64(settings.seed),
        start,
        now: start,
        events: BinaryHeap::new(),
        sequence: 0,
        requests: Vec::new(),
        waiting: HashMap::new(),
        gate: GateAdmission::new(settings.connections, start),
        levels: ObservedLevels::new(),
        target: "a1".into(),
        running: 0,
        target_queue: VecDeque::new(),
        results: Results::default(),
    };
    model.results.goodput.push(0);
    model.at(Duration::ZERO, Event::Arrive);
    model.at(Duration::ZERO, Event::Wake);
    model.at(SLICE, Event::Slice);
    let length: u64 = settings.phases.iter().map(|phase| phase.seconds).sum();
    let end = start + Duration::from_secs(length);
    while let Some(Reverse((time, _, event))) = model.events.pop() {
        if time >= end {
            break;
        }
        model.now = time;
        model.handle(event);
    }
    model.results
}

impl Model {
    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn phase(&self) -> Phase {
        let mut elapsed = (self.now - self.start).as_secs();
        for phase in &self.settings.phases {
            if elapsed < phase.seconds {
                return *phase;
            }
            elapsed -= phase.seconds;
        }
        self.settings.phases[self.settings.phases.len() - 1]
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-mean * (1.0 - uniform).ln())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Send(index) => self.send(index),
            Event::AtGate(index) => self.at_gate(index),
            Event::Served(index, attempt) => self.served(index, attempt),
            Event::CallerTimeout(index) => self.caller_timeout(index),
            Event::Wake => {
                self.decide();
                self.at(Duration::from_millis(10), Event::Wake);
            }
            Event::Slice => {
                self.results.goodput.push(0);
                self.results.limits.push(self.gate.limit());
                self.at(SLICE, Event::Slice);
            }
        }
    }

    fn arrive(&mut self) {
        let capacity = f64::from(self.settings.slots) / self.settings.service.as_secs_f64();
        let gap = self.exponential(1.0 / (capacity * self.phase().demand));
        self.at(gap, Event::Arrive);
        let mut share: f64 = self.rng.random();
        let class = Class::ALL
            .into_iter()
            .find(|class| {
                share -= self.settings.mix[class.rank()];
                share < 0.0
            })
            .unwrap_or(Class::Low);
        self.results.arrived[class.rank()] += 1;
        let index = self.requests.len();
        self.requests.push(Request {
            class,
            root: self.rng.random(),
            deadline: self.now + self.settings.deadline,
            tries: 0,
            finished: false,
            permit: None,
            ticket: None,
        });
        self.at(self.settings.deadline, Event::CallerTimeout(index));
        self.send(index);
    }

    /// Sends an attempt to the gate, unless the entry node refuses it by the last known level.
    fn send(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.finished {
            return;
        }
        request.tries += 1;
        let (class, root) = (request.class, request.root);
        if self.settings.admission
            && !self
                .levels
                .admits(&ENTRY.into(), &self.target, class, root, self.now)
        {
            self.refused(index);
            return;
        }
        self.at(HOP, Event::AtGate(index));
    }

    fn at_gate(&mut self, index: usize) {
        if self.requests[index].finished {
            return;
        }
        if !self.settings.admission {
            self.forward(index);
            return;
        }
        let request = &self.requests[index];
        let offered = AdmissionRequest {
            workspace: None,
            is_call: false,
            has_alternative: false,
            class: request.class,
            root: request.root,
            entry: request.class.label().into(),
            entry_concurrency: self.settings.connections,
            deadline: request.deadline,
        };
        match self.gate.offer(&offered, self.now) {
            Ok(Admitted::Run(permit)) => {
                self.requests[index].permit = Some(permit);
                self.forward(index);
            }
            Ok(Admitted::Wait(ticket)) => {
                self.requests[index].ticket = Some(ticket);
                self.waiting.insert(ticket, index);
                self.decide();
            }
            Err(_) => {
                self.record_response_level();
                self.refused(index);
            }
        }
    }

    fn decide(&mut self) {
        for decision in self.gate.decide(self.now) {
            let Some(index) = self.waiting.remove(&decision.ticket) else {
                panic!("a ticket is decided once");
            };
            self.requests[index].ticket = None;
            if let Ok(permit) = decision.result {
                self.requests[index].permit = Some(permit);
                self.forward(index);
            } else {
                self.record_response_level();
                self.refused(index);
            }
        }
    }

    fn forward(&mut self, index: usize) {
        if self.running < self.settings.slots || self.settings.excess == Excess::Share {
            self.serve(index);
        } else if self.settings.excess == Excess::Queue {
            self.target_queue.push_back(index);
        } else {
            self.end(index, ExchangeEnd::Shed);
            self.refused(index);
        }
    }

    fn serve(&mut self, index: usize) {
        self.running += 1;
        let slowness = self.phase().slowness;
        let factor = if self.settings.excess == Excess::Share {
            (f64::from(self.running) * slowness / f64::from(self.settings.slots)).max(1.0)
        } else {
            slowness
        };
        let mean = self.settings.service.as_secs_f64() * factor;
        // Half of the mean is constant and half is exponential. No request takes longer than three times the mean.
        let time = self.exponential(mean / 2.0) + Duration::from_secs_f64(mean / 2.0);
        let time = time.min(Duration::from_secs_f64(3.0 * mean));
        let attempt = self.requests[index].tries;
        self.at(time, Event::Served(index, attempt));
    }

    fn served(&mut self, index: usize, attempt: u32) {
        self.running -= 1;
        self.results.ran += 1;
        if let Some(next) = self.target_queue.pop_front() {
            self.serve(next);
        }
        self.report();
        let request = &mut self.requests[index];
        if request.finished || request.tries != attempt {
            self.results.wasted += 1;
            return;
        }
        request.finished = true;
        if let Some(slice) = self.results.goodput.last_mut() {
            *slice += 1;
        }
        self.record_response_level();
        self.end(index, ExchangeEnd::Completed);
    }

    /// The caller times out. As the worst case, the target keeps running a request that it has received.
    fn caller_timeout(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.finished {
            return;
        }
        request.finished = true;
        self.results.lost[request.class.rank()] += 1;
        if let Some(ticket) = request.ticket.take() {
            self.gate.cancel(ticket);
            self.waiting.remove(&ticket);
        }
        self.end(index, ExchangeEnd::TimedOut);
    }

    fn end(&mut self, index: usize, end: ExchangeEnd) {
        if let Some(permit) = self.requests[index].permit.take() {
            self.gate.end(permit, end, self.now);
            self.decide();
        }
    }

    fn refused(&mut self, index: usize) {
        if self.requests[index].tries <= RESENDS {
            let pause = self.rng.random_range(50..150);
            self.at(Duration::from_millis(pause), Event::Send(index));
        }
    }

    fn record_response_level(&mut self) {
        let level = self.gate.level();
        self.levels
            .record_response_level(&ENTRY.into(), &self.target, level, self.now);
    }

    fn report(&mut self) {
        let (slots, utilisation) = match self.settings.reports {
            Reports::None => return,
            Reports::True => (
                self.settings.slots,
                f64::from(self.running) / f64::from(self.settings.slots),
            ),
            Reports::Fixed(slots, utilisation) => (slots, utilisation),
        };
        self.gate.hint_slots(Some(slots));
        self.gate.hint_utilisation(utilisation, self.now);
    }
}
