//! Messages of the membership protocol and upper bounds of their encoded sizes.

use {
    super::{Member, Presence},
    crate::allowance::{AllowanceAsk, AllowanceLoan},
    jujubeline_core::{Fingerprint, Incarnation, NodeId, Revision},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest datagram. 1,200 bytes fit an IPv6 path with the minimum MTU of 1,280 and any tunnel header in use.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// IPv4 and UDP headers, counted against the byte budget.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Longest node, service, data centre or region name in a message.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum number of crash reports in one datagram.
pub const MAX_CRASHES: usize = 16;

/// Encoded size of a datagram without names and updates. Checked against the encoder by a test of the protocol package.
const DATAGRAM_BASE_BYTES: usize = 80;

/// Encoded size of a member without its names, with two IPv4 addresses.
const MEMBER_BASE_BYTES: usize = 126;

/// Additional encoded size of an IPv6 address, compared with an IPv4 address.
const IPV6_BYTES: usize = 24;

/// Encoded size of a claim without its names.
const CLAIM_BASE_BYTES: usize = 46;

/// Encoded size of a crash report.
pub(super) const CRASH_BYTES: usize = 24;

/// Encoded size of a question about an allowance, or of its answer.
const ALLOWANCE_BYTES: usize = 48;

/// Type of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramKind {
    /// Asks the receiver for an ack.
    Ping,
    /// Asks the receiver to probe the member at this control address.
    PingReq(SocketAddr),
    /// Answers a ping, or reports that an indirect probe succeeded.
    Ack,
    /// Reports that an indirect probe has not succeeded, which shows that the prober itself is reachable.
    Nack,
    /// Carries updates or a new catalogue revision without asking for an answer.
    Hint,
    /// Asks the owner of a share of an allowance for tokens. Membership itself does not use it.
    AllowanceAsk(AllowanceAsk),
    /// Lends tokens of an allowance. Membership itself does not use it.
    AllowanceLoan(AllowanceLoan),
}

/// A statement about the presence of a member, without its description.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresenceClaim {
    /// Member that the claim is about.
    pub node: NodeId,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Update of the member's description that the claim refers to.
    pub update: u64,
    /// Claimed presence: suspect, dead or left.
    pub presence: Presence,
    /// Node that made the claim; distinct reporters confirm a suspicion.
    pub reporter: NodeId,
}

/// A change of the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A member as it describes itself. It also refutes older claims.
    Described(Arc<Member>),
    /// A claim about a member.
    Claimed(PresenceClaim),
}

impl Update {
    /// The member that the update is about.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        match self {
            Self::Described(member) => &member.node,
            Self::Claimed(claim) => &claim.node,
        }
    }

    /// Upper bound of the encoded size.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        match self {
            Self::Described(member) => {
                let ipv6 = [member.data_address, member.control_address]
                    .iter()
                    .filter(|address| address.is_ipv6())
                    .count();
                MEMBER_BASE_BYTES
                    + ipv6 * IPV6_BYTES
                    + [
                        &member.node,
                        &member.data_centre,
                        &member.region,
                        &member.service,
                    ]
                    .map(|name| name_bytes(name))
                    .iter()
                    .sum::<usize>()
            }
            Self::Claimed(claim) => {
                CLAIM_BASE_BYTES + name_bytes(&claim.node) + name_bytes(&claim.reporter)
            }
        }
    }
}

/// A request that was in flight when a target crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// Random identity of the crash; reports of one crash share it.
    pub crash: u64,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Whether the request has completed since, so that the crash does not count against it.
    pub is_cleared: bool,
    /// Time since the crash. On the wire it is rounded up to whole seconds.
    pub age: Duration,
}

/// One UDP message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Node that sent the datagram.
    pub sender: NodeId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Catalogue revision in effect at the sender.
    pub catalogue_revision: Revision,
    /// Matches an ack or nack with its ping or ping request.
    pub sequence: u64,
    /// Type of the datagram.
    pub kind: DatagramKind,
    /// Changes of the member table.
    pub updates: Vec<Update>,
    /// Requests that were in flight when a target crashed.
    pub crashes: Vec<CrashReport>,
}

impl Datagram {
    /// Upper bound of the encoded size, without UDP and IP headers.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        DATAGRAM_BASE_BYTES
            + name_bytes(&self.sender)
            + match self.kind {
                DatagramKind::PingReq(SocketAddr::V6(_)) => IPV6_BYTES,
                DatagramKind::AllowanceAsk(_) | DatagramKind::AllowanceLoan(_) => ALLOWANCE_BYTES,
                _ => 0,
            }
            + self.crashes.len() * CRASH_BYTES
            + self.updates.iter().map(Update::max_bytes).sum::<usize>()
    }
}

/// Upper bound of the encoded size of a name. A text takes its bytes and a terminator, padded to words of 8 bytes, and
/// packing adds at most two bytes to a word.
fn name_bytes(name: &str) -> usize {
    (name.len() / 8 + 1) * 10
}
