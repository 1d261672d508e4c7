//! Pulls of the catalogue from peers.

use {
    super::{catalogue_actor::CatalogueHandle, membership_actor::MembershipHandle, rpc::Peers},
    jujubeline_coordination::replication::{PULL_DEADLINE, Pull},
    tokio::sync::mpsc,
};

/// Capacity of the queue of pulls; replication starts one at a time, and a further one only after the deadline.
pub(super) const MAX_PULLS: usize = 4;

/// Runs pulls until the task is cancelled.
pub(super) async fn run(
    mut pulls: mpsc::Receiver<Pull>,
    membership: MembershipHandle,
    catalogue: CatalogueHandle,
    peers: Peers,
) {
    while let Some(pull) = pulls.recv().await {
        let reply = peers
            .catalogue_since(pull.peer, pull.since, PULL_DEADLINE)
            .await;
        let merged = match reply {
            Ok(difference) => catalogue.merge(difference).await,
            Err(error) => Err(error),
        };
        if let Err(error) = &merged {
            log::debug!("pull of the catalogue from {} failed: {error:?}", pull.peer);
        }
        // The revision is reported before the end of the pull, so that no second pull requests the same changes.
        let revision = catalogue.view().borrow().revision();
        membership.revision_changed(revision).await;
        membership.pull_ended(pull, merged.is_ok()).await;
    }
}
