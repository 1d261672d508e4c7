//! The connections to the store that are open go silent, and a configuration is written soon after.

use {
    crate::{
        deployment::{
            Machine, Route, SERVICES, attempt_id, configuration, exchange, start_machines,
            wait_until_served,
        },
        proxy::Proxy,
        record::Record,
        server::Work,
        store::Store,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// `configApplyMs` of the small deployments.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `contactMs` of the small deployments: silence counts as a reset of the connections of all machines, and a machine is
/// in touch again this long after it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Room for the time between the clock readings of this process and what they stand for.
const ROOM: Duration = Duration::from_millis(50);
/// Age of the data that calls with `allowStale` get: "seconds old", and 3 s where `fleetbench kinds` states a figure.
const STALE_BY: Duration = Duration::from_millis(3_000);

const MOVED: &str = "/leny950/";

fn routes(version: u32, moved_to: &str) -> String {
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "safe",
        timeout_ms: 6_000,
        service,
    };
    let mut routes = vec![
        route("r-n2ctnfz", MOVED, moved_to),
        route("r-s989anu", "/puka111/", "packhouse"),
    ];
    if version >= 9 {
        routes.push(route("r-97pzwnq", "/tiye233/", "dryloft"));
    }
    configuration(version, &routes, &SERVICES)
}

/// A request on the moved route: when it was sent, and what came back.
struct Sent {
    node: String,
    at: Instant,
    ran_at: String,
}

fn probe(machine: &Machine, until: Instant, sent: &Mutex<Vec<Sent>>, record: &Record) {
    let to: SocketAddr = machine.node.addresses.outbound;
    while Instant::now() < until {
        let (at, id) = (Instant::now(), attempt_id());
        let answer = exchange(to, "GET", &format!("{MOVED}2f"), &id, 2_000);
        let ran_at = match answer {
            Ok(answer) if answer.status() == 200 => {
                String::from_utf8_lossy(&answer.body).into_owned()
            }
            Ok(answer) => format!("status {}", answer.status()),
            Err(error) => format!("no answer: {error}"),
        };
        record.line(&format!("client of {}: {id} {ran_at}", machine.node.name));
        let node = machine.node.name.clone();
        sent.lock().unwrap().push(Sent { node, at, ran_at });
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start(STALE_BY)?;
    let proxy = Proxy::start(store.address)?;
    let work = |service: &str| -> Work {
        let body = service.as_bytes().to_vec();
        Arc::new(move |_| {
            thread::sleep(Duration::from_millis(20));
            body.clone()
        })
    };
    let machines = start_machines(&SERVICES, work, proxy.address, record)?;
    store.put("config", "main", &routes(7, "batchbook"));
    record.line("version 7 is acknowledged");
    let started = format!("{MOVED}start");
    wait_until_served(&machines, &[&started, "/puka111/start"])?;
    // Steady state.
    thread::sleep(Duration::from_secs(14));
    let sent = Mutex::new(Vec::new());
    let (mut silenced, mut acknowledged) = (Instant::now(), Instant::now());
    thread::scope(|scope| {
        let until = Instant::now() + Duration::from_secs(9);
        for machine in &machines {
            let sent = &sent;
            scope.spawn(move || probe(machine, until, sent, record));
        }
        thread::sleep(Duration::from_secs(1));
        store.put("config", "main", &routes(9, "batchbook"));
        record.line("version 9 is acknowledged (adds a route)");
        // Time in which all watchers hear of version 9 and wait for the next one.
        thread::sleep(Duration::from_millis(500));
        silenced = Instant::now();
        if has_trouble {
            proxy.silence_open_connections();
            record.line("the open connections to the store are silent; new ones work");
        }
        thread::sleep(Duration::from_millis(900));
        store.put("config", "main", &routes(12, "payroll"));
        acknowledged = Instant::now();
        record.line("version 12 is acknowledged (moves the route from batchbook to payroll)");
    });
    let due = (acknowledged + CONFIG_APPLY).max(silenced + CONTACT) + ROOM;
    let sent = sent.into_inner().unwrap();
    let late = sent
        .iter()
        .filter(|one| one.at > due && one.ran_at == "batchbook");
    let mut broken: Vec<String> = late
        .map(|one| {
            let after = one.at.duration_since(acknowledged).as_millis();
            format!(
                "CONFIG: a request sent to {} {after} ms after the ack of version 12 is run by batchbook",
                one.node
            )
        })
        .collect();
    let served = sent.iter().filter(|one| one.at > due);
    if served.clone().count() < 50 {
        return Err(io::Error::other("too few requests were sent"));
    }
    broken.sort();
    Ok(broken)
}
