//! Selection of the nodes that watch the platform.

use {
    crate::membership::{Member, Presence},
    jujubeline_core::rendezvous_weight,
    std::time::{Duration, Instant},
};

/// Nodes of each data centre that watch the platform. A watch counts as a call, so the number does not grow with the
/// fleet; the second node covers the time until the failure of the first is detected.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Nodes of each data centre that may watch the platform in place of those that cannot read it. While no node can read it,
/// only these try.
const CANDIDATES_PER_DATA_CENTRE: usize = 16;

/// Time without a datagram of any other node after which a node watches the platform itself. Its own probes are answered
/// once a second; a change may take 2 s.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// Average time between two checks of the configuration by any node that does not watch the platform. A change that no
/// watcher learns of reaches some node in about this time.
const CHECK_SPACING: Duration = Duration::from_millis(700);

/// Shortest time between two checks by one node.
const MIN_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Average time between two checks of the configuration by one node, in a fleet with this many live members. The number
/// of checks by the whole fleet does not grow with it.
#[must_use]
pub fn configuration_check_period(live_members: usize) -> Duration {
    let members = u32::try_from(live_members).unwrap_or(u32::MAX);
    CHECK_SPACING.saturating_mul(members).max(MIN_CHECK_PERIOD)
}

/// Whether a node hears nothing from the nodes that it would learn changes from.
#[must_use]
pub fn is_cut_off(last_datagram: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last_datagram) > MAX_SILENCE
}

/// Whether this node is among those of its data centre that watch the platform.
///
/// The first two in the ranking always do. If candidates cannot read the platform, the next ones watch as well, twice as
/// many as cannot: the platform may turn most nodes away, and there is no time to try them one by one.
///
/// Nodes whose member tables differ may disagree for a while, so that more or fewer watch. This is safe, because every
/// revision is applied only once and the other nodes receive it from peers.
#[must_use]
pub fn watches_platform(own: &Member, members: &[Member]) -> bool {
    let candidates = lowest_ranked(own, members, CANDIDATES_PER_DATA_CENTRE);
    let Some(rank) = candidates.iter().position(|one| one.node == own.node) else {
        return false;
    };
    if rank < WATCHERS_PER_DATA_CENTRE {
        return true;
    }
    let unreachable = |candidates: &[&Member]| {
        let unable = candidates.iter().filter(|one| one.platform_unreachable);
        unable.count()
    };
    let rank_of_able = rank - unreachable(&candidates[..rank]);
    !own.platform_unreachable && rank_of_able < WATCHERS_PER_DATA_CENTRE + unreachable(&candidates)
}

/// The live members of this node's data centre with the lowest rendezvous rank.
pub(super) fn lowest_ranked<'a>(
    own: &Member,
    members: &'a [Member],
    count: usize,
) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members
        .iter()
        .filter(|member| {
            member.presence == Presence::Alive && member.data_centre == own.data_centre
        })
        .collect();
    ranked.sort_by_cached_key(|member| (rank(member), member.node.clone()));
    ranked.truncate(count);
    ranked
}

fn rank(member: &Member) -> u64 {
    rendezvous_weight(member.data_centre.as_bytes(), member.node.as_bytes())
}
