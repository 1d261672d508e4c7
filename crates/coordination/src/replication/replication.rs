//! Scheduling of catalogue pulls and hints.

use {
    jujubeline_core::Revision,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit of one pull. After it the node may pull from another peer.
pub const PULL_DEADLINE: Duration = Duration::from_secs(2);

/// Bound on the peers that are kept as sources; those with the highest revisions are kept.
const MAX_SOURCES: usize = 4;

/// Minimum time between two rounds of hints, so that a burst of changes costs one round and not one for each change.
const HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Wait after the first failed pull; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum wait after a failed pull.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A peer to pull from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Control address of the peer.
    pub peer: SocketAddr,
    /// Revision that this node has.
    pub since: Revision,
}

/// Decides when a node pulls the catalogue, from which peer, and when it sends hints. The catalogue state itself
/// decides which changes are applied.
#[derive(Debug, Clone, Default)]
pub struct Replication {
    /// Peers that are ahead of this node, in ascending order of revision.
    sources: Vec<(SocketAddr, Revision)>,
    /// The pull in progress and its start.
    pull: Option<(Pull, Instant)>,
    /// Failed pulls since the last successful one.
    failures: u32,
    /// End of the backoff after a failed pull.
    retry_at: Option<Instant>,
    hinted_revision: Revision,
    next_hint: Option<Instant>,
}

impl Replication {
    /// Records the revision that a peer reports. Reports that are not ahead of `own` have no effect.
    pub fn record_peer_revision(&mut self, peer: SocketAddr, revision: Revision, own: Revision) {
        if revision <= own {
            return;
        }
        self.sources.retain(|(known, _)| *known != peer);
        self.sources.push((peer, revision));
        // A stable sort: of peers with equal revisions, the one that reported last comes last and is queried first.
        self.sources.sort_by_key(|(_, revision)| *revision);
        if self.sources.len() > MAX_SOURCES {
            self.sources.remove(0);
        }
    }

    /// Returns the pull to start now, if a peer is ahead of this node, no pull is in progress and no backoff is
    /// running.
    pub fn next_pull(&mut self, own: Revision, now: Instant) -> Option<Pull> {
        self.sources.retain(|(_, revision)| *revision > own);
        let busy = self
            .pull
            .is_some_and(|(_, started)| now < started + PULL_DEADLINE);
        if busy || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let (peer, _) = self.sources.pop()?;
        let pull = Pull { peer, since: own };
        self.pull = Some((pull, now));
        Some(pull)
    }

    /// Records the end of a pull. After a failure the next pull waits for a backoff and goes to another peer.
    pub fn finish_pull(&mut self, pull: Pull, succeeded: bool, now: Instant) {
        if self.pull.is_some_and(|(running, _)| running == pull) {
            self.pull = None;
        }
        if succeeded {
            self.failures = 0;
            self.retry_at = None;
            return;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.retry_at = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Whether to send hints now that this revision is in effect: only if it is higher than the last one that was
    /// hinted, and at most once in the minimum interval.
    pub fn should_hint(&mut self, own: Revision, now: Instant) -> bool {
        if own <= self.hinted_revision || self.next_hint.is_some_and(|at| now < at) {
            return false;
        }
        self.hinted_revision = own;
        self.next_hint = Some(now + HINT_INTERVAL);
        true
    }
}
