//! The reader of a node's logs stops reading for a while.

use {
    crate::{
        Case, Verdict,
        fleet::{CONTACT, Node, Route, configuration, request, wait_for},
        http::exchange,
        server::Server,
        store::Store,
    },
    std::{
        io::Read,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TIMEOUT_MS: u32 = 2_000;
/// Time after the timeout of its route at which a request must have an answer.
const GRACE: Duration = Duration::from_millis(500);
/// Requests for routes that never existed, each of which the node logs as refused.
const UNKNOWN_ROUTES: u32 = 500;
const UNKNOWN_PERIOD: Duration = Duration::from_millis(50);
/// A quick succession of configurations, as in the site's days.
const CHANGES: u32 = 12;
const CHANGE_PERIOD: Duration = Duration::from_millis(330);
const REQUESTS: u32 = 40;
const SERVICES: [&str; 2] = ["schedules", "billing"];

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(record);
    let write = |version: u32| {
        let routes = [Route {
            name: "r-look",
            prefix: "/look/",
            kind: "safe",
            timeout_ms: TIMEOUT_MS,
            service: SERVICES[0],
        }];
        store.write_configuration(&configuration(version, &routes, &SERVICES));
    };
    write(3);
    let mut nodes = [
        Node::new("side-a-1", "dalat-a", SERVICES[0], &store, &case.logs),
        Node::new("side-b-1", "dalat-b", SERVICES[1], &store, &case.logs),
    ];
    // One reader takes what the first node writes to standard output and standard error.
    let (mut reader, writer) = std::io::pipe().expect("a pipe can be made");
    let stdout = writer.try_clone().expect("the pipe can be shared");
    nodes[0].start_with(stdout.into(), writer.into(), record);
    nodes[1].start(record);
    let is_stalled = Arc::new(AtomicBool::new(false));
    let stalls = Arc::clone(&is_stalled);
    thread::spawn(move || {
        let mut buffer = [0; 4_096];
        loop {
            if stalls.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            } else if matches!(reader.read(&mut buffer), Ok(0) | Err(_)) {
                return;
            }
        }
    });
    let servers: Vec<_> = (nodes.iter().zip(["i-1", "i-2"]))
        .map(|(node, id)| Server::start(id, node, record))
        .collect();
    if !wait_for(|| nodes.iter().all(Node::is_ready)) {
        return Verdict::NotRun;
    }
    for server in &servers {
        server.announce();
    }
    thread::sleep(CONTACT + Duration::from_secs(3));
    let entry = nodes[0].outbound;
    if ask(entry, "look-0", "/look/work-20/x", case) != Some(200) {
        return Verdict::NotRun;
    }

    if case.trouble {
        record.line("the reader of the logs stops reading");
        is_stalled.store(true, Ordering::SeqCst);
    }
    for number in 0..UNKNOWN_ROUTES {
        let answer = ask(entry, &format!("none-{number}"), "/never-existed/x", case);
        if answer != Some(404) {
            record.line("a request for a route that never existed is not answered with 404");
            break;
        }
        thread::sleep(UNKNOWN_PERIOD);
    }
    for change in 1..=CHANGES {
        write(3 + change);
        thread::sleep(CHANGE_PERIOD);
    }
    thread::sleep(CONTACT);
    let asking: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let case = case.clone();
            thread::sleep(Duration::from_millis(100));
            thread::spawn(move || ask(entry, &format!("look-{number}"), "/look/work-20/x", &case))
        })
        .collect();
    let answers: Vec<_> = (asking.into_iter())
        .map(|thread| thread.join().unwrap())
        .collect();
    let late = answers.iter().filter(|status| status.is_none()).count();
    record.line(&format!(
        "{late} of {REQUESTS} requests had no answer half a second after the timeoutMs of their route"
    ));
    if case.trouble {
        record.line("the reader of the logs reads again");
        is_stalled.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
        ask(entry, "look-last", "/look/work-20/x", case);
    }
    // All other requests were answered before the timeout, so only these were still unanswered at it.
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request and waits until half a second after the timeout of its route. Returns the status of its answer.
fn ask(entry: SocketAddr, id: &str, path: &str, case: &Case) -> Option<u16> {
    let limit = Duration::from_millis(TIMEOUT_MS.into()) + GRACE;
    let sent = Instant::now();
    let request = request("GET", path, id, 6_000);
    let answer = exchange(entry, request.as_bytes(), limit);
    let after = sent.elapsed().as_secs_f64();
    let status = match &answer {
        Ok(answer) => format!("gets {} after", answer.status),
        Err(error) => format!("has no answer ({error}) after"),
    };
    case.record.line(&format!(
        "the client of {id} ({path}) {status} {after:.3} s"
    ));
    answer.ok().map(|answer| answer.status)
}
