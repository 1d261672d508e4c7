//! Cost of one routing decision and of one admission decision.
//!
//! A routing decision checks the admission levels, selects a target and records its response. An admission decision
//! offers a request to the gate, decides about queued requests and records the end of a request.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    jujubeline_core::{Class, EntryName},
    jujubeline_overload::{
        AdmissionRequest, Admitted, Candidate, CandidateState, ExchangeEnd, GateAdmission, Level,
        LoadReport, NodeLocation, Permit, Router,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::VecDeque,
        hint::black_box,
        time::{Duration, Instant},
    },
};

const SERVICES: [usize; 3] = [10, 100, 690];
const TARGETS: [usize; 3] = [3, 20, 200];

/// Routers of all services of one entry node, with levels that refuse the lowest class.
fn routers(services: usize, targets: usize, now: Instant) -> Vec<Router> {
    (0..services)
        .map(|service| {
            let location = NodeLocation {
                node: "entry".into(),
                data_centre: "dc0".into(),
                region: "jm-south".into(),
            };
            let candidates: Vec<Candidate> = (0..targets)
                .map(|target| Candidate {
                    node: format!("service{service}-{target}").into(),
                    incarnation: 1,
                    data_centre: format!("dc{}", target % 3).into(),
                    region: "jm-south".into(),
                    state: CandidateState::Ready,
                    slots: 80,
                })
                .collect();
            let mut router = Router::new(location, targets, now);
            router.update(&candidates, now);
            for candidate in &candidates {
                router.record_level(&candidate.node, Level::new(384), now);
            }
            router
        })
        .collect()
}

fn route(router: &mut Router, class: Class, now: Instant, rng: &mut StdRng) {
    let root = rng.random();
    let Some(pick) = router.pick_admitting(class, root, |_| true, now, rng) else {
        return;
    };
    let node = pick.node().clone();
    router.record_level(&node, Level::new(384), now);
    router.record_load(
        &node,
        LoadReport {
            utilisation: 0.5,
            completion: None,
        },
        now,
    );
    router.finish(pick, ExchangeEnd::Completed, now + Duration::from_millis(5));
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing");
    for services in SERVICES {
        for targets in TARGETS {
            let start = Instant::now();
            let mut rng = StdRng::seed_from_u64(1);
            let mut routers = routers(services, targets, start);
            let mut now = start;
            // Half of the requests are of a class that the levels refuse, so that the whole scan is needed for them.
            let id = BenchmarkId::new(format!("{services} services"), format!("{targets} targets"));
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    now += Duration::from_micros(1);
                    let index = rng.random_range(0..routers.len());
                    let class = if rng.random() {
                        Class::Normal
                    } else {
                        Class::Low
                    };
                    route(black_box(&mut routers[index]), class, now, &mut rng);
                });
            });
        }
    }
    group.finish();
}

/// A gate whose target runs at its concurrency limit, with or without a queue.
struct Gate {
    admission: GateAdmission,
    entries: Vec<EntryName>,
    running: VecDeque<Permit>,
    now: Instant,
    rng: StdRng,
}

impl Gate {
    fn new(entries: usize) -> Self {
        let now = Instant::now();
        Self {
            admission: GateAdmission::new(560, now),
            entries: (0..entries).map(|n| format!("entry{n}").into()).collect(),
            running: VecDeque::new(),
            now,
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn arrive(&mut self) {
        let request = AdmissionRequest {
            workspace: None,
            is_call: false,
            has_alternative: false,
            class: Class::ALL[self.rng.random_range(0..4)],
            root: self.rng.random(),
            entry: self.entries[self.rng.random_range(0..self.entries.len())].clone(),
            entry_concurrency: 560,
            deadline: self.now + Duration::from_secs(2),
        };
        match self.admission.offer(black_box(&request), self.now) {
            Ok(Admitted::Run(permit)) => self.running.push_back(permit),
            Ok(Admitted::Wait(_)) => self.decide(),
            Err(_) => {}
        }
    }

    fn decide(&mut self) {
        for decision in self.admission.decide(self.now) {
            self.running.extend(decision.result);
        }
    }

    fn end(&mut self) {
        if let Some(permit) = self.running.pop_front() {
            self.admission.end(permit, ExchangeEnd::Completed, self.now);
            self.decide();
        }
    }
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for entries in SERVICES {
        // One completion for each arrival or for five arrivals, at 4,000 completions per second.
        for demand in [1_u32, 5] {
            let mut gate = Gate::new(entries);
            let mut arrivals = 0;
            let id = BenchmarkId::new(format!("{entries} entries"), format!("demand x{demand}"));
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    gate.now += Duration::from_micros(250) / demand;
                    gate.arrive();
                    arrivals += 1;
                    if arrivals % demand == 0 {
                        gate.end();
                    }
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, routing, admission);
criterion_main!(benches);
