//! Three members that exchange datagrams through a vector instead of a network.
//!
//! Run with `cargo run -p jujubeline-coordination --example membership`.

use {
    jujubeline_coordination::membership::{
        Config, Datagram, Member, Membership, Output, Presence, TargetState,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

fn main() {
    let mut now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut members: Vec<Membership> = (1..=3)
        .map(|number| Membership::new(Config::default(), describe(number), now, &mut rng))
        .collect();
    let mut waiting: Vec<(SocketAddr, SocketAddr, Datagram)> = Vec::new();
    for number in 2..=3 {
        let output = members[number - 1].ping_at(address(1), now);
        queue(&mut waiting, number, output);
    }
    // 100 ticks are ten seconds, in which each member sends about ten probes.
    for _ in 0..100 {
        now += TICK;
        for (from, to, datagram) in std::mem::take(&mut waiting) {
            let number = usize::from(to.port());
            let output = members[number - 1].receive(from, datagram, now, &mut rng);
            queue(&mut waiting, number, output);
        }
        for number in 1..=3 {
            let output = members[number - 1].tick(now, &mut rng);
            queue(&mut waiting, number, output);
        }
    }
    for (number, membership) in (1..).zip(&members) {
        let alive = membership.members();
        let alive = alive
            .iter()
            .filter(|member| member.presence == Presence::Alive);
        println!("member {number} knows {} live members", alive.count());
    }
}

fn queue(waiting: &mut Vec<(SocketAddr, SocketAddr, Datagram)>, from: usize, output: Output) {
    let sent = output.datagrams.into_iter();
    waiting.extend(sent.map(|(to, datagram)| (address(from), to, datagram)));
}

fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(number).unwrap_or(0);
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn describe(number: usize) -> Member {
    Member {
        node: format!("instance-{number}").into(),
        incarnation: 1,
        update: 0,
        data_address: address(number),
        control_address: address(number),
        data_centre: "kingston".into(),
        region: "jm-south".into(),
        service: "schedules".into(),
        target_state: TargetState::Ready,
        slots: 80,
        catalogue_revision: 0,
        presence: Presence::Alive,
        platform_unreachable: false,
    }
}
