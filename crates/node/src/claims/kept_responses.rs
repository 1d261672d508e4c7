//! Store of the first responses of at-most-once work, used to answer repeats.

use {
    bytes::Bytes,
    http::Response,
    jujubeline_coordination::claims::KeyHash,
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum size of all responses that a gate stores, in bytes and with their overhead.
pub const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Time after which a stored response expires.
pub const RETENTION_PERIOD: Duration = Duration::from_mins(10);

/// Bytes counted for each response besides its headers and body: map entry, queue entry and allocations.
const OVERHEAD_BYTES: usize = 256;

/// A complete response, shared with the repeats that it answers.
pub type KeptResponse = Arc<Response<Bytes>>;

/// A bounded store of complete responses; the oldest are evicted first.
#[derive(Debug, Default)]
pub struct KeptResponses {
    by_key: HashMap<KeyHash, (KeptResponse, Instant)>,
    order: VecDeque<KeyHash>,
    bytes: usize,
    dropped: u64,
}

impl KeptResponses {
    /// Stores the first response of a key. Later responses of the key, and responses larger than the store, are not
    /// stored.
    pub fn keep(&mut self, key: KeyHash, response: Response<Bytes>, now: Instant) {
        self.expire(now);
        let bytes = size_of_response(&response);
        if self.by_key.contains_key(&key) {
            return;
        }
        if bytes > MAX_KEPT_BYTES {
            self.dropped += 1;
            return;
        }
        while self.bytes + bytes > MAX_KEPT_BYTES {
            self.drop_oldest();
            self.dropped += 1;
        }
        self.bytes += bytes;
        self.order.push_back(key);
        self.by_key.insert(key, (Arc::new(response), now));
    }

    /// The first response of a key, if it is stored and has not expired.
    #[must_use]
    pub fn get(&self, key: KeyHash, now: Instant) -> Option<KeptResponse> {
        let (response, kept_at) = self.by_key.get(&key)?;
        let is_kept = now.saturating_duration_since(*kept_at) <= RETENTION_PERIOD;
        is_kept.then(|| Arc::clone(response))
    }

    /// Removes the responses that are older than [`RETENTION_PERIOD`].
    pub fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let kept_at = self.by_key.get(oldest).map(|(_, kept_at)| *kept_at);
            let is_kept =
                kept_at.is_some_and(|at| now.saturating_duration_since(at) <= RETENTION_PERIOD);
            if is_kept {
                return;
            }
            self.drop_oldest();
        }
    }

    /// Size of the stored responses in bytes, with their overhead.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of responses that [`MAX_KEPT_BYTES`] rejected or evicted.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else {
            return;
        };
        if let Some((response, _)) = self.by_key.remove(&key) {
            self.bytes -= size_of_response(&response);
        }
    }
}

fn size_of_response(response: &Response<Bytes>) -> usize {
    let headers: usize = response
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    response.body().len() + headers + OVERHEAD_BYTES
}
