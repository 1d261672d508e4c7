//! Pulls of the catalogue from peers.

use {
    super::{
        catalogue_actor::CatalogueHandle,
        error::{ControlError, ControlResult},
        membership_actor::MembershipHandle,
        rpc::Peers,
    },
    error_stack::Report,
    futures::stream::{FuturesUnordered, StreamExt},
    jujubeline_coordination::replication::{PULL_DEADLINE, Pull, PullEnd},
    jujubeline_core::Revision,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::mpsc,
};

/// Counters of ended pulls since the start, by result.
#[derive(Debug, Default)]
pub struct PullCounts {
    /// The difference was applied.
    pub applied: AtomicU64,
    /// The peer answered after another one, so its difference was not needed.
    pub late: AtomicU64,
    /// The peer answered with a difference that could not be applied.
    pub refused: AtomicU64,
    /// The call was not sent: the peer could not be connected.
    pub not_sent: AtomicU64,
    /// The call was sent and not answered in time.
    pub no_reply: AtomicU64,
}

impl PullCounts {
    fn record(&self, result: &ControlResult<Revision>, end: PullEnd) {
        let counter = match result.as_ref().map_err(Report::current_context) {
            Ok(_) => &self.applied,
            Err(ControlError::NotSent) => &self.not_sent,
            Err(ControlError::CallLost) => &self.no_reply,
            Err(_) if end == PullEnd::Answered => &self.late,
            Err(_) => &self.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Pulls the catalogue from peers, several at the same time.
#[derive(Debug)]
pub(super) struct Puller {
    membership: MembershipHandle,
    catalogue: CatalogueHandle,
    peers: Peers,
    counts: Arc<PullCounts>,
    /// Failed pulls since the last one that was applied.
    failures: AtomicU64,
}

impl Puller {
    pub(super) fn new(
        membership: MembershipHandle,
        catalogue: CatalogueHandle,
        peers: Peers,
        counts: Arc<PullCounts>,
    ) -> Self {
        Self {
            membership,
            catalogue,
            peers,
            counts,
            failures: AtomicU64::new(0),
        }
    }

    /// Runs pulls until the task is cancelled.
    pub(super) async fn run(self, mut pulls: mpsc::Receiver<Pull>) {
        let mut running = FuturesUnordered::new();
        loop {
            tokio::select! {
                pull = pulls.recv() => match pull {
                    Some(pull) => running.push(self.pull(pull)),
                    None => break,
                },
                Some(()) = running.next() => {}
            }
        }
    }

    async fn pull(&self, pull: Pull) {
        let reply = self
            .peers
            .catalogue_since(pull.peer, pull.since, PULL_DEADLINE)
            .await;
        let merged = match reply {
            Ok(difference) => self.catalogue.merge(difference).await,
            Err(error) => Err(error),
        };
        let revision = self.catalogue.view().borrow().revision();
        let end = match &merged {
            Ok(_) => PullEnd::Answered,
            // Another pull was answered first.
            Err(error)
                if *error.current_context() == ControlError::Catalogue && revision > pull.since =>
            {
                PullEnd::Answered
            }
            Err(_) => PullEnd::Failed,
        };
        self.counts.record(&merged, end);
        self.log_result(pull, &merged, end);
        // The revision is reported before the end of the pull, so that no second pull requests the same changes.
        self.membership.revision_changed(revision).await;
        self.membership.pull_ended(pull, end).await;
    }

    /// Logs each revision that takes effect, and the first failure since the last one.
    fn log_result(&self, pull: Pull, merged: &ControlResult<Revision>, end: PullEnd) {
        let peer = pull.peer;
        match merged {
            Ok(revision) => match self.failures.swap(0, Ordering::Relaxed) {
                0 => log::info!("catalogue revision {revision} is in effect, from {peer}"),
                failures => log::info!(
                    "catalogue revision {revision} is in effect, from {peer} after {failures} failed pulls"
                ),
            },
            Err(error) if end == PullEnd::Failed => {
                let since = pull.since;
                match self.failures.fetch_add(1, Ordering::Relaxed) {
                    0 => log::info!(
                        "catalogue after revision {since} cannot be pulled from {peer}: {error:#}"
                    ),
                    _ => log::debug!("pull of the catalogue from {peer} failed: {error:?}"),
                }
            }
            Err(error) => log::debug!("late answer of {peer} is not needed: {error:?}"),
        }
    }
}
