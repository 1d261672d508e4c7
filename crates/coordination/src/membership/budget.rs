//! Byte budget of the datagrams that a node sends.

use std::time::{Duration, Instant};

/// Token bucket with a capacity of one second.
#[derive(Debug, Clone)]
pub(super) struct Budget {
    bytes_per_second: f64,
    available: f64,
    refilled: Instant,
    sent_bytes: u64,
}

impl Budget {
    pub(super) fn new(bytes_per_second: u32, now: Instant) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            available: f64::from(bytes_per_second),
            refilled: now,
            sent_bytes: 0,
        }
    }

    /// Bytes that may be sent now.
    pub(super) fn available(&mut self, now: Instant) -> usize {
        let since: Duration = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.available = (self.available + since.as_secs_f64() * self.bytes_per_second)
            .min(self.bytes_per_second);
        // Negative values saturate at 0.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let available = self.available as usize;
        available
    }

    /// Charges the bytes of a datagram. Probes and their answers are sent even over budget; they then delay updates.
    pub(super) fn spend(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.available = (self.available - f64::from(bytes)).max(-self.bytes_per_second);
        self.sent_bytes += u64::from(bytes);
    }

    pub(super) const fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }
}
