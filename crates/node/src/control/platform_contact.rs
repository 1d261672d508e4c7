//! Tells the other nodes whether this one can read the platform while it watches it.

use {
    super::{membership_actor::MembershipHandle, platform_follow::is_platform_watcher},
    jujubeline_coordination::{
        membership::Member,
        replication::{PROBE_DEADLINE, PROBE_PERIOD, PlatformContact, UNREACHABLE_TIME},
    },
    jujubeline_core::NodeId,
    jujubeline_platform::{Kind, PlatformClient, PlatformError},
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// What a node does about the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Watches it.
    Watches,
    /// Does not watch it any more, because it could not read it.
    CannotRead,
    /// Learns changes from other nodes.
    Relies,
}

impl Role {
    fn of(own: &NodeId, members: &[Member]) -> Self {
        if is_platform_watcher(own, members) {
            Self::Watches
        } else if states_unreachable(own, members) {
            Self::CannotRead
        } else {
            Self::Relies
        }
    }

    const fn pause(self) -> Duration {
        match self {
            Self::Watches => PROBE_PERIOD,
            Self::CannotRead => UNREACHABLE_TIME,
            Self::Relies => Duration::MAX,
        }
    }
}

/// Probes the platform and reports the result to membership, until the task is cancelled.
pub(super) async fn run(platform: PlatformClient, own: NodeId, membership: MembershipHandle) {
    let mut members = membership.view();
    let mut contact = PlatformContact::default();
    loop {
        let role = Role::of(&own, &members.borrow_and_update());
        if role == Role::Watches {
            probe(&platform, &own, &membership, &mut contact).await;
        }
        let other_role = members.wait_for(|members| Role::of(&own, members) != role);
        let change = timeout(role.pause(), other_role).await;
        match change.map(|members| members.is_ok()) {
            Ok(false) => return,
            Err(_) if role == Role::CannotRead => {
                probe(&platform, &own, &membership, &mut contact).await;
            }
            Ok(true) | Err(_) => {}
        }
    }
}

async fn probe(
    platform: &PlatformClient,
    own: &NodeId,
    membership: &MembershipHandle,
    contact: &mut PlatformContact,
) {
    let answers = |at: Instant| at.elapsed() < PROBE_PERIOD;
    let answered = if platform.last_answer().is_some_and(answers) {
        true
    } else {
        // No object has this name, so the answer is short.
        let read = platform.get_stale(Kind::JoinPoints, own);
        match timeout(PROBE_DEADLINE, read).await {
            Err(_) => false,
            Ok(Ok(_)) => true,
            Ok(Err(error)) => match error.current_context() {
                PlatformError::OverBudget => return,
                error => !matches!(error, PlatformError::Unavailable | PlatformError::Lost),
            },
        }
    };
    let unreachable = contact.record_probe(answered, Instant::now());
    if unreachable == states_unreachable(own, &membership.view().borrow()) {
        return;
    }
    if unreachable {
        log::warn!("this node cannot read the platform; other nodes watch it");
    } else {
        log::info!("this node can read the platform again");
    }
    membership.set_platform_unreachable(unreachable).await;
}

fn states_unreachable(own: &NodeId, members: &[Member]) -> bool {
    let mut unreachable = members.iter().filter(|member| member.platform_unreachable);
    unreachable.any(|member| member.node == *own)
}
