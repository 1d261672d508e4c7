//! Header with the claim of at-most-once work, sent from entry node to gate.

use {
    http::{HeaderMap, HeaderValue},
    jujubeline_coordination::claims::{AttemptId, Run},
    jujubeline_core::{Attempt, Epoch, ShardId, header_names},
};

/// Header value that requests the first response of a key that has run.
const FIRST_RESPONSE: &str = "first-response";

/// Request of an entry node to the gate for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimHeader {
    /// Run the key under this authorisation.
    Run {
        /// Shard of the key.
        shard: ShardId,
        /// Epoch of the owner that authorised the run.
        epoch: Epoch,
        /// Number of the attempt within the epoch.
        attempt: Attempt,
    },
    /// Return the first response of the key.
    FirstResponse,
}

impl ClaimHeader {
    /// The claim for an authorised run.
    #[must_use]
    pub const fn of(run: &Run) -> Self {
        Self::Run {
            shard: run.shard,
            epoch: run.id.epoch,
            attempt: run.id.attempt,
        }
    }

    /// Shard and id of the attempt; none when the first response is requested.
    #[must_use]
    pub const fn attempt(self) -> Option<(ShardId, AttemptId)> {
        match self {
            Self::Run {
                shard,
                epoch,
                attempt,
            } => Some((shard, AttemptId { epoch, attempt })),
            Self::FirstResponse => None,
        }
    }

    /// Adds the header to a request.
    pub fn write(self, headers: &mut HeaderMap) {
        let value = match self {
            Self::Run {
                shard,
                epoch,
                attempt,
            } => HeaderValue::from_str(&format!("{shard}.{epoch}.{attempt}"))
                .unwrap_or(HeaderValue::from_static("")),
            Self::FirstResponse => HeaderValue::from_static(FIRST_RESPONSE),
        };
        headers.insert(header_names::CLAIM, value);
    }

    /// Parses the header value `SHARD.EPOCH.ATTEMPT` or `first-response`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text == FIRST_RESPONSE {
            return Some(Self::FirstResponse);
        }
        let mut parts = text.split('.');
        let run = Self::Run {
            shard: parts.next()?.parse().ok()?,
            epoch: parts.next()?.parse().ok()?,
            attempt: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(run)
    }
}
