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
/// A server of `dryloft`: 25 slots, 360 ms of work. It runs 69 requests a second.
const SLOTS: usize = 25;
const WORK_MS: u32 = 360;
/// Many users come at once: 1.7 times as many requests as that for 20 s. Those that are refused are logged.
const BURST: u32 = 2_340;
const BURST_PERIOD: Duration = Duration::from_micros(8_500);
const DEADLINE_MS: u32 = 4_000;
/// A quick succession of configurations, as in the site's days.
const CHANGES: u32 = 12;
const CHANGE_PERIOD: Duration = Duration::from_millis(330);
const REQUESTS: u32 = 40;
/// Time after the burst in which its effects may last by the pages.
const CALM: Duration = Duration::from_secs(5);
const SERVICES: [&str; 2] = ["dryloft", "payroll"];

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
        .map(|(node, id)| Server::start(id, node, SLOTS, record))
        .collect();
    if !wait_for(|| nodes.iter().all(Node::is_ready)) {
        return Verdict::NotRun;
    }
    for server in &servers {
        server.announce();
    }
    thread::sleep(CONTACT + Duration::from_secs(3));
    let entry = nodes[0].outbound;
    if ask(entry, "look-0", "/look/work-20/x", case).0 != Some(200) {
        return Verdict::NotRun;
    }

    if case.trouble {
        record.line("the reader of the logs stops reading");
        is_stalled.store(true, Ordering::SeqCst);
    }
    let burst: Vec<_> = (0..BURST)
        .map(|number| {
            thread::sleep(BURST_PERIOD);
            let (case, path) = (case.clone(), format!("/look/work-{WORK_MS}/{number}"));
            thread::spawn(move || ask(entry, &format!("burst-{number}"), &path, &case))
        })
        .collect();
    for thread in burst {
        let _ = thread.join();
    }
    thread::sleep(CALM);
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
    let timeout = Duration::from_millis(TIMEOUT_MS.into());
    let unanswered = answers.iter().filter(|(_, after)| *after > timeout).count();
    let late = answers
        .iter()
        .filter(|(status, _)| status.is_none())
        .count();
    record.line(&format!(
        "of {REQUESTS} requests, {unanswered} had no answer at the timeoutMs of their route, and {late} half a second later"
    ));
    if case.trouble {
        record.line("the reader of the logs reads again");
        is_stalled.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
        ask(entry, "look-last", "/look/work-20/x", case);
    }
    if late * 2 > unanswered {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request and waits until half a second after the timeout of its route. Returns the status of its
/// answer and the time that passed.
fn ask(entry: SocketAddr, id: &str, path: &str, case: &Case) -> (Option<u16>, Duration) {
    let limit = Duration::from_millis(TIMEOUT_MS.into()) + GRACE;
    let sent = Instant::now();
    let request = request("GET", path, id, DEADLINE_MS);
    let answer = exchange(entry, request.as_bytes(), limit);
    let after = sent.elapsed();
    let status = match &answer {
        Ok(answer) => format!("gets {} after", answer.status),
        Err(error) => format!("has no answer ({error}) after"),
    };
    case.record.line(&format!(
        "the client of {id} ({path}) {status} {:.3} s",
        after.as_secs_f64()
    ));
    (answer.ok().map(|answer| answer.status), after)
}
