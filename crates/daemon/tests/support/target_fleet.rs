//! An entry node, and a gate with a target whose statements, health and notices a test chooses.

use {
    super::{RunningDaemon, exchange, get, start},
    jujubeline_standin::platform::{Faults, PlatformStandin},
    serde_json::json,
    std::{
        collections::BTreeSet,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Timeout for a state that the daemons must reach.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// States in heartbeats.
pub const READY: &str = "ready";
pub const DRAINING: &str = "draining";
/// Size of the answers to requests below `/safe/body/`.
pub const ANSWER_BYTES: usize = 6_000;
/// Size of the answers to requests below `/safe/large/`, which no buffers on the way can hold.
const LARGE_ANSWER_BYTES: usize = 64 << 20;
/// Prefix of requests that are answered after the target's work, with as many bytes as the rest of the path says.
pub const SIZED_PATH: &str = "/safe/sized/";
/// Time between the stop signal of a node and its kill.
pub const KILL_AFTER: Duration = Duration::from_secs(6);
/// Memory of the smallest machine of the deployments, which a node shares with the rest of the system.
pub const MAX_NODE_KB: u64 = 160 * 1_024;
/// Time for which the target works on a request if the test states no other.
const WORK: Duration = Duration::from_millis(200);

/// A target that adds the same headers to each response and records the arrivals.
pub struct Target {
    pub address: SocketAddr,
    headers: Arc<Mutex<String>>,
    health: Arc<Mutex<String>>,
    endless: Arc<Mutex<EndlessBytes>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    last_head: Arc<Mutex<String>>,
}

/// A request that reached a target.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    /// Id of the attempt; empty if the request has none.
    pub id: String,
}

/// Bytes that a target sends in answer to requests below `/safe/endless/`: some first, and others without end.
#[derive(Debug, Clone, Default)]
pub struct EndlessBytes {
    pub start: String,
    pub rest: String,
}

impl Target {
    pub fn start(work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (headers, arrivals) = (Arc::<Mutex<String>>::default(), Arc::default());
        // The health check does not name the process at first, so that only heartbeats do.
        let health = Arc::new(Mutex::new(health_answer("200 OK", "")));
        let target = Self {
            address,
            headers: Arc::clone(&headers),
            health: Arc::clone(&health),
            endless: Arc::default(),
            arrivals: Arc::clone(&arrivals),
            last_head: Arc::default(),
        };
        let heads = Arc::clone(&target.last_head);
        let endless = Arc::clone(&target.endless);
        // The thread is not joined; it ends with the test process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (headers, health) = (Arc::clone(&headers), Arc::clone(&health));
                let (endless, arrivals) = (Arc::clone(&endless), Arc::clone(&arrivals));
                let heads = Arc::clone(&heads);
                thread::spawn(move || {
                    serve(stream, work, &headers, &health, &endless, &arrivals, &heads);
                });
            }
        });
        target
    }

    /// Adds a header to each response.
    pub fn state_in_responses(&self, header: &str) {
        *self.headers.lock().unwrap() = format!("{header}\r\n");
    }

    /// Sends these bytes in answer to requests below `/safe/endless/`.
    pub fn send_endless(&self, start: &str, rest: &str) {
        *self.endless.lock().unwrap() = EndlessBytes {
            start: start.to_owned(),
            rest: rest.to_owned(),
        };
    }

    /// Names the process in answers to the health check, which says whether it is healthy.
    pub fn answer_health_checks(&self, process: &str, is_healthy: bool) {
        let status = if is_healthy {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let header = format!("x-jujubeline-instance-id: {process}\r\n");
        *self.health.lock().unwrap() = health_answer(status, &header);
    }

    /// Head of the request that arrived last, in lower-case header names.
    pub fn last_head(&self) -> String {
        self.last_head.lock().unwrap().clone()
    }

    pub fn arrivals(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().map(|arrival| arrival.at).collect()
    }

    /// Ids of the attempts that arrived. The gate sends a safe request twice if its target is silent for long.
    pub fn arrived_ids(&self) -> BTreeSet<String> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().map(|arrival| arrival.id.clone()).collect()
    }
}

fn health_answer(status: &str, header: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{header}content-length: 0\r\n\r\n")
}

fn serve(
    mut stream: TcpStream,
    work: Duration,
    headers: &Mutex<String>,
    health: &Mutex<String>,
    endless: &Mutex<EndlessBytes>,
    arrivals: &Mutex<Vec<Arrival>>,
    last_head: &Mutex<String>,
) {
    let mut buffer = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let Some(end) = end else {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            }
            continue;
        };
        let head = String::from_utf8(buffer.drain(..end + 4).collect()).unwrap();
        if head.starts_with("GET /health") {
            let answer = health.lock().unwrap().clone();
            let _ = stream.write_all(answer.as_bytes());
            return;
        }
        let id = attempt_id(&head).to_owned();
        arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            id: id.clone(),
        });
        last_head.lock().unwrap().clone_from(&head);
        if head.starts_with("GET /safe/endless/") {
            let bytes = endless.lock().unwrap().clone();
            send_without_end(&mut stream, &bytes);
            return;
        }
        if head.starts_with("POST /safe/unread/") {
            // Longer than any deadline.
            thread::sleep(WAIT_TIMEOUT);
            return;
        }
        if head.contains(" /safe/body/") {
            answer_with_body(&mut stream, &head, &mut buffer, ANSWER_BYTES);
            return;
        }
        if head.contains(" /safe/large/") {
            answer_with_body(&mut stream, &head, &mut buffer, LARGE_ANSWER_BYTES);
            return;
        }
        if let Some((_, rest)) = head.split_once(SIZED_PATH) {
            let (bytes, _) = rest.split_once(' ').unwrap();
            thread::sleep(work);
            answer_with_body(&mut stream, &head, &mut buffer, bytes.parse().unwrap());
            return;
        }
        thread::sleep(work);
        let stated = headers.lock().unwrap().clone();
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-jujubeline-attempt-id: {id}\r\n{stated}content-length: 0\r\n\r\n"
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn attempt_id(head: &str) -> &str {
    let mut lines = head.lines();
    lines
        .find_map(|line| line.strip_prefix("x-jujubeline-attempt-id: "))
        .unwrap_or_default()
}

/// Reads the body of a request, and answers it with a body of this size.
fn answer_with_body(stream: &mut TcpStream, head: &str, read: &mut Vec<u8>, answer_bytes: usize) {
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let id = attempt_id(head);
    let length = field("content-length: ").map_or(0, |length| length.parse().unwrap());
    let mut chunk = [0; 4_096];
    while read.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => read.extend_from_slice(&chunk[..count]),
        }
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-jujubeline-attempt-id: {id}\r\ncontent-length: {answer_bytes}\r\n\
         connection: close\r\n\r\n"
    );
    let body = vec![b'b'; answer_bytes.min(chunk.len())];
    // The node may give the request up before the end.
    let mut sent = stream.write_all(answer.as_bytes());
    let mut left_bytes = answer_bytes;
    while sent.is_ok() && left_bytes > 0 {
        let count = left_bytes.min(body.len());
        sent = stream.write_all(&body[..count]);
        left_bytes -= count;
    }
}

fn send_without_end(stream: &mut TcpStream, bytes: &EndlessBytes) {
    let chunk = bytes.rest.repeat(16 * 1_024 / bytes.rest.len());
    let mut sent = stream.write_all(bytes.start.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(chunk.as_bytes());
    }
}

/// An entry node, a gate with its target, and the object store.
pub struct Fleet {
    pub edge: RunningDaemon,
    pub gate: RunningDaemon,
    pub target: Target,
    pub store: PlatformStandin,
    _runtime: Runtime,
}

impl Fleet {
    pub fn ready() -> Self {
        Self::ready_with_work(WORK)
    }

    /// A fleet whose target works on each request for this time.
    pub fn ready_with_work(work: Duration) -> Self {
        Self::ready_with(work, Faults::default(), Some("/health"))
    }

    /// A fleet whose configuration names no health check of the targets.
    pub fn ready_without_health_check() -> Self {
        Self::ready_with(WORK, Faults::default(), None)
    }

    /// A fleet that starts while the store has these faults.
    pub fn ready_with_faults(faults: Faults) -> Self {
        Self::ready_with(WORK, faults, Some("/health"))
    }

    fn ready_with(work: Duration, faults: Faults, health_path: Option<&str>) -> Self {
        let runtime = Runtime::new().unwrap();
        let store = runtime.block_on(PlatformStandin::start_local()).unwrap();
        store.set_faults(faults);
        let target = Target::start(work);
        let unused = SocketAddr::from(([127, 0, 0, 1], 9));
        let edge = launch(&store, "edge", "billing", unused);
        let gate = launch(&store, "gate", "schedules", target.address);
        let fleet = Self {
            edge,
            gate,
            target,
            store,
            _runtime: runtime,
        };
        fleet.write_configuration(health_path);
        fleet.heartbeat("i-1", 10, 1, READY);
        fleet.wait_until_known();
        fleet
    }

    /// Kills the gate and starts it again. The target runs on and sends its next heartbeat.
    pub fn restart_gate(&mut self) {
        self.gate.child.kill().unwrap();
        self.gate.child.wait().unwrap();
        self.gate = launch(&self.store, "gate", "schedules", self.target.address);
    }

    fn write_configuration(&self, health_path: Option<&str>) {
        let object = json!({"metadata": {"name": "main"}, "spec": {
            "version": "0000000c",
            "routes": {
                "columns": ["name", "host", "pathPrefix", "type", "timeoutMs", "priority", "maxAttempts", "service"],
                "rows": [
                    ["r-safe", "a.example", "/safe/", "safe", 5000, 2, 2, "schedules"],
                    ["r-well", "a.example", "/well/", "safe", 5000, 2, 2, "billing"],
                ],
            },
            "services": {
                "columns": ["name", "healthPath", "maxConnections"],
                "rows": [["schedules", health_path, 640], ["billing", health_path, 640]],
            },
        }});
        let written = post(self.store.address(), "/api/objects/config", &object);
        assert!(written.contains("200 OK"), "{written}");
    }

    fn replace_configuration(&self, object: &serde_json::Value) {
        let body = object.to_string();
        let length = body.len();
        let written = exchange(
            self.store.address(),
            &format!(
                "PUT /api/objects/config/main HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                 content-length: {length}\r\n\r\n{body}"
            ),
        );
        assert!(written.contains("200 OK"), "{written}");
    }

    /// Replaces the configuration by one with workspaces: rows of name, keys, priority, rate and burst. The entry for
    /// paths in `/safe/public/` is public.
    pub fn write_workspaces(&self, version: u32, rows: &serde_json::Value) {
        let object = json!({"metadata": {"name": "main"}, "spec": {
            "version": format!("{version:08x}"),
            "routes": {
                "columns": ["name", "host", "pathPrefix", "type", "timeoutMs", "priority", "maxAttempts", "public", "service"],
                "rows": [
                    ["r-safe", "a.example", "/safe/", "safe", 5000, 2, 2, false, "schedules"],
                    ["r-public", "a.example", "/safe/public/", "safe", 5000, 2, 2, true, "schedules"],
                ],
            },
            "services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["schedules", "/health", 640]]},
            "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"], "rows": rows},
        }});
        self.replace_configuration(&object);
    }

    /// Replaces the configuration by one with this many routes, whose paths are `/r/NUMBER/`.
    pub fn write_many_routes(&self, count: usize) {
        let row = |number| {
            let prefix = format!("/r/{number}/");
            json!([
                format!("r{number}"),
                "a.example",
                prefix,
                "safe",
                5_000,
                2,
                2,
                "schedules"
            ])
        };
        let rows: Vec<_> = (0..count).map(row).collect();
        let object = json!({"metadata": {"name": "main"}, "spec": {
            "version": "0000000d",
            "routes": {
                "columns": ["name", "host", "pathPrefix", "type", "timeoutMs", "priority", "maxAttempts", "service"],
                "rows": rows,
            },
            "services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["schedules", "/health", 640]]},
        }});
        self.replace_configuration(&object);
    }

    /// Sends a heartbeat of a process with its start, its number and its state.
    pub fn heartbeat(&self, process: &str, born_ms: u64, sequence: u64, state: &str) {
        let heartbeat = json!({
            "address": self.target.address.to_string(),
            "born": born_ms,
            "info": {"service": "schedules", "version": "v1", "zone": "dc1", "slots": 90},
            "status": {"state": state, "sequence": sequence, "coldRemainingMs": 0},
        });
        notify(&self.gate, process, "heartbeat", &heartbeat);
    }

    /// Sends the leave call of a process.
    pub fn leave(&self, process: &str, born_ms: u64) {
        notify(&self.gate, process, "leave", &json!({"born": born_ms}));
    }

    /// Starts a gate with a target of the service `billing`, whose requests have paths in `/well/`.
    pub fn add_billing(&self) -> (RunningDaemon, Target) {
        let target = Target::start(Duration::ZERO);
        let gate = launch(&self.store, "well", "billing", target.address);
        let heartbeat = json!({
            "address": target.address.to_string(),
            "born": 10,
            "info": {"service": "billing", "version": "v1", "zone": "dc1", "slots": 90},
            "status": {"state": READY, "sequence": 1, "coldRemainingMs": 0},
        });
        notify(&gate, "i-well", "heartbeat", &heartbeat);
        (gate, target)
    }

    /// Waits until the entry node has the target of the present gate to choose.
    pub fn wait_until_known(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        let path = "/explain?host=a.example&method=GET&path=/safe/view";
        loop {
            let found = get(self.edge.operators, path);
            if found.contains(&format!("\"address\":\"{}\"", self.gate.data)) {
                return;
            }
            assert!(Instant::now() < until, "no target is known: {found}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn send(&self) -> String {
        request(self.edge.callers, "9c41")
    }

    /// Sends a request to the gate's own entry.
    pub fn send_to_gate(&self) -> String {
        request(self.gate.callers, "9c42")
    }

    /// Waits until the gate that was started again has the configuration.
    pub fn wait_until_joined(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !get(self.gate.operators, "/api/ready").contains("200 OK") {
            assert!(Instant::now() < until, "the gate has no configuration");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends requests at the same time, before the target can respond to any of them.
    pub fn send_at_once(&self, count: usize) {
        let callers = self.edge.callers;
        let senders: Vec<_> = (0..count)
            .map(|number| thread::spawn(move || request(callers, &format!("b{number}"))))
            .collect();
        for sender in senders {
            sender.join().unwrap();
        }
    }

    /// Sends a request every 10 ms for `time`, without waiting for the responses.
    pub fn send_many(&self, time: Duration) {
        let until = Instant::now() + time;
        let callers = self.edge.callers;
        let mut senders = Vec::new();
        while Instant::now() < until {
            let id = format!("a{}", senders.len());
            senders.push(thread::spawn(move || request(callers, &id)));
            thread::sleep(Duration::from_millis(10));
        }
        for sender in senders {
            sender.join().unwrap();
        }
    }
}

fn notify(gate: &RunningDaemon, process: &str, call: &str, body: &serde_json::Value) {
    let path = format!("/api/instances/{process}/{call}");
    let answer = post(gate.operators, &path, body);
    assert!(answer.contains("200 OK"), "{answer}");
}

fn launch(store: &PlatformStandin, node: &str, service: &str, target: SocketAddr) -> RunningDaemon {
    start(&[
        "--deployment",
        "platform",
        "--node",
        node,
        "--service",
        service,
        "--platform-address",
        &store.address().to_string(),
        "--target-address",
        &target.to_string(),
        "--retry-share",
        "0.2",
        "--retry-slack",
        "48",
        "--kill-after-s",
        &KILL_AFTER.as_secs().to_string(),
    ])
}

pub fn request(callers: SocketAddr, id: &str) -> String {
    exchange(
        callers,
        &format!(
            "GET /safe/view HTTP/1.1\r\nhost: a.example\r\nx-jujubeline-attempt-id: {id}\r\n\
             x-jujubeline-deadline-ms: 3000\r\nconnection: close\r\n\r\n"
        ),
    )
}

fn post(address: SocketAddr, path: &str, body: &serde_json::Value) -> String {
    let body = body.to_string();
    let length = body.len();
    exchange(
        address,
        &format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        ),
    )
}
