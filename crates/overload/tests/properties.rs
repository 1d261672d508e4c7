//! Property-based tests of retries, the class queue, the router and the quarantine.

use {
    jujubeline_core::{Class, Fingerprint, NodeId, Outcome, RetryReason},
    jujubeline_overload::{
        Candidate, CandidateState, ClassQueue, CrashId, EntryLimit, ExchangeEnd, FailedAttempt,
        LoadReport, NodeLocation, Quarantine, QuarantineReport, RetryAllowance, RetryBudget,
        RetryGrant, RetryLedger, Router, SuspectDecision, decide_retry,
    },
    quickcheck::{Arbitrary, Gen, quickcheck},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// How the response to one attempt is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Arrives,
    Lost,
    Late,
    Duplicated,
}

/// A call and the calls that it makes. For each successive attempt: whether it fails, and how its response is
/// delivered.
#[derive(Debug, Clone)]
struct Call {
    deliveries: Vec<(bool, Delivery)>,
    calls: Vec<Call>,
}

impl Call {
    fn random(g: &mut Gen, depth: usize) -> Self {
        let deliveries = [
            Delivery::Arrives,
            Delivery::Lost,
            Delivery::Late,
            Delivery::Duplicated,
        ];
        let width = if depth == 0 {
            0
        } else {
            usize::arbitrary(g) % 4
        };
        Self {
            deliveries: (0..4)
                .map(|_| {
                    (
                        bool::arbitrary(g),
                        *g.choose(&deliveries).unwrap_or(&Delivery::Lost),
                    )
                })
                .collect(),
            calls: (0..width).map(|_| Self::random(g, depth - 1)).collect(),
        }
    }
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let depth = usize::arbitrary(g) % 6;
        Self::random(g, depth)
    }
}

/// Runs a tree of calls against a real ledger and counts the retries.
struct CallTree {
    ledger: RetryLedger,
    next_hop: u64,
    retries: u32,
    /// Hop and grant of each attempt whose response has not been delivered, by attempt.
    open: HashMap<u64, (u64, RetryGrant)>,
    /// Delayed responses: number of the attempt and unused allowance.
    late: Vec<(u64, u32)>,
    now: Instant,
}

impl CallTree {
    /// Runs a call, with retries, that draws on the allowance of exchange `hop`.
    fn run(&mut self, call: &Call, hop: u64) {
        for &(fails, delivery) in &call.deliveries {
            let grant = self.ledger.grant(hop);
            let granted = grant.count();
            let attempt = self.next_hop;
            self.open.insert(attempt, (hop, grant));
            let unused = self.attempt(call, granted);
            match delivery {
                Delivery::Arrives => self.deliver(attempt, unused),
                Delivery::Lost => {}
                Delivery::Late => self.late.push((attempt, unused)),
                Delivery::Duplicated => {
                    self.deliver(attempt, unused);
                    self.deliver(attempt, unused);
                    self.late.push((attempt, unused));
                }
            }
            if !(fails || delivery == Delivery::Lost || delivery == Delivery::Late)
                || !self.retry(hop)
            {
                return;
            }
            self.retries += 1;
        }
    }

    /// Runs one attempt with all calls that it makes, and returns its unused allowance.
    fn attempt(&mut self, call: &Call, granted: u32) -> u32 {
        let hop = self.next_hop;
        self.next_hop += 1;
        self.ledger.open(hop, RetryAllowance::new(granted));
        for inner in &call.calls {
            self.run(inner, hop);
        }
        if self.next_hop.is_multiple_of(2) {
            for (attempt, unused) in std::mem::take(&mut self.late) {
                self.deliver(attempt, unused);
            }
        }
        self.ledger.close(hop)
    }

    /// Delivers a response, which settles the grant of its attempt. A duplicate response has no effect.
    fn deliver(&mut self, attempt: u64, unused: u32) {
        if let Some((hop, grant)) = self.open.remove(&attempt) {
            self.ledger.settle(hop, grant, Some(unused));
        }
    }

    fn retry(&mut self, hop: u64) -> bool {
        let attempt = FailedAttempt {
            reached_target: true,
            reason: RetryReason::AnswerLost,
            outcome: Outcome::Unknown,
            idempotent: true,
            deadline: self.now + Duration::from_secs(1),
            expected: Duration::from_millis(10),
        };
        self.ledger.allowance_mut(hop).is_some_and(|allowance| {
            let budget = &mut RetryBudget::new(self.now);
            decide_retry(&attempt, allowance, budget, self.now).is_ok()
        })
    }
}

quickcheck! {
    /// Guards against retry amplification along a call chain.
    fn retries_stay_within_the_bound_of_the_root(call: Call, bound: u32) -> bool {
        let bound = bound % 8;
        let mut tree = CallTree {
            ledger: RetryLedger::new(),
            next_hop: 1,
            retries: 0,
            open: HashMap::new(),
            late: Vec::new(),
            now: Instant::now(),
        };
        tree.ledger.open(0, RetryAllowance::new(bound));
        tree.run(&call, 0);
        tree.retries <= bound
    }

    /// Guards against more retries than the budget earns from first attempts and time, in any order of arrivals and
    /// failures.
    fn retries_stay_within_the_budget(steps: Vec<(bool, u8)>) -> bool {
        let mut now = Instant::now();
        let start = now;
        let mut budget = RetryBudget::new(now);
        let (mut first, mut retries) = (0_u32, 0_u32);
        for (arrives, pause_ms) in steps {
            now += Duration::from_millis(u64::from(pause_ms));
            if arrives {
                first += 1;
                budget.record_arrival(u64::from(first), now);
            } else {
                retries += u32::from(budget.withdraw(now));
            }
        }
        let earned = 0.1 * f64::from(first) + 0.5 * (now - start).as_secs_f64();
        f64::from(retries) <= 10.0 + earned + 1e-6
    }

    /// Guards against starvation of a class while requests of higher classes are always queued.
    fn no_class_starves(seed: u64, step_us: u16) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut queue = ClassQueue::new(now);
        let entry = EntryLimit::new().slot(&"schedules-read".into(), 80).expect("an empty table has room");
        let deadline = now + Duration::from_hours(1);
        let mut last_grant = [0_u32; 4];
        for grant in 0..4_000_u32 {
            for class in Class::ALL {
                while queue.oldest_wait(class, now) == Duration::ZERO || rng.random_bool(0.1) {
                    if queue.push(class, entry, deadline, now).is_err() {
                        break;
                    }
                    now += Duration::from_micros(1);
                }
            }
            now += Duration::from_micros(u64::from(step_us));
            let Some(request) = queue.pop(|_| true, now) else {
                return false;
            };
            last_grant[request.ticket.class().rank()] = grant;
            // The bound assumes that the three lower classes share at least one grant in 128.
            if last_grant.iter().any(|&last| grant - last > 3 * 128) {
                return false;
            }
        }
        true
    }

    /// Guards against an entry node without usable targets because of failures or load reports.
    fn router_keeps_half_of_its_subset(seed: u64, size: u8, steps: u16) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut router = router(usize::from(size % 40) + 1, now);
        let names: Vec<NodeId> = router.target_statuses(now).into_iter().map(|status| status.node).collect();
        for _ in 0..steps % 2_000 {
            now += Duration::from_millis(rng.random_range(0..50));
            let Some(pick) = router.pick(|_| true, now, &mut rng) else {
                return false;
            };
            let end = match rng.random_range(0..6) {
                0 => ExchangeEnd::Completed,
                1 => ExchangeEnd::Shed,
                2 => ExchangeEnd::TimedOut,
                3 => ExchangeEnd::Refused,
                _ => ExchangeEnd::Failed,
            };
            router.finish(pick, end, now + Duration::from_millis(rng.random_range(0..100)));
            let utilisation = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1.0, 1e300][rng.random_range(0..6)];
            let name = &names[rng.random_range(0..names.len())];
            router.record_load(name, LoadReport { utilisation, completion: None }, now);
            let ejected = router.target_statuses(now).iter().filter(|status| status.ejected).count();
            if ejected * 2 > names.len() {
                return false;
            }
        }
        true
    }

    /// Guards against the quarantine of a harmless request that was in flight beside one that crashes targets.
    fn requests_beside_a_crashing_request_are_not_quarantined(seed: u64, harmless: u8, rounds: u8) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let nodes: Vec<NodeId> = (0..5).map(|n| format!("a{n}").into()).collect();
        let mut tables: Vec<Quarantine> = nodes.iter().map(|_| Quarantine::new()).collect();
        let harmless: HashSet<Fingerprint> = (1..=u64::from(harmless % 8)).collect();
        const POISON: Fingerprint = 0;
        for round in 0..u64::from(rounds % 8) {
            let crashing = rng.random_range(0..nodes.len());
            let poison_runs = tables[crashing].begin(POISON, &nodes[crashing], now) == SuspectDecision::Run;
            if poison_runs == (round >= 3) {
                return false;
            }
            let beside: Vec<_> = harmless.iter().copied().filter(|_| rng.random()).collect();
            for &fingerprint in &beside {
                tables[crashing].begin(fingerprint, &nodes[crashing], now);
            }
            let crash = CrashId { node: nodes[crashing].clone(), incarnation: 1, number: round + 1 };
            tables[crashing].record_crash(crash, &[], now);
            // The harmless requests are sent again and complete, before or after the crash report arrives.
            let mut reports: Vec<QuarantineReport> = Vec::new();
            let early: bool = rng.random();
            if !early {
                exchange_reports(&mut tables, &mut reports, &mut rng, now);
            }
            for &fingerprint in &beside {
                let other = (crashing + rng.random_range(1..nodes.len())) % nodes.len();
                if tables[other].begin(fingerprint, &nodes[other], now) != SuspectDecision::Run {
                    return false;
                }
                tables[other].end(fingerprint, &nodes[other], true, now);
            }
            // Twice, because a crash report that arrives after a completion produces a clear report.
            exchange_reports(&mut tables, &mut reports, &mut rng, now);
            exchange_reports(&mut tables, &mut reports, &mut rng, now);
            if tables.iter().any(|table| harmless.iter().any(|&f| table.is_suspect(f, now))) {
                return false;
            }
        }
        true
    }
}

/// Merges all new reports and a random part of the earlier ones into all tables, in random order.
fn exchange_reports(
    tables: &mut [Quarantine],
    earlier: &mut Vec<QuarantineReport>,
    rng: &mut StdRng,
    now: Instant,
) {
    let mut reports: Vec<_> = tables
        .iter_mut()
        .flat_map(Quarantine::take_reports)
        .collect();
    reports.extend(earlier.iter().filter(|_| rng.random()).cloned());
    for table in tables {
        for _ in 0..reports.len() {
            let (left, right) = (
                rng.random_range(0..reports.len()),
                rng.random_range(0..reports.len()),
            );
            reports.swap(left, right);
        }
        for report in &reports {
            table.merge(report, now);
        }
    }
    earlier.append(&mut reports);
}

fn router(size: usize, now: Instant) -> Router {
    let location = NodeLocation {
        node: "entry".into(),
        data_centre: "dc0".into(),
        region: "jm-south".into(),
    };
    let mut router = Router::new(location, Router::DEFAULT_SUBSET, now);
    let candidates: Vec<Candidate> = (0..size)
        .map(|n| Candidate {
            node: format!("target{n}").into(),
            incarnation: 1,
            data_centre: format!("dc{}", n % 3).into(),
            region: "jm-south".into(),
            state: CandidateState::Ready,
            slots: 80,
        })
        .collect();
    router.update(&candidates, now);
    router
}
