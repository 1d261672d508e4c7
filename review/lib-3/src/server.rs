//! Stand-in for an application server beside a node.
//!
//! It runs `GET|POST .../work-MS/...` for that many milliseconds, drops a request whose connection closes, answers 421 if
//! another process is named, and sends heartbeats to the control address of its machine.

use {
    crate::{
        fleet::Node,
        http::{Head, call},
        record::Record,
    },
    std::{
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_500);

/// A request that reached the server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Duration,
}

pub struct Server {
    pub id: String,
    slots: usize,
    address: SocketAddr,
    service: String,
    control: SocketAddr,
    born_ms: u128,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_ended: AtomicBool,
    /// Whether the port refuses connections.
    is_closed: AtomicBool,
    beats: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

impl Server {
    /// Starts a server. It sends heartbeats once [`Server::announce`] was called.
    pub fn start(id: &str, node: &Node, slots: usize, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(node.app).expect("the server's port is free");
        listener.set_nonblocking(true).unwrap();
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            slots,
            address: node.app,
            service: node.service.clone(),
            control: node.control,
            born_ms: born_ms.as_millis(),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            beats: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            Arc::clone(&accepting).accept(&listener);
            drop(listener);
            accepting.is_closed.store(true, Ordering::SeqCst);
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.send_heartbeats());
        server
    }

    pub fn announce(&self) {
        self.beats.store(true, Ordering::SeqCst);
    }

    /// States that the server leaves, and returns the time of the acknowledgement.
    pub fn drain(&self) -> Option<Duration> {
        self.is_draining.store(true, Ordering::SeqCst);
        let is_acknowledged = self.send_heartbeat();
        let at = self.record.now();
        let what = if is_acknowledged {
            "acknowledged"
        } else {
            "not acknowledged"
        };
        self.record
            .line(&format!("server {} says that it drains: {what}", self.id));
        is_acknowledged.then_some(at)
    }

    /// Ends the server at once, as a crash does.
    pub fn crash(&self) {
        self.record.line(&format!("server {} crashes", self.id));
        self.end();
    }

    /// Sends the leave call and exits.
    pub fn leave(&self) {
        let path = format!("/api/instances/{}/leave", self.id);
        let json = format!("{{\"born\":{}}}", self.born_ms);
        let _ = call(self.control, "POST", &path, &json);
        self.record
            .line(&format!("server {} leaves and exits", self.id));
        self.end();
    }

    fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        while !self.is_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn has_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    fn send_heartbeats(&self) {
        while !self.has_ended() {
            if self.beats.load(Ordering::SeqCst) {
                self.send_heartbeat();
            }
            let until = Instant::now() + HEARTBEAT_PERIOD;
            while Instant::now() < until && !self.has_ended() {
                thread::sleep(Duration::from_millis(20));
                if self.beats.load(Ordering::SeqCst) && self.sequence.load(Ordering::SeqCst) == 0 {
                    break;
                }
            }
        }
    }

    /// Sends one heartbeat. Returns whether it was acknowledged.
    fn send_heartbeat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let json = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"z\",\
             \"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemainingMs\":0}}}}",
            self.address, self.born_ms, self.service, self.slots
        );
        let path = format!("/api/instances/{}/heartbeat", self.id);
        call(self.control, "POST", &path, &json).is_ok_and(|answer| answer.status == 200)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.has_ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(kept) = stream.try_clone() {
                self.connections.lock().unwrap().push(kept);
            }
            let server = Arc::clone(&self);
            thread::spawn(move || server.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            if self.has_ended() {
                return;
            }
            let answer = if head.word(1) == "/health" {
                Some(self.health())
            } else {
                let Ok(body) = head.read_body(&mut reader, false) else {
                    return;
                };
                self.run(&head, &body, &writer)
            };
            let Some(answer) = answer else { return };
            if self.has_ended() || writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn health(&self) -> String {
        let status = if self.is_draining.load(Ordering::SeqCst) {
            "503 Service Unavailable"
        } else {
            "200 OK"
        };
        let (id, slots) = (&self.id, self.slots);
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "HTTP/1.1 {status}\r\nx-jujubeline-instance-id: {id}\r\n\
             x-jujubeline-server-load: {running},0,{slots}\r\ncontent-length: 0\r\n\r\n"
        )
    }

    /// Runs a request; `None` if its connection closed meanwhile.
    fn run(&self, head: &Head, _body: &[u8], stream: &TcpStream) -> Option<String> {
        let id = head.field("x-jujubeline-attempt-id").unwrap_or_default();
        let path = head.word(1);
        let named = head.field("x-jujubeline-target-instance");
        if named.is_some_and(|named| named != self.id) {
            let own = &self.id;
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-jujubeline-attempt-id: {id}\r\n\
                 x-jujubeline-instance-id: {own}\r\nx-jujubeline-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            ));
        }
        let at = self.record.now();
        self.arrivals.lock().unwrap().push(Arrival {
            id: id.to_owned(),
            at,
        });
        self.record.line(&format!(
            "request {id} ({path}) reaches server {} and runs",
            self.id
        ));
        if path.contains("/endless/") {
            self.send_interim_responses(stream);
            self.record
                .line(&format!("the connection of {id} was closed"));
            return None;
        }
        let work = path.split('/').find_map(|part| part.strip_prefix("work-"));
        let work = Duration::from_millis(work.and_then(|text| text.parse().ok()).unwrap_or(5));
        self.running.fetch_add(1, Ordering::SeqCst);
        let is_done = self.work(work, stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let end = if is_done { "ends" } else { "is dropped" };
        self.record
            .line(&format!("its run ({id}) {end} at server {}", self.id));
        let body = format!("{} {}", self.service, path);
        let length = body.len();
        let (running, slots) = (self.running.load(Ordering::SeqCst), self.slots);
        is_done.then(|| {
            format!(
                "HTTP/1.1 200 OK\r\nx-jujubeline-attempt-id: {id}\r\nx-jujubeline-response-seal: {id}.{length}\r\n\
                 x-jujubeline-server-load: {running},0,{slots}\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        })
    }

    /// Sends interim responses until the node closes the connection.
    fn send_interim_responses(&self, mut stream: &TcpStream) {
        let responses = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(1_000);
        while !self.has_ended() && stream.write_all(responses.as_bytes()).is_ok() {}
    }

    /// Works for a time. Returns whether the connection stayed open meanwhile.
    fn work(&self, time: Duration, stream: &TcpStream) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            thread::sleep(
                until
                    .saturating_duration_since(Instant::now())
                    .min(Duration::from_millis(10)),
            );
            let _ = stream.set_nonblocking(true);
            let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
            let _ = stream.set_nonblocking(false);
            if is_closed || self.has_ended() {
                return false;
            }
        }
        true
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::SeqCst);
    }
}
