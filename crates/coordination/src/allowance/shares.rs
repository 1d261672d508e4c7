//! Placement of the shares of an allowance on nodes.

use {
    super::WorkspaceHash,
    crate::membership::{Member, Presence},
    jujubeline_core::rendezvous_weight,
    std::collections::BTreeSet,
};

/// Number of shares of an allowance. With three, the loss of one owner leaves two thirds of the allowance in use.
pub const SHARES: usize = 3;

/// Whether a member takes no further part. A member that is only suspect or unreachable may still lend, so that its
/// shares must not have another owner.
#[must_use]
pub const fn has_departed(presence: Presence) -> bool {
    matches!(presence, Presence::Dead | Presence::Left)
}

/// The owner of each share of a workspace: the node with the highest rendezvous weight in the data centre of the share.
/// The shares are in different data centres as far as there are enough of them. `None` without members.
#[must_use]
pub fn share_owners(workspace: WorkspaceHash, members: &[Member]) -> [Option<&Member>; SHARES] {
    let present = || {
        members
            .iter()
            .filter(|member| !has_departed(member.presence))
    };
    let data_centres: Vec<_> = present()
        .map(|member| &member.data_centre)
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    let mut owners = [None; SHARES];
    if data_centres.is_empty() {
        return owners;
    }
    let first = usize::try_from(workspace % data_centres.len() as u64).unwrap_or_default();
    for (share, owner) in owners.iter_mut().enumerate() {
        let data_centre = data_centres[(first + share) % data_centres.len()];
        let mut key = workspace.to_be_bytes().to_vec();
        key.extend_from_slice(&share.to_be_bytes());
        *owner = present()
            .filter(|member| member.data_centre == *data_centre)
            .max_by_key(|member| rendezvous_weight(&key, member.node.as_bytes()));
    }
    owners
}
