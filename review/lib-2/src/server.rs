//! Stand-in for an application server, with its heartbeats to the node beside it.

use {
    crate::{
        http::{Connection, Message, send_json},
        record::Record,
    },
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two heartbeats, `heartbeatMs` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Makes the body of the response to a request, after the time that the work takes.
pub type Work = Arc<dyn Fn(&Message) -> Vec<u8> + Send + Sync>;

/// A running server. Its threads end with the process.
#[derive(Debug, Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    zone: String,
    born_ms: u128,
    sequence: Arc<AtomicU64>,
}

impl Server {
    pub fn start(
        service: &str,
        id: &str,
        zone: &str,
        work: Work,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Self {
            address: listener.local_addr()?,
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born_ms: born.map_or(0, |born| born.as_millis()),
            sequence: Arc::default(),
        };
        let (serving, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, work, record) = (serving.clone(), Arc::clone(&work), record.clone());
                thread::spawn(move || server.serve(Connection::new(stream), &work, &record));
            }
        });
        Ok(server)
    }

    fn serve(&self, mut connection: Connection, work: &Work, record: &Record) {
        while let Ok(Some(request)) = connection.read() {
            let load = "0,0,90";
            if request.target() == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nx-jujubeline-instance-id: {}\r\nx-jujubeline-server-load: {load}\r\n\
                     content-length: 0\r\n\r\n",
                    self.id
                );
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request
                .header("x-jujubeline-attempt-id")
                .unwrap_or("-")
                .to_owned();
            let named = request.header("x-jujubeline-target-instance");
            if named.is_some_and(|named| named != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-jujubeline-attempt-id: {attempt}\r\n\
                     x-jujubeline-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                );
                if connection.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            record.line(&format!(
                "server {} ({}) runs {attempt}: {}",
                self.id, self.service, request.first_line
            ));
            let body = work(&request);
            record.line(&format!(
                "server {} has finished {attempt}, answer of {} bytes",
                self.id,
                body.len()
            ));
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nx-jujubeline-attempt-id: {attempt}\r\nx-jujubeline-response-seal: {}.{}\r\n\
                 x-jujubeline-server-load: {load}\r\ncontent-length: {}\r\n\r\n",
                self.id,
                body.len(),
                body.len()
            )
            .into_bytes();
            answer.extend_from_slice(&body);
            if connection.write(&answer).is_err() {
                record.line(&format!("server {} could not write {attempt}", self.id));
                return;
            }
            record.note_answered(&attempt);
        }
    }

    /// Sends heartbeats to the control address of the machine until the process ends.
    pub fn announce(&self, control: SocketAddr) {
        let server = self.clone();
        thread::spawn(move || {
            loop {
                // A node that starts does not listen yet; the next heartbeat reaches it.
                let is_sent = server.heartbeat(control, "ready").is_ok();
                thread::sleep(if is_sent { HEARTBEAT } else { HEARTBEAT / 10 });
            }
        });
    }

    pub fn heartbeat(&self, control: SocketAddr, state: &str) -> io::Result<Message> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":90}},"status":{{"state":"{state}","sequence":{sequence},"coldRemainingMs":0}}}}"#,
            self.address, self.born_ms, self.service, self.zone
        );
        let path = format!("/api/instances/{}/heartbeat", self.id);
        send_json(control, "POST", &path, &body)
    }
}
