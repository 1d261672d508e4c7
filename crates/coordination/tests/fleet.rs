//! Traffic of membership, and time until a catalogue change reaches all nodes, at the fleet sizes of the design page.

mod network;

use {
    jujubeline_catalogue::{Change, Edit},
    jujubeline_coordination::membership::{Membership, TargetState},
    jujubeline_core::cases,
    network::{Faults, Network, member},
    std::time::Duration,
};

/// Datagram bytes that a node may send each second.
const BYTES_PER_SECOND: f64 = 4_000.0;

/// Time in which a configuration change must be in effect everywhere.
const CHANGE_BOUND: Duration = Duration::from_secs(11);

/// Time between two catalogue changes at 16,000 a day.
const CHANGE_PERIOD: Duration = Duration::from_millis(5_400);

fn change(revision: u64) -> Change {
    Change {
        revision,
        change_id: revision.to_string(),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits: vec![Edit::Remove("none".into())],
    }
}

fn apply(network: &mut Network, revision: u64) {
    network.nodes[0]
        .catalogue
        .apply(&change(revision))
        .expect("in order");
    network.catalogue_changed(0);
}

/// Bytes that each node sent each second since the counts in `before`: the mean and the highest of all nodes.
fn rates(network: &Network, before: &[u64], time: Duration) -> (f64, f64) {
    let rates: Vec<f64> = network
        .nodes
        .iter()
        .zip(before)
        .map(|(node, before)| {
            // The counter of a restarted process starts at 0.
            let bytes = node.membership.counters().sent_bytes;
            let bytes = bytes.checked_sub(*before).unwrap_or(bytes);
            f64::from(u32::try_from(bytes).expect("small")) / time.as_secs_f64()
        })
        .collect();
    let members = f64::from(u32::try_from(rates.len()).expect("small"));
    let mean = rates.iter().sum::<f64>() / members;
    (mean, rates.into_iter().fold(0.0, f64::max))
}

fn sent(network: &Network) -> Vec<u64> {
    network
        .nodes
        .iter()
        .map(|node| node.membership.counters().sent_bytes)
        .collect()
}

cases! {
    /// Guards against membership traffic that grows with the fleet beyond the byte budget, and against a catalogue
    /// change that takes too long to reach every node. The load is above that of an ordinary day at 5,600 members: one
    /// restart in 15 s (2,100 a day are one in 41 s), one failure in the minute, and a catalogue change every 5.4 s.
    fn traffic_and_spread_stay_within_bounds(members: usize, seed: u64) {
        let mut network = Network::converged(members, 9, seed);
        network.faults = Faults {
            drop: 0.01,
            duplicate: 0.0,
            delay_us: 300..20_000,
        };
        network.run(Duration::from_secs(10));
        let before = sent(&network);
        let start = network.now;
        let mut slowest = Duration::ZERO;
        for revision in 1..=8_u64 {
            apply(&mut network, revision);
            let reached = network.run_until_all(CHANGE_BOUND, |network| {
                network
                    .nodes
                    .iter()
                    .all(|node| node.stopped || node.catalogue.revision() >= revision)
            });
            slowest = slowest.max(reached.expect("the change reaches all in time"));
            let index = usize::try_from(revision).expect("small");
            match revision % 4 {
                // A restart: drain, leave, and a new process.
                1 => network.act(index, |membership, now, rng| {
                    membership.set_target(TargetState::Draining, 80, now, rng)
                }),
                2 => network.act(index - 1, Membership::leave),
                3 => {
                    let mut new = member(index - 2, 9);
                    new.incarnation += 1;
                    network.restart(index - 2, new, 0);
                }
                _ if revision == 4 => network.nodes[index].stopped = true,
                _ => {}
            }
            network.run(CHANGE_PERIOD.saturating_sub(reached.unwrap_or_default()));
        }
        let time = network.now - start;
        let (mean, highest) = rates(&network, &before, time);
        println!(
            "{members} members: {mean:.0} bytes/s mean, {highest:.0} bytes/s highest; \
             slowest change {slowest:?}"
        );
        assert!(highest < BYTES_PER_SECOND, "{highest} bytes/s");
    }
    members_10: (10, 1),
    members_100: (100, 2),
    members_1000: (1_000, 3),
    members_5600: (5_600, 4),
}
