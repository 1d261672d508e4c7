//! A daemon in a deployment of kind `platform`, with stand-ins for the object store and the target, and requests as
//! clients of the users' platform send them.

mod support;

use {
    http::Method,
    jujubeline_core::cases,
    jujubeline_standin::platform::{Faults, PlatformStandin},
    serde_json::json,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::{RunningDaemon, exchange, get, start, terminate},
    tokio::runtime::Runtime,
};

/// Timeout for a state that the daemon must reach.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the stop signal and the kill, passed to the daemons as `--kill-after-s`.
const KILL_GRACE: Duration = Duration::from_secs(6);
/// Time that a slow request takes; longer than a stop.
const SLOW_RESPONSE_TIME: Duration = Duration::from_secs(12);
/// Time that a request takes that ends within the last second before the kill.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(5_300);
/// Time without a response that is well above the threshold at which a connection counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(2_500);
/// Time within which a configuration must be in force while the platform is unstable: the usual 2 s and the 5 s by which
/// the bounds of the deployments stretch them.
const UNSTABLE_APPLY_TIME: Duration = Duration::from_secs(7);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Rounds in which a connection to the target must be used again, and attempts to get there. The caller may send its next
/// request before the connection of the last one is free.
const REUSE_ROUNDS: u32 = 5;
const MAX_REUSE_ATTEMPTS: u32 = 50;

/// A target whose response depends on the path, and which counts requests and health checks.
struct Target {
    address: SocketAddr,
    arrivals: Arc<AtomicU32>,
    health_checks: Arc<AtomicU32>,
}

impl Target {
    fn start(is_healthy: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::new(AtomicU32::new(0));
        let health_checks = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&arrivals);
        let checks = Arc::clone(&health_checks);
        // The thread is not joined; it ends with the test process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (counter, checks) = (Arc::clone(&counter), Arc::clone(&checks));
                thread::spawn(move || serve(stream, is_healthy, &counter, &checks));
            }
        });
        Self {
            address,
            arrivals,
            health_checks,
        }
    }

    fn arrivals(&self) -> u32 {
        self.arrivals.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, is_healthy: bool, arrivals: &AtomicU32, health_checks: &AtomicU32) {
    let mut buffer = Vec::new();
    let mut chunk = [0; 4_096];
    let mut refusal = String::new();
    loop {
        let Some(end) = find(&buffer, b"\r\n\r\n") else {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            }
            continue;
        };
        let head = String::from_utf8(buffer.drain(..end + 4).collect()).unwrap();
        let path = head.split(' ').nth(1).unwrap();
        if path == "/health" {
            health_checks.fetch_add(1, Ordering::SeqCst);
            let status = if is_healthy {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            let headers = "x-jujubeline-instance-id: i-1\r\nx-jujubeline-server-load: 0,0,4\r\n";
            let _ = stream.write_all(answer(status, "", headers, "").as_bytes());
            return;
        }
        arrivals.fetch_add(1, Ordering::SeqCst);
        let id = header(&head, "x-jujubeline-attempt-id").unwrap_or_default();
        let answer = match path.rsplit('/').next().unwrap() {
            "cut" => return,
            "slow" => {
                thread::sleep(SLOW_RESPONSE_TIME);
                answer("200 OK", &id, "x-jujubeline-response-seal: s\r\n", "late")
            }
            "nearly" => {
                thread::sleep(LATE_RESPONSE_TIME);
                answer(
                    "200 OK",
                    &id,
                    "x-jujubeline-response-seal: s\r\n",
                    "in time",
                )
            }
            "foreign" => answer(
                "200 OK",
                "another",
                "x-jujubeline-response-seal: s\r\n",
                "foreign",
            ),
            "shed" => {
                refusal = shed(&id);
                refusal.clone()
            }
            "shed-nameless" => {
                refusal = answer(
                    "503 Service Unavailable",
                    "",
                    "x-jujubeline-not-executed: 1\r\n",
                    "",
                );
                refusal = refusal.replace("x-jujubeline-attempt-id: \r\n", "");
                shed(&id)
            }
            "misdirected" => {
                refusal = misdirected();
                shed(&id)
            }
            "shed-doubled" => {
                refusal = shed(&id);
                refusal.repeat(2)
            }
            "earlier-refusal" if !refusal.is_empty() => refusal.clone(),
            piece if piece.starts_with("bytes-") => {
                let seal = "x-jujubeline-response-seal: s\r\n";
                let whole = match path.split('/').nth(2).unwrap() {
                    "chunked" => format!(
                        "HTTP/1.1 200 OK\r\nx-jujubeline-attempt-id: {id}\r\n{seal}transfer-encoding: chunked\r\n\r\n\
                         5\r\nwhole\r\n0\r\n\r\n"
                    ),
                    _ => answer("200 OK", &id, seal, "whole"),
                };
                let length: usize = piece["bytes-".len()..].parse().unwrap();
                let _ = stream.write_all(&whole.as_bytes()[..length.min(whole.len())]);
                return;
            }
            odd if odd.starts_with("status-") => {
                let status = format!("{} Odd", &odd["status-".len()..]);
                answer(&status, &id, "x-jujubeline-response-seal: s\r\n", "odd")
            }
            both if both.starts_with("twice-") => answer_twice(both, &id, arrivals),
            "failed" => answer(
                "500 Internal Server Error",
                &id,
                "x-jujubeline-response-seal: s\r\n",
                "why",
            ),
            _ => answer("200 OK", &id, "x-jujubeline-response-seal: s\r\n", &head),
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A response of another process at the address, which does not state the attempt.
fn misdirected() -> String {
    "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n".to_owned()
}

fn shed(id: &str) -> String {
    answer(
        "503 Service Unavailable",
        id,
        "x-jujubeline-not-executed: 1\r\n",
        "",
    )
}

/// Responds to the first and second arrival of a request as its path states: `twice-FIRST-SECOND`. The first response
/// is always delayed until the connection counts as stalled, also if it is shed. The second is delayed as well, unless
/// it is shed, since a target sheds at once.
fn answer_twice(path: &str, id: &str, arrivals: &AtomicU32) -> String {
    let mut ends = path.split('-').skip(1);
    let (first, second) = (ends.next().unwrap(), ends.next().unwrap());
    let (end, body) = if arrivals.load(Ordering::SeqCst) == 1 {
        (first, "first")
    } else {
        (second, "second")
    };
    if body == "first" || !end.ends_with("shed") {
        thread::sleep(STALL_TIME);
    }
    let seal = "x-jujubeline-response-seal: s\r\n";
    match end {
        "shed" => shed(id),
        "foreignshed" => shed("another"),
        "fail" => answer("500 Internal Server Error", id, seal, body),
        _ => answer("200 OK", id, seal, body),
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn answer(status: &str, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nx-jujubeline-attempt-id: {id}\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

fn header(text: &str, name: &str) -> Option<String> {
    text.lines().find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// A daemon with its target and the object store.
struct Fixture {
    daemon: RunningDaemon,
    target: Target,
    store: PlatformStandin,
    _runtime: Runtime,
}

fn configuration(version: &str) -> serde_json::Value {
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "pathPrefix", "type", "timeoutMs", "priority", "maxAttempts", "service"],
            "rows": [
                ["r-safe", "a.example", "/safe/", "safe", 2000, 2, 2, "schedules"],
                ["r-slow", "a.example", "/slow/", "safe", 20000, 2, 2, "schedules"],
                ["r-unsafe", "a.example", "/unsafe/", "unsafe", 2000, 0, 2, "schedules"],
            ],
        },
        "services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["schedules", "/health", 16]]},
    })
}

impl Fixture {
    fn start() -> Self {
        Self::start_with(true)
    }

    /// Starts a daemon whose target passes or fails its health checks.
    fn start_with(is_healthy: bool) -> Self {
        let runtime = Runtime::new().unwrap();
        let store = runtime.block_on(PlatformStandin::start_local()).unwrap();
        let target = Target::start(is_healthy);
        let daemon = start(&[
            "--deployment",
            "platform",
            "--platform-address",
            &store.address().to_string(),
            "--target-address",
            &target.address.to_string(),
            "--retry-share",
            "0.2",
            "--retry-slack",
            "48",
            "--kill-after-s",
            &KILL_GRACE.as_secs().to_string(),
        ]);
        Self {
            daemon,
            target,
            store,
            _runtime: runtime,
        }
    }

    /// Starts a daemon and waits until it has loaded the configuration and its target is ready.
    fn ready() -> Self {
        let fixture = Self::start();
        fixture.write_configuration("0000000c");
        fixture.wait_for("/api/ready", "200 OK");
        assert!(fixture.heartbeat("i-1", 1, "ready").contains("200 OK"));
        fixture.wait_for("/status", "\"target_state\":\"ready\"");
        // The data path is updated shortly after the status.
        let explain = "/explain?host=a.example&method=GET&path=/safe/view";
        fixture.wait_for(explain, "\"node\":\"one\"");
        fixture
    }

    fn write_configuration(&self, version: &str) {
        let object = json!({"metadata": {"name": "main"}, "spec": configuration(version)});
        let body = object.to_string();
        let written = exchange(
            self.store.address(),
            &format!(
                "POST /api/objects/config HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        );
        assert!(written.contains("200 OK"), "{written}");
    }

    /// Replaces the configuration by one with the same routes and another version.
    fn replace_configuration(&self, version: u32) {
        let spec = configuration(&format!("{version:08x}"));
        self.write("PUT", "config/main", "main", &spec);
    }

    /// Writes an object that no node reads, which raises the version of the store.
    fn write_other_object(&self, number: u32) {
        self.write(
            "POST",
            "others",
            &format!("object-{number}"),
            &json!(number),
        );
    }

    fn write(&self, method: &str, path: &str, name: &str, spec: &serde_json::Value) {
        let body = json!({"metadata": {"name": name}, "spec": spec}).to_string();
        let length = body.len();
        let written = exchange(
            self.store.address(),
            &format!(
                "{method} /api/objects/{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            ),
        );
        assert!(written.contains("200 OK"), "{written}");
    }

    fn heartbeat(&self, id: &str, sequence: u64, state: &str) -> String {
        let heartbeat = json!({
            "address": self.target.address.to_string(),
            "born": 10,
            "info": {"service": "schedules", "version": "v1", "zone": "dc1", "slots": 4},
            "status": {"state": state, "sequence": sequence, "coldRemainingMs": 0},
        });
        let body = heartbeat.to_string();
        exchange(
            self.daemon.operators,
            &format!(
                "POST /api/instances/{id}/heartbeat HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        )
    }

    fn wait_for(&self, path: &str, text: &str) {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let found = get(self.daemon.operators, path);
            if found.contains(text) {
                return;
            }
            assert!(Instant::now() < until, "{text} does not appear in {found}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send(&self, method: &Method, path: &str) -> String {
        self.send_as("9c41", method, path)
    }

    fn send_as(&self, attempt: &str, method: &Method, path: &str) -> String {
        exchange(
            self.daemon.callers,
            &format!(
                "{method} {path} HTTP/1.1\r\nHost: a.example:80\r\nX-Jujubeline-Attempt-Id: {attempt}\r\n\
                 X-Jujubeline-Deadline-Ms: 1500\r\nX-Jujubeline-Caller-Service: forged\r\n\
                 X-Jujubeline-Target-Instance: forged\r\nConnection: close\r\n\r\n"
            ),
        )
    }
}

/// Guards against a request that reaches the target with a changed request line, with a caller service or target
/// instance forged by the client, or with a longer deadline than the client's.
#[test]
fn forwarded_request_keeps_its_line_and_gets_trusted_headers() {
    let fixture = Fixture::ready();
    let response = fixture.send(&Method::GET, "/safe/view?a=1");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(
        header(&response, "x-jujubeline-response-seal").as_deref(),
        Some("s")
    );
    let (_, arrived) = response.split_once("\r\n\r\n").unwrap();
    assert!(
        arrived.starts_with("GET /safe/view?a=1 HTTP/1.1"),
        "{arrived}"
    );
    let at_target = |name: &str| header(arrived, name);
    assert_eq!(
        at_target("x-jujubeline-attempt-id").as_deref(),
        Some("9c41")
    );
    assert_eq!(
        at_target("x-jujubeline-caller-service").as_deref(),
        Some("schedules")
    );
    assert_eq!(
        at_target("x-jujubeline-target-instance").as_deref(),
        Some("i-1")
    );
    let left_ms: u64 = at_target("x-jujubeline-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((1_000..=1_500).contains(&left_ms), "{left_ms} ms");
    assert!(at_target("jujubeline-root").is_none(), "{arrived}");
}

cases! {
    /// Guards against an at-most-once request that runs twice, against a refusal with a false outcome, and against
    /// bytes from the response to another attempt.
    fn target_outcome_decides_status_and_arrivals(path: &str, status: &str, arrivals: u32) {
        let fixture = Fixture::ready();
        let response = fixture.send(&Method::POST, path);
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
        assert!(!response.contains("\r\n\r\nforeign"), "{response}");
        assert_eq!(fixture.target.arrivals(), arrivals, "{response}");
        if status == "503" {
            let after: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
            assert!(after > 0.0 && after < 0.5, "a third of the time left is 0.5 s, not {after}");
        }
    }
    unsafe_cut: ("/unsafe/cut", "502", 1),
    unsafe_foreign: ("/unsafe/foreign", "502", 1),
    unsafe_failed: ("/unsafe/failed", "500", 1),
    unsafe_shed: ("/unsafe/shed", "503", 1),
    safe_shed: ("/safe/shed", "503", 1),
    no_route: ("/other/", "404", 0),
}

cases! {
    /// Guards against a request that runs and is refused as not run, because the target writes an earlier refusal once
    /// more on a connection that is in use again.
    fn an_earlier_refusal_proves_nothing(method: Method, earlier: &str, statuses: &[&str]) {
        let fixture = Fixture::ready();
        let mut rounds = 0;
        for attempt in 0..MAX_REUSE_ATTEMPTS {
            let path = format!("/unsafe/{earlier}");
            let refused = fixture.send_as(&format!("{attempt}a"), &Method::POST, &path);
            assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
            let arrivals = fixture.target.arrivals();
            let kind = if method == Method::POST { "unsafe" } else { "safe" };
            let path = format!("/{kind}/earlier-refusal");
            let response = fixture.send_as(&format!("{attempt}b"), &method, &path);
            if method == Method::POST {
                assert_eq!(fixture.target.arrivals(), arrivals + 1, "{response}");
            }
            // Without an earlier refusal on the connection, the target answers with the request.
            let is_reused = !response.contains(&format!("\r\n\r\n{method} {path}"));
            if is_reused || statuses.contains(&"200") {
                rounds += 1;
                assert!(
                    statuses.iter().any(|status| response.starts_with(&format!("HTTP/1.1 {status}"))),
                    "{response}"
                );
            }
            if rounds == REUSE_ROUNDS {
                return;
            }
        }
        panic!("{rounds} rounds on a connection in use again");
    }
    refusal_of_an_earlier_attempt: (Method::POST, "shed", &["502"]),
    refusal_without_an_id: (Method::POST, "shed-nameless", &["502"]),
    misdirection_without_an_id: (Method::POST, "misdirected", &["502"]),
    // The surplus refusal closes the connection if it is seen before the next request is sent.
    refusal_sent_twice_at_once: (Method::POST, "shed-doubled", &["200", "502"]),
    refusal_in_answer_to_a_safe_request: (Method::GET, "shed", &["200", "502"]),
}

cases! {
    /// Guards against at-most-once work whose answer has a status that HTTP does not know: the caller must not get it as
    /// an answer, and the work must not run again.
    fn odd_status_of_unsafe_work_has_an_unknown_outcome(status: &str) {
        let fixture = Fixture::ready();
        let response = fixture.send(&Method::POST, &format!("/unsafe/status-{status}"));
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_eq!(fixture.target.arrivals(), 1);
    }
    status_zero: ("000"),
    status_six_hundred: ("600"),
}

cases! {
    /// Guards against a response that breaks off, at any byte of it, and reaches the client as a complete success.
    fn a_response_that_breaks_off_is_no_success(kind: &str) {
        let fixture = Fixture::ready();
        for length in 0..1_000 {
            let response = fixture.send(&Method::POST, &format!("/unsafe/{kind}/bytes-{length}"));
            let is_success = response.starts_with("HTTP/1.1 200");
            let has_whole_body = response.contains("whole");
            let is_chunked = header(&response, "transfer-encoding").is_some();
            let has_end = !is_chunked || response.ends_with("0\r\n\r\n");
            if is_success && has_whole_body && has_end {
                assert!(length > 100, "{response}");
                return;
            }
            if is_success {
                let declared = header(&response, "content-length");
                assert!(
                    declared.as_deref() == Some("5") || is_chunked,
                    "{length} bytes: {response}"
                );
                assert!(!is_chunked || !has_end, "{length} bytes: {response}");
            }
        }
        panic!("the whole response is no success");
    }
    with_a_length: ("length"),
    in_chunks: ("chunked"),
}

/// Guards against a response that breaks off in its chunks and reaches a client of HTTP/1.0 as a complete success: there
/// the end of the connection is the end of the body, so only a reset tells that bytes are missing.
#[test]
fn response_that_breaks_off_is_reset_over_http10() {
    let fixture = Fixture::ready();
    let whole = "HTTP/1.1 200 OK\r\nx-jujubeline-attempt-id: 3b\r\nx-jujubeline-response-seal: s\r\n\
                 transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let last_chunk_bytes = "0\r\n\r\n".len();
    for length in whole.len() - last_chunk_bytes..whole.len() {
        let mut stream = TcpStream::connect(fixture.daemon.callers).unwrap();
        let request = format!(
            "POST /unsafe/chunked/bytes-{length} HTTP/1.0\r\nhost: a.example\r\n\
             x-jujubeline-attempt-id: 3b\r\nx-jujubeline-deadline-ms: 1500\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut response = Vec::new();
        let ended = stream.read_to_end(&mut response);
        let is_success =
            response.starts_with(b"HTTP/1.0 200") || response.starts_with(b"HTTP/1.1 200");
        assert!(
            !is_success || ended.is_err(),
            "{length} of {} bytes: {}",
            whole.len(),
            String::from_utf8_lossy(&response)
        );
    }
}

/// Guards against a node without a configuration that responds with 404 or reports that it is ready for callers.
#[test]
fn node_without_configuration_refuses_and_is_not_ready() {
    let fixture = Fixture::start();
    let response = fixture.send(&Method::GET, "/safe/view");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(get(fixture.daemon.operators, "/api/ready").contains("503"));
}

/// Guards against a restarted node that refuses requests until the next heartbeat although its target runs, and against
/// requests to a target that fails its health check because it drains.
#[test]
fn started_node_checks_target_health_once() {
    for (is_healthy, status) in [(true, "HTTP/1.1 200"), (false, "HTTP/1.1 503")] {
        let fixture = Fixture::start_with(is_healthy);
        fixture.write_configuration("0000000c");
        if is_healthy {
            fixture.wait_for(
                "/explain?host=a.example&method=GET&path=/safe/view",
                "\"node\":\"one\"",
            );
        } else {
            fixture.wait_for("/api/ready", "200 OK");
            thread::sleep(Duration::from_millis(500));
        }
        let response = fixture.send(&Method::GET, "/safe/view");
        assert!(response.starts_with(status), "{response}");
        assert_eq!(fixture.target.health_checks.load(Ordering::SeqCst), 1);
        if is_healthy {
            assert!(
                response.contains("x-jujubeline-target-instance: i-1"),
                "{response}"
            );
            assert!(fixture.heartbeat("i-1", 1, "draining").contains("200 OK"));
            fixture.wait_for("/status", "\"target_state\":\"draining\"");
        }
    }
}

/// Guards against a service without a target while the nodes beside all its targets stop in turn. Each target keeps
/// running, and its node forwards requests for most of the time in which callers are notified that it is not ready.
#[test]
fn stopping_node_forwards_requests_during_its_leave_notice() {
    let mut fixture = Fixture::ready();
    terminate(&fixture.daemon.child);
    fixture.wait_for("/api/ready", "503");
    thread::sleep(Duration::from_millis(500));
    let response = fixture.send(&Method::GET, "/safe/view");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(fixture.daemon.child.wait().unwrap().code(), Some(0));
}

/// Guards against a node that starts its watch of the platform again and again while it stops.
#[test]
fn stop_starts_no_watch_of_the_platform() {
    let mut fixture = Fixture::ready();
    terminate(&fixture.daemon.child);
    let log = fixture.daemon.log_until_end();
    let starts = log
        .iter()
        .filter(|line| line.contains("this node watches"))
        .count();
    assert_eq!(starts, 1);
}

/// Guards against a heartbeat during a stop that makes the target ready again: other nodes would send it requests until
/// the node ends, and those requests would be cut off.
#[test]
fn ready_heartbeat_does_not_cancel_a_stop() {
    let mut fixture = Fixture::ready();
    terminate(&fixture.daemon.child);
    fixture.wait_for("/status", "\"target_state\":\"draining\"");
    assert!(fixture.heartbeat("i-1", 2, "ready").contains("200 OK"));
    assert!(get(fixture.daemon.operators, "/status").contains("\"target_state\":\"draining\""));
    let response = fixture.send(&Method::GET, "/safe/view");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(fixture.target.arrivals(), 0);
    assert_eq!(fixture.daemon.child.wait().unwrap().code(), Some(0));
}

cases! {
    /// Guards against an execution that is cut off, or refused as not run, because the other attempt of the same
    /// request was shed: a target that sheds is busy, not stalled, and its refusal proves nothing about the other
    /// attempt.
    fn stalled_request_is_resent_on_a_new_connection(path: &str, status: &str, body: &str) {
        let fixture = Fixture::ready();
        let response = exchange(
            fixture.daemon.callers,
            &format!(
                "GET /slow/{path} HTTP/1.1\r\nHost: a.example\r\nX-Jujubeline-Attempt-Id: 9c43\r\n\
                 X-Jujubeline-Deadline-Ms: 15000\r\nConnection: close\r\n\r\n"
            ),
        );
        assert_eq!(fixture.target.arrivals(), 2, "it was sent again");
        assert!(response.starts_with(status), "{response}");
        assert!(response.ends_with(body), "{response}");
    }
    second_is_shed: ("twice-ok-shed", "HTTP/1.1 200", "first"),
    first_is_shed_while_the_second_runs: ("twice-shed-ok", "HTTP/1.1 200", "second"),
    first_is_shed_and_the_second_fails: ("twice-shed-fail", "HTTP/1.1 500", "second"),
    first_is_shed_and_the_second_gets_the_refusal_of_another: ("twice-shed-foreignshed", "HTTP/1.1 502", "}"),
    both_are_shed: ("twice-shed-shed", "HTTP/1.1 503", "}"),
}

/// Guards against new requests to a draining target, and against a delayed heartbeat with a lower sequence that makes
/// it ready again.
#[test]
fn draining_target_gets_no_new_requests() {
    let fixture = Fixture::ready();
    assert!(fixture.heartbeat("i-1", 3, "draining").contains("200 OK"));
    assert!(fixture.heartbeat("i-1", 2, "ready").contains("200 OK"));
    let response = fixture.send(&Method::GET, "/safe/view");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(fixture.target.arrivals(), 0);
    assert!(fixture.heartbeat("i-1", 4, "strange").contains("400"));
}

/// Guards against a process that is killed at the end of its grace time because a request outlasts it: its exchanges
/// would be cut off without an orderly close, and the other nodes would not be notified that it left. Also guards
/// against a cut-off of a request that ends before the process must.
#[test]
fn slow_request_does_not_extend_the_stop() {
    let mut fixture = Fixture::ready();
    let callers = fixture.daemon.callers;
    let requests = ["slow", "nearly"].map(|path| {
        thread::spawn(move || {
            let mut stream = TcpStream::connect(callers).unwrap();
            let request = format!(
                "GET /slow/{path} HTTP/1.1\r\nHost: a.example\r\nX-Jujubeline-Attempt-Id: {path}\r\n\
                 X-Jujubeline-Deadline-Ms: 15000\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).unwrap();
            let mut response = Vec::new();
            // The read fails for the request that still runs at the end, because its connection is cut off.
            let _ = stream.read_to_end(&mut response);
            String::from_utf8(response).unwrap()
        })
    });
    while fixture.target.arrivals() < 2 {
        thread::sleep(POLL_INTERVAL);
    }
    let asked = Instant::now();
    terminate(&fixture.daemon.child);
    fixture.daemon.child.wait().unwrap();
    let took = asked.elapsed();
    assert!(took < KILL_GRACE, "the stop took {took:?}");
    let [cut, nearly] = requests.map(|request| request.join().unwrap());
    assert!(!cut.contains("200 OK"), "{cut}");
    assert!(nearly.starts_with("HTTP/1.1 200"), "{nearly}");
}

/// Guards against an older configuration that replaces a newer one, and against a newer one that has no effect.
#[test]
fn older_configuration_does_not_replace_a_newer_one() {
    let fixture = Fixture::ready();
    let revision = |version: u64| format!("\"catalogue_revision\":{version}");
    fixture.wait_for("/status", &revision(12));
    let put = |version: &str| {
        let body =
            json!({"metadata": {"name": "main"}, "spec": configuration(version)}).to_string();
        exchange(
            fixture.store.address(),
            &format!(
                "PUT /api/objects/config/main HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        )
    };
    assert!(put("00000010").contains("200 OK"));
    fixture.wait_for("/status", &revision(16));
    assert!(put("0000000f").contains("200 OK"));
    thread::sleep(Duration::from_millis(300));
    fixture.wait_for("/status", &revision(16));
}

/// Guards against a configuration that takes effect late because the ones before it used up the node's budget of calls
/// to the platform.
#[test]
fn last_of_many_configurations_takes_effect_within_2_s() {
    let fixture = Fixture::ready();
    for version in 13..63 {
        fixture.replace_configuration(version);
        thread::sleep(Duration::from_millis(100));
    }
    let acknowledged = Instant::now();
    fixture.wait_for("/status", "\"catalogue_revision\":62");
    let late = acknowledged.elapsed();
    assert!(late < Duration::from_secs(2), "in force after {late:?}");
}

/// Guards against a configuration that is not in force after the platform was restored from a copy, because the watch
/// went on from a version that was assigned again.
#[test]
fn configuration_written_after_a_restore_takes_effect() {
    let fixture = Fixture::ready();
    fixture.store.keep_copy();
    for version in 13..18 {
        fixture.replace_configuration(version);
    }
    fixture.wait_for("/status", "\"catalogue_revision\":17");
    fixture.store.set_faults(Faults {
        silent_watches: true,
        ..Faults::default()
    });
    fixture.store.restore_copy();
    fixture.replace_configuration(17);
    fixture.replace_configuration(18);
    for number in 0..8 {
        fixture.write_other_object(number);
    }
    let acknowledged = Instant::now();
    fixture.store.set_faults(Faults::default());
    fixture.wait_for("/status", "\"catalogue_revision\":18");
    let late = acknowledged.elapsed();
    assert!(late < UNSTABLE_APPLY_TIME, "in force after {late:?}");
}
