//! Scheduling of catalogue pulls and hints.

use {
    jujubeline_core::Revision,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit of one pull. Long enough for an answer over a link on which packets wait for seconds; other peers are
/// asked meanwhile.
pub const PULL_DEADLINE: Duration = Duration::from_secs(4);

/// Bound on the pulls in progress at one time.
pub const MAX_PULLS: usize = 8;

/// Bound on the peers that are kept as sources.
const MAX_SOURCES: usize = 32;

/// Minimum time between two rounds of hints, so that a burst of changes costs one round and not one for each change.
const HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between the start of a pull and of the next one, while no pull has brought a newer revision; doubled with each
/// further pull.
const INITIAL_PULL_SPACING: Duration = Duration::from_millis(200);

/// Maximum time between two pulls, which allows five within the 2 s that a change may take.
const MAX_PULL_SPACING: Duration = Duration::from_millis(500);

/// A peer to pull from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Control address of the peer.
    pub peer: SocketAddr,
    /// Revision that this node has.
    pub since: Revision,
}

/// How a pull ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullEnd {
    /// The peer answered, and this node's revision is higher than at the start of the pull.
    Answered,
    /// The peer gave no usable answer.
    Failed,
}

/// A peer that is ahead of this node.
#[derive(Debug, Clone, Copy)]
struct Source {
    peer: SocketAddr,
    revision: Revision,
    /// Start of the last pull from it that has not been answered.
    asked: Option<Instant>,
}

/// Decides when a node pulls the catalogue, from which peer, and when it sends hints. The catalogue state itself
/// decides which changes are applied.
///
/// A pull that is not answered soon is followed by one from another peer while it goes on (hedged requests; Dean and
/// Barroso, "The Tail at Scale", 2013).
#[derive(Debug, Clone, Default)]
pub struct Replication {
    /// Peers that are ahead of this node, in ascending order of revision.
    sources: Vec<Source>,
    /// The pulls in progress and their starts.
    pulls: Vec<(Pull, Instant)>,
    /// Pulls started since the last answer.
    unanswered: u32,
    /// Time before which no further pull starts.
    next_pull: Option<Instant>,
    hinted_revision: Revision,
    next_hint: Option<Instant>,
}

impl Replication {
    /// Records the revision that a peer reports. Reports that are not ahead of `own` have no effect.
    pub fn record_peer_revision(&mut self, peer: SocketAddr, revision: Revision, own: Revision) {
        if revision <= own {
            return;
        }
        let known = self.sources.iter().position(|source| source.peer == peer);
        let asked = known.and_then(|at| self.sources.remove(at).asked);
        self.sources.push(Source {
            peer,
            revision,
            asked,
        });
        // A stable sort: of peers with equal revisions, the one that reported last comes last and is queried first.
        self.sources.sort_by_key(|source| source.revision);
        if self.sources.len() > MAX_SOURCES {
            self.sources.remove(self.least_useful());
        }
    }

    /// Returns the pull to start now, if a peer is ahead of this node that is not being asked, and the pulls in progress
    /// are old enough.
    pub fn next_pull(&mut self, own: Revision, now: Instant) -> Option<Pull> {
        self.sources.retain(|source| source.revision > own);
        self.pulls
            .retain(|(_, started)| now < *started + PULL_DEADLINE);
        if self.pulls.len() >= MAX_PULLS || self.next_pull.is_some_and(|at| now < at) {
            return None;
        }
        let pulls = &self.pulls;
        let is_idle = |source: &&mut Source| pulls.iter().all(|(pull, _)| pull.peer != source.peer);
        // Of the sources that were asked least recently, the last one, which has the highest revision.
        let source = self
            .sources
            .iter_mut()
            .rev()
            .filter(is_idle)
            .min_by_key(|source| source.asked)?;
        source.asked = Some(now);
        let pull = Pull {
            peer: source.peer,
            since: own,
        };
        self.pulls.push((pull, now));
        let spacing = INITIAL_PULL_SPACING * 2_u32.saturating_pow(self.unanswered.min(8));
        self.unanswered = self.unanswered.saturating_add(1);
        self.next_pull = Some(now + spacing.min(MAX_PULL_SPACING));
        Some(pull)
    }

    /// Records the end of a pull. After an answer the next pull may start at once; after a failure it keeps its distance
    /// from the previous one.
    pub fn finish_pull(&mut self, pull: Pull, end: PullEnd) {
        self.pulls.retain(|(running, _)| *running != pull);
        if end == PullEnd::Failed {
            return;
        }
        self.unanswered = 0;
        self.next_pull = None;
        let answered = self.sources.iter_mut().find(|one| one.peer == pull.peer);
        if let Some(source) = answered {
            source.asked = None;
        }
    }

    /// Index of the source to evict: one that was asked and has not answered, else the one with the lowest revision.
    fn least_useful(&self) -> usize {
        let asked = self.sources.iter().position(|one| one.asked.is_some());
        asked.unwrap_or(0)
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
