//! Callers of a soak run, which retry each request under the same idempotency key through randomly chosen nodes.

use {
    crate::load::{Call, Connection},
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method},
    jujubeline_core::{Outcome, header_names},
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
    uuid::Uuid,
};

/// Timeout of one exchange, including the time to connect.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Upper bound on the number of times that a caller sends a key, including the first.
const MAX_SENDS: usize = 4;

/// Pause before a key is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two keys of a caller.
const KEY_PAUSE: Duration = Duration::from_millis(15);

/// Result of one exchange as the caller received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeResult {
    /// A complete answer with a success status.
    Success,
    /// A refusal that states an outcome.
    Refused(Outcome),
    /// No complete answer within the timeout, or a refusal without a known outcome.
    NoOutcome,
}

/// One idempotency key with the results of all of its exchanges.
#[derive(Debug, Clone)]
pub(super) struct KeyRecord {
    pub(super) key: String,
    /// Result of each exchange, in order.
    pub(super) received: Vec<ExchangeResult>,
    /// Whether all successful answers name the same execution.
    pub(super) same_answer: bool,
    /// Reasons of the refusals that gave one, in order.
    pub(super) reasons: Vec<String>,
    /// Time from the first send to the first successful answer.
    pub(super) answered_after: Option<Duration>,
}

/// A caller that sends one key after another to randomly chosen addresses.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) addresses: Arc<Vec<SocketAddr>>,
    pub(super) seed: u64,
    pub(super) stop: CancellationToken,
}

impl Caller {
    /// Sends keys until `stop` is cancelled and returns a record of each.
    pub(super) async fn run(self) -> Vec<KeyRecord> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut records = Vec::new();
        while !self.stop.is_cancelled() {
            records.push(self.send_key(&mut random).await);
            sleep(KEY_PAUSE).await;
        }
        records
    }

    /// Sends a new key up to [`MAX_SENDS`] times, in most cases until it succeeds.
    async fn send_key(&self, random: &mut StdRng) -> KeyRecord {
        let key = Uuid::now_v7().to_string();
        let mut record = KeyRecord {
            key: key.clone(),
            received: Vec::new(),
            same_answer: true,
            reasons: Vec::new(),
            answered_after: None,
        };
        let mut first_answer: Option<Bytes> = None;
        let start = Instant::now();
        for _ in 0..MAX_SENDS {
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let (received, answer, reason) = send(address, &key).await;
            record.received.push(received);
            record.reasons.extend(reason);
            if received == ExchangeResult::Success {
                record.answered_after.get_or_insert(start.elapsed());
                let first = first_answer.get_or_insert_with(|| answer.clone());
                record.same_answer &= *first == answer;
                // Sends the key again in a third of the cases, to check that a repeated request gets the same answer.
                if random.random_range(0..3) > 0 {
                    break;
                }
            }
            sleep(RESEND_PAUSE).await;
        }
        record
    }
}

/// Sends a key once. Returns the result of the exchange, the execution that a successful answer names (otherwise
/// empty), and the reason of a refusal.
async fn send(address: SocketAddr, key: &str) -> (ExchangeResult, Bytes, Option<String>) {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(key) {
        headers.insert(header_names::IDEMPOTENCY_KEY, value);
    }
    let call = Call {
        method: Method::POST,
        path: format!("/invoices/{key}"),
        headers,
        body: Bytes::from(format!("invoice {key}")),
    };
    let exchange = async { Connection::open(address).await?.call(&call).await };
    let Ok(Ok(reply)) = timeout(ANSWER_TIMEOUT, exchange).await else {
        return (ExchangeResult::NoOutcome, Bytes::new(), None);
    };
    if reply.status.is_success() {
        let execution = reply.headers.get("standin-execution");
        let execution = execution.map(HeaderValue::as_bytes).unwrap_or_default();
        return (
            ExchangeResult::Success,
            Bytes::copy_from_slice(execution),
            None,
        );
    }
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let outcome = problem["outcome"].as_str().and_then(Outcome::from_label);
    let reason = problem["reason"].as_str().map(str::to_owned);
    let received = outcome.map_or(ExchangeResult::NoOutcome, ExchangeResult::Refused);
    (received, Bytes::new(), reason)
}
