//! A request that waits behind another one at a gate reaches its server long after the server said that it leaves.

use {
    crate::{
        Case, Verdict,
        fleet::{CONTACT, Node, Route, configuration, request, wait_for},
        http::exchange,
        server::Server,
        store::Store,
    },
    std::{sync::Arc, thread, time::Duration},
};

/// The bound `drainMs` of a small deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the leaving server serves on after that, before it exits.
const SERVED_ON: Duration = Duration::from_secs(1);
const DEADLINE_MS: u32 = 6_000;
const SLOTS: usize = 82;
const PATH: &str = "/look/work-3000/crate-7";
const SERVICES: [&str; 2] = ["batchbook", "payroll"];

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(record);
    let routes = [Route {
        name: "r-look",
        prefix: "/look/",
        kind: "safe",
        timeout_ms: DEADLINE_MS,
        service: SERVICES[0],
    }];
    store.write_configuration(&configuration(3, &routes, &SERVICES));
    // The last node has no server of the service, so all of the requests that enter there go to other nodes. It prefers
    // the two in its zone.
    let mut nodes = [
        Node::new("side-a-1", "dalat-a", SERVICES[0], &store, &case.logs),
        Node::new("side-a-2", "dalat-a", SERVICES[0], &store, &case.logs),
        Node::new("side-b-1", "dalat-b", SERVICES[0], &store, &case.logs),
        Node::new("side-c-1", "dalat-c", SERVICES[0], &store, &case.logs),
        Node::new("side-a-3", "dalat-a", SERVICES[1], &store, &case.logs),
    ];
    for node in &mut nodes {
        node.start(record);
    }
    let servers: Vec<_> = (nodes.iter().zip(["i-1", "i-2", "i-3", "i-4", "i-pay"]))
        .map(|(node, id)| Server::start(id, node, SLOTS, record))
        .collect();
    if !wait_for(|| nodes.iter().all(Node::is_ready)) {
        return Verdict::NotRun;
    }
    for server in &servers {
        server.announce();
    }
    thread::sleep(CONTACT + Duration::from_secs(3));

    let entry = nodes[4].outbound;
    let ask = |id: &'static str| {
        let record = record.clone();
        thread::spawn(move || {
            record.line(&format!("a client sends {id} ({PATH}, {DEADLINE_MS} ms)"));
            let request = request("GET", PATH, id, DEADLINE_MS);
            let answer = exchange(entry, request.as_bytes(), Duration::from_secs(8));
            let status = answer.map(|answer| answer.status);
            record.line(&format!("the client of {id} gets {status:?}"));
        })
    };
    let first = ask("first");
    thread::sleep(Duration::from_millis(300));
    let (ends, leaves) = match (servers[0].arrivals().len(), servers[1].arrivals().len()) {
        (1, 0) => (&servers[0], &servers[1]),
        (0, 1) => (&servers[1], &servers[0]),
        _ => {
            record.line("the first request went to another server than planned");
            return Verdict::NotRun;
        }
    };
    if case.trouble {
        ends.crash();
    }
    thread::sleep(Duration::from_millis(500));
    let second = ask("second");
    thread::sleep(Duration::from_millis(100));
    let Some(acknowledged) = leaves.drain() else {
        return Verdict::NotRun;
    };
    let leaving = Arc::clone(leaves);
    let exit = thread::spawn(move || {
        thread::sleep(DRAIN + SERVED_ON);
        leaving.leave();
    });
    for thread in [first, second, exit] {
        let _ = thread.join();
    }

    let late: Vec<_> = (leaves.arrivals().into_iter())
        .filter(|arrival| arrival.at > acknowledged + DRAIN)
        .collect();
    for arrival in &late {
        let after = arrival.at.saturating_sub(acknowledged).as_secs_f64();
        let (id, server) = (&arrival.id, &leaves.id);
        record.line(&format!(
            "{id} reached {server} {after:.3} s after it was acknowledged that {server} drains"
        ));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
