//! Selection of the bounded subset of targets that an entry node uses.

use {
    crate::routing::{Candidate, NodeLocation},
    jujubeline_core::rendezvous_weight,
};

/// Number of tiers: same data centre, same region, all other regions.
pub(crate) const TIERS: usize = 3;

/// Tier of a candidate: 0 in the same data centre, 1 in the same region, 2 elsewhere.
pub(crate) fn tier(location: &NodeLocation, candidate: &Candidate) -> usize {
    if candidate.data_centre == location.data_centre && candidate.region == location.region {
        0
    } else if candidate.region == location.region {
        1
    } else {
        2
    }
}

/// Chooses at most `size` candidates, nearest first and by rendezvous weight within a tier.
///
/// A quarter of the subset is reserved for the same region and a tenth for other regions, so that requests can spill
/// over when the local data centre is overloaded or unreachable.
pub(crate) fn choose(
    location: &NodeLocation,
    candidates: &[Candidate],
    size: usize,
) -> Vec<(usize, Candidate)> {
    let mut tiers: [Vec<(u64, &Candidate)>; TIERS] = Default::default();
    for candidate in candidates {
        let weight = rendezvous_weight(location.node.as_bytes(), candidate.node.as_bytes());
        tiers[tier(location, candidate)].push((weight, candidate));
    }
    for tier in &mut tiers {
        tier.sort_unstable_by(|left, right| {
            right.0.cmp(&left.0).then(left.1.node.cmp(&right.1.node))
        });
    }
    let shares = shares([tiers[0].len(), tiers[1].len(), tiers[2].len()], size);
    tiers
        .iter()
        .zip(shares)
        .enumerate()
        .flat_map(|(index, (tier, share))| {
            tier.iter()
                .take(share)
                .map(move |(_, candidate)| (index, (*candidate).clone()))
        })
        .collect()
}

/// Number of candidates of each tier in a subset of at most `size`.
fn shares(available: [usize; TIERS], size: usize) -> [usize; TIERS] {
    let far = available[2].min(size / 10);
    let region = available[1].min(size / 4);
    let mut shares = [
        available[0].min(size.saturating_sub(far + region)),
        region,
        far,
    ];
    for (share, available) in shares.iter_mut().zip(available) {
        *share = (*share).min(available);
    }
    let mut left = size.saturating_sub(shares.iter().sum());
    for (share, available) in shares.iter_mut().zip(available) {
        let more = left.min(available - *share);
        *share += more;
        left -= more;
    }
    shares
}
