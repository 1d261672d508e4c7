//! Callers with seeded Poisson arrivals that retry failed requests.

use {
    super::{ExperimentPlan, RequestRecord},
    bytes::Bytes,
    http::{Request, header},
    http_body_util::{BodyExt, Empty},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jujubeline_core::{Class, header_names},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::Semaphore,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Upper bound on requests in flight. An arrival beyond it fails at once, as it would with a client-side limit.
const MAX_IN_FLIGHT: usize = 8_192;

/// Share of each class in the demand, in percent, highest class first.
const CLASS_SHARES_PERCENT: [u32; 4] = [10, 20, 40, 30];

/// Pause of a caller before it retries a failed request.
const RESEND_PAUSE: Duration = Duration::from_millis(10);

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// The callers of an experiment: an open-loop generator, whose arrivals do not wait for earlier answers.
#[derive(Debug, Clone)]
pub struct Callers {
    plan: ExperimentPlan,
    addresses: Arc<Vec<SocketAddr>>,
    http: HttpClient,
}

impl Callers {
    /// Creates callers that send to `addresses` in turn.
    #[must_use]
    pub fn new(plan: ExperimentPlan, addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            plan,
            addresses: Arc::new(addresses),
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends requests from `start` to the end of the plan, waits until all have ended and returns a record of each
    /// arrival, including those that were never sent.
    pub async fn run(self, start: Instant) -> Vec<RequestRecord> {
        let mut random = StdRng::seed_from_u64(self.plan.seed);
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        let mut requests = JoinSet::new();
        let mut records = Vec::new();
        let mut due = Duration::ZERO;
        for id in 0_u64.. {
            due += self.interarrival_time(due, &mut random);
            if due >= self.plan.phases.end() {
                break;
            }
            wait_until(start + due).await;
            while let Some(Ok(record)) = requests.try_join_next() {
                records.push(record);
            }
            let class = class_of(random.random_range(0..100));
            let Ok(permit) = in_flight.clone().try_acquire_owned() else {
                records.push(RequestRecord {
                    class,
                    sent_at: due,
                    answered_at: None,
                    sends: 0,
                });
                continue;
            };
            let callers = self.clone();
            requests.spawn(async move {
                let record = callers.request(start, due, id, class).await;
                drop(permit);
                record
            });
        }
        while let Some(result) = requests.join_next().await {
            records.extend(result);
        }
        records
    }

    /// Time from one arrival, at offset `at`, to the next: exponentially distributed with the demand of the phase.
    fn interarrival_time(&self, at: Duration, random: &mut StdRng) -> Duration {
        let phases = &self.plan.phases;
        let in_trigger = (phases.trigger_start()..phases.trigger_end()).contains(&at);
        let factor = if in_trigger {
            self.plan.trigger.demand_factor()
        } else {
            1.0
        };
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / (self.plan.base_rate_per_s() * factor))
    }

    /// Sends a request and retries it until it succeeds, its deadline passes or its retries are used up.
    async fn request(
        &self,
        start: Instant,
        sent_at: Duration,
        id: u64,
        class: Class,
    ) -> RequestRecord {
        let deadline = start + sent_at + self.plan.deadline();
        let mut sends = 0;
        let mut answered_at = None;
        while sends <= self.plan.trigger.caller_retries() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            sends += 1;
            let turn = usize::try_from(id).unwrap_or(0) + sends as usize;
            let address = self.addresses[turn % self.addresses.len()];
            if let Ok(true) = timeout(left, self.send(address, id, class, left)).await {
                answered_at = Some(start.elapsed());
                break;
            }
            sleep(RESEND_PAUSE).await;
        }
        RequestRecord {
            class,
            sent_at,
            answered_at,
            sends,
        }
    }

    /// Sends a request once. Returns whether a complete answer with a success status arrived.
    async fn send(&self, address: SocketAddr, id: u64, class: Class, left: Duration) -> bool {
        let request = Request::get(format!("http://{address}/{class}/s00/{id}"))
            .header(header::ACCEPT, "*/*")
            .header(header_names::DEADLINE_MS, left.as_millis().to_string())
            .body(Empty::new());
        let Ok(request) = request else { return false };
        let Ok(response) = self.http.request(request).await else {
            return false;
        };
        let is_success = response.status().is_success();
        response.into_body().collect().await.is_ok() && is_success
    }
}

/// Sleeps until an arrival is due. If it is already due, yields to the scheduler at most and does not sleep: a timer
/// takes 1 ms even when its time has passed, which limited the demand to about 900 requests a second.
async fn wait_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if left.is_zero() {
        tokio::task::consume_budget().await;
    } else {
        sleep(left).await;
    }
}

/// Class for a uniformly distributed number from 0 to 99.
fn class_of(percent: u32) -> Class {
    let mut upper = 0;
    for (class, share) in Class::ALL.into_iter().zip(CLASS_SHARES_PERCENT) {
        upper += share;
        if percent < upper {
            return class;
        }
    }
    Class::Low
}
