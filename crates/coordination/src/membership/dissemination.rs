//! Queue of updates that are piggybacked on datagrams.

use {
    super::{Presence, Update},
    jujubeline_core::NodeId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Bound on queued updates. More arise only when a large part of the fleet changes at once; anti-entropy then delivers
/// the rest.
const MAX_UPDATES: usize = 2_048;

/// Suspicions that were queued for longer are not sent any more. After a partition has healed they are outdated, and
/// receivers ignore them only for 30 s.
const SUSPICION_MAX_AGE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: Update,
    sent: u32,
    since: Instant,
}

impl QueuedUpdate {
    fn is_outdated(&self, now: Instant) -> bool {
        let suspicion = matches!(
            &self.update,
            Update::Claimed(claim) if claim.presence == Presence::Suspect
        );
        suspicion && now.saturating_duration_since(self.since) > SUSPICION_MAX_AGE
    }
}

/// Queue of updates. New ones are sent first; a sent one moves to the end until it was sent the required number of
/// times.
#[derive(Debug, Clone, Default)]
pub(super) struct UpdateQueue {
    queue: VecDeque<QueuedUpdate>,
    dropped: u64,
}

impl UpdateQueue {
    /// Adds an update and removes those that it replaces.
    pub(super) fn push(&mut self, update: Update, now: Instant) {
        self.queue
            .retain(|queued| !replaces(&update, &queued.update));
        if self.queue.len() >= MAX_UPDATES {
            self.queue.pop_back();
            self.dropped += 1;
        }
        self.queue.push_front(QueuedUpdate {
            update,
            sent: 0,
            since: now,
        });
    }

    /// Removes claims about a member.
    pub(super) fn remove_claims(&mut self, node: &NodeId) {
        self.queue.retain(|queued| match &queued.update {
            Update::Claimed(claim) => claim.node != *node,
            Update::Described(_) => true,
        });
    }

    /// Takes updates of at most `max_bytes`. Each is sent `retransmits` times in all.
    pub(super) fn take(&mut self, max_bytes: usize, retransmits: u32, now: Instant) -> Vec<Update> {
        let mut remaining = max_bytes;
        let mut taken = Vec::new();
        let mut kept = VecDeque::with_capacity(self.queue.len());
        let mut again = VecDeque::new();
        while let Some(mut queued) = self.queue.pop_front() {
            if queued.is_outdated(now) {
                continue;
            }
            let bytes = queued.update.max_bytes();
            if bytes > remaining {
                kept.push_back(queued);
                continue;
            }
            remaining -= bytes;
            taken.push(queued.update.clone());
            queued.sent += 1;
            if queued.sent < retransmits {
                again.push_back(queued);
            }
        }
        kept.append(&mut again);
        self.queue = kept;
        taken
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Updates that were dropped because the queue was full.
    pub(super) const fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Whether `new` makes `old` obsolete. A claim does not replace a description, which other members may still lack.
fn replaces(new: &Update, old: &Update) -> bool {
    if new.node() != old.node() {
        return false;
    }
    match (new, old) {
        (Update::Described(_), Update::Described(_)) | (Update::Claimed(_), Update::Claimed(_)) => {
            true
        }
        (Update::Described(member), Update::Claimed(claim)) => {
            (claim.incarnation, claim.update) < (member.incarnation, member.update)
        }
        (Update::Claimed(_), Update::Described(_)) => false,
    }
}
