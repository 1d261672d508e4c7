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
        os::fd::AsRawFd,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const TIMEOUT_MS: u32 = 2_000;
const GRACE: Duration = Duration::from_millis(500);
/// Time between two changes of the configuration and their number, as in the site's quick successions.
const CHANGE_PERIOD: Duration = Duration::from_millis(330);
const CHANGES: u32 = 12;
const SUCCESSIONS: u32 = 4;
const REQUESTS: u32 = 40;
/// Size of the pipe between the node and the reader: one page, which is what Linux gives to a user with many pipes.
const PIPE_BYTES: i32 = 4_096;
const F_SETPIPE_SZ: i32 = 1_031;

unsafe extern "C" {
    fn fcntl(descriptor: i32, command: i32, ...) -> i32;
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(record);
    let write = |version: u32| {
        let routes = [Route {
            name: "r-look",
            prefix: "/look/",
            kind: "safe",
            timeout_ms: TIMEOUT_MS + version % 2,
            service: "schedules",
        }];
        store.write_configuration(&configuration(version, &routes, &["schedules", "billing"]))
    };
    let mut version = 3;
    write(version);
    let mut nodes = [
        Node::new("side-a-1", "dalat-a", "schedules", &store, &case.logs),
        Node::new("side-b-1", "dalat-b", "billing", &store, &case.logs),
    ];
    // Standard output and standard error of the first node go to one reader, as a service manager or container runtime
    // has it.
    let (mut reader, writer) = std::io::pipe().expect("a pipe can be made");
    // SAFETY: the call changes only the size of the pipe.
    if unsafe { fcntl(writer.as_raw_fd(), F_SETPIPE_SZ, PIPE_BYTES) } < 0 {
        return Verdict::NotRun;
    }
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
    if ask(entry, 0, case).is_none() {
        return Verdict::NotRun;
    }
    if case.trouble {
        record.line("the reader of the logs stops reading");
        is_stalled.store(true, Ordering::SeqCst);
    }
    for _ in 0..SUCCESSIONS {
        for _ in 0..CHANGES {
            version += 1;
            write(version);
            thread::sleep(CHANGE_PERIOD);
        }
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(CONTACT);
    let asking: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let case = case.clone();
            thread::sleep(Duration::from_millis(100));
            thread::spawn(move || ask(entry, number, &case))
        })
        .collect();
    let answers = asking.into_iter().map(|thread| thread.join().unwrap());
    let late = answers.filter(Option::is_none).count();
    record.line(&format!(
        "{late} of {REQUESTS} requests had no answer 0.5 s after their route's timeoutMs"
    ));
    is_stalled.store(false, Ordering::SeqCst);
    // Of the requests that are unanswered at the timeout, those without an answer half a second later are all of them.
    if late >= 8 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request and waits until half a second after the timeout of its route. Returns the status of its answer.
fn ask(entry: std::net::SocketAddr, number: u32, case: &Case) -> Option<u16> {
    let id = format!("look-{number}");
    let limit = Duration::from_millis(TIMEOUT_MS.into()) + GRACE;
    let sent = Instant::now();
    case.record.line(&format!("a client sends {id}"));
    let request = request("GET", "/look/work-20/x", &id, 6_000);
    let answer = exchange(entry, request.as_bytes(), limit);
    let status = answer.map(|answer| answer.status);
    let after = sent.elapsed().as_secs_f64();
    case.record.line(&format!(
        "the client of {id} has {status:?} after {after:.3} s"
    ));
    status.ok()
}
