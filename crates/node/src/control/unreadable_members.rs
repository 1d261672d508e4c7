//! Members from other nodes that cannot be read, counted and logged once each.

use {
    jujubeline_core::NotedOnce,
    jujubeline_protocol::{Decoded, UnreadableMember},
    std::net::SocketAddr,
};

/// Members that were left out of tables and datagrams of other nodes.
#[derive(Debug, Default)]
pub struct UnreadableMembers(NotedOnce<UnreadableMember>);

impl UnreadableMembers {
    /// The message, after the members that were left out of it are counted and logged.
    pub(super) fn note<T>(&self, from: SocketAddr, decoded: Decoded<T>) -> T {
        for member in decoded.unreadable {
            let node = member.node.as_deref().unwrap_or("without a valid name");
            let text = format!(
                "member {node} from node {from} cannot be read: {}",
                member.error
            );
            if self.0.note(member) {
                log::warn!("{text}");
            }
        }
        decoded.value
    }

    /// Members counted since the start.
    pub fn count(&self) -> u64 {
        self.0.count()
    }
}
