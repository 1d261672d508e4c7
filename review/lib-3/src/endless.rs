//! A server in trouble sends interim responses without end.

use {
    crate::{
        Case, Verdict,
        fleet::{CONTACT, Node, Route, configuration, request, wait_for},
        http::exchange,
        server::Server,
        store::Store,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICES: [&str; 2] = ["batchbook", "payroll"];
const LOOK_TIMEOUT_MS: u32 = 6_000;
const PAY_TIMEOUT_MS: u32 = 800;
/// Time after the timeout of its route at which a request must have an answer.
const GRACE: Duration = Duration::from_millis(500);
/// Requests at the server in trouble: as many as it has slots.
const ENDLESS: usize = 82;
/// Requests to the other service meanwhile.
const OTHERS: usize = 120;
const OTHERS_PERIOD: Duration = Duration::from_millis(40);
/// A machine of the site has 0.4 of a core, as an allowance for each tenth of a second. The node has two worker threads,
/// which use it up in this time at least.
const ALLOWANCE: Duration = Duration::from_millis(20);
const PERIOD: Duration = Duration::from_millis(100);
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start(record);
    let routes = [
        Route {
            name: "r-look",
            prefix: "/look/",
            kind: "safe",
            timeout_ms: LOOK_TIMEOUT_MS,
            service: SERVICES[0],
        },
        Route {
            name: "r-pay",
            prefix: "/pay/",
            kind: "unsafe",
            timeout_ms: PAY_TIMEOUT_MS,
            service: SERVICES[1],
        },
    ];
    store.write_configuration(&configuration(3, &routes, &SERVICES));
    let mut nodes = [
        Node::new("side-a-1", "dalat-a", SERVICES[0], &store, &case.logs),
        Node::new("side-a-2", "dalat-a", SERVICES[1], &store, &case.logs),
    ];
    for node in &mut nodes {
        node.start(record);
    }
    let servers: Vec<_> = (nodes.iter().zip(["i-1", "i-2"]))
        .map(|(node, id)| Server::start(id, node, ENDLESS, record))
        .collect();
    if !wait_for(|| nodes.iter().all(Node::is_ready)) {
        return Verdict::NotRun;
    }
    for server in &servers {
        server.announce();
    }
    thread::sleep(CONTACT + Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let limiting: Vec<_> = (nodes.iter())
        .map(|node| {
            let (process, is_over) = (node.process_id(), Arc::clone(&is_over));
            thread::spawn(move || limit(process, &is_over))
        })
        .collect();
    thread::sleep(CONTACT);
    let entry = nodes[0].outbound;
    let work = if case.trouble { "endless" } else { "work-50" };
    let look: Vec<_> = (0..ENDLESS)
        .map(|number| {
            let (case, path) = (case.clone(), format!("/look/{work}/{number}"));
            thread::spawn(move || {
                ask(
                    entry,
                    "GET",
                    &format!("look-{number}"),
                    &path,
                    LOOK_TIMEOUT_MS,
                    &case,
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let pay: Vec<_> = (0..OTHERS)
        .map(|number| {
            let (case, path) = (case.clone(), format!("/pay/work-50/{number}"));
            thread::sleep(OTHERS_PERIOD);
            thread::spawn(move || {
                ask(
                    entry,
                    "PUT",
                    &format!("pay-{number}"),
                    &path,
                    PAY_TIMEOUT_MS,
                    &case,
                )
            })
        })
        .collect();
    let mut counts = [(0, 0); 2];
    for (kind, asking) in [look, pay].into_iter().enumerate() {
        for thread in asking {
            let (unanswered, late) = thread.join().unwrap();
            counts[kind].0 += usize::from(unanswered);
            counts[kind].1 += usize::from(late);
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in limiting {
        let _ = thread.join();
    }
    let [(look, look_late), (pay, pay_late)] = counts;
    record.line(&format!(
        "unanswered at the timeoutMs of their route: {look} of {ENDLESS} and {pay} of {OTHERS}; half a second later: \
         {look_late} and {pay_late}"
    ));
    let late = look_late + pay_late;
    if late >= 8 && late * 4 > look + pay {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Lets a process run for its allowance in each period.
fn limit(process: i32, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let began = Instant::now();
        thread::sleep(ALLOWANCE);
        // SAFETY: the calls send signals to a process that this one started.
        unsafe { kill(process, SIGSTOP) };
        thread::sleep(PERIOD.saturating_sub(began.elapsed()));
        unsafe { kill(process, SIGCONT) };
    }
}

/// Sends a request. Returns whether it was unanswered at the timeout of its route, and half a second after it.
fn ask(
    entry: SocketAddr,
    method: &str,
    id: &str,
    path: &str,
    timeout_ms: u32,
    case: &Case,
) -> (bool, bool) {
    let timeout = Duration::from_millis(timeout_ms.into());
    let sent = Instant::now();
    let request = request(method, path, id, 10_000);
    let answer = exchange(entry, request.as_bytes(), timeout + Duration::from_secs(20));
    let after = sent.elapsed();
    let status = answer.map(|answer| answer.status);
    case.record.line(&format!(
        "the client of {id} ({path}) has {status:?} after {:.3} s",
        after.as_secs_f64()
    ));
    (after > timeout, after > timeout + GRACE)
}
