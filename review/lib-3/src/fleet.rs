//! Nodes of a deployment, started as the deploy file starts them.

use {
    crate::{http::call, record::Record, store::Store},
    std::{
        fs::File,
        net::{SocketAddr, TcpListener, UdpSocket},
        os::unix::process::CommandExt,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that the bounds of a small deployment count as the one in touch.
pub const CONTACT: Duration = Duration::from_millis(3_000);
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// First of the ports that are tried. They lie below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 18_000;

/// An address whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = u16::try_from(std::process::id() % 100).unwrap_or(0) * 100;
    loop {
        let port = FIRST_PORT + offset + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Asks the system to kill this process when the thread that started it ends, however that happens.
pub fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: std::ffi::c_ulong = 9;
    // SAFETY: the call has no effect but the signal.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A node with the addresses of its machine.
pub struct Node {
    name: String,
    zone: String,
    pub service: String,
    pub outbound: SocketAddr,
    inbound: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    pub app: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
    logs: String,
    process: Option<Child>,
}

impl Node {
    pub fn new(name: &str, zone: &str, service: &str, store: &Store, logs: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            outbound: free_address(),
            inbound: free_address(),
            control: free_address(),
            ready: free_address(),
            app: free_address(),
            peers: free_address(),
            store: store.address,
            logs: logs.to_owned(),
            process: None,
        }
    }

    /// The start command and the environment of `deploy/system.toml`.
    fn command(&self) -> Command {
        let mut command = Command::new("target/release/jujubelined");
        command.arg("run").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command
            .env("JUJUBELINE_DEPLOYMENT", "platform")
            .env("JUJUBELINE_NODE", &self.name)
            .env("JUJUBELINE_REGION", "dalat")
            .env("JUJUBELINE_DATA_CENTRE", &self.zone)
            .env("JUJUBELINE_SERVICE", &self.service)
            .env("JUJUBELINE_TARGET_ADDRESS", self.app.to_string())
            .env("JUJUBELINE_CALLERS_ADDRESS", self.outbound.to_string())
            .env("JUJUBELINE_DATA_ADDRESS", self.inbound.to_string())
            .env("JUJUBELINE_CONTROL_ADDRESS", self.peers.to_string())
            .env("JUJUBELINE_OPERATORS_ADDRESS", self.control.to_string())
            .env("JUJUBELINE_READY_ADDRESS", self.ready.to_string())
            .env("JUJUBELINE_PLATFORM_ADDRESS", self.store.to_string())
            .env("JUJUBELINE_RETRY_SHARE", "0.2")
            .env("JUJUBELINE_RETRY_SLACK", "49")
            .env("JUJUBELINE_KILL_AFTER_S", "6");
        command
    }

    /// Starts the node with its logs in files.
    pub fn start(&mut self, record: &Record) {
        let log = |stream: &str| {
            let path = format!("{}/{}.{stream}", self.logs, self.name);
            File::create(path).expect("logs can be written")
        };
        self.start_with(log("out").into(), log("err").into(), record);
    }

    /// Starts the node with its logs in the given places.
    pub fn start_with(&mut self, stdout: Stdio, stderr: Stdio, record: &Record) {
        let mut command = self.command();
        // SAFETY: the call only asks the system to end the new process together with this thread.
        unsafe { command.pre_exec(end_with_parent) };
        let process = command
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn();
        self.process = Some(process.expect("the node starts"));
        record.line(&format!("node {} started", self.name));
    }

    fn end(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn process_id(&self) -> i32 {
        let process = self.process.as_ref().expect("the node runs");
        i32::try_from(process.id()).expect("ids of processes fit")
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/api/ready", "").is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits for a state of the deployment. Returns whether it was reached.
pub fn wait_for(mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// One route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u32,
    pub service: &'a str,
}

/// The configuration as the operator writes it.
pub fn configuration(version: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "[\"{}\",\"hulo84.example\",\"{}\",\"{}\",{},1500,2,null,2,\"{}\"]",
                route.name, route.prefix, route.kind, route.timeout_ms, route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| format!("[\"{service}\",\"/health\",592,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"type\",\"timeoutMs\",\
         \"targetLatencyMs\",\"priority\",\"trafficSplit\",\"maxAttempts\",\"service\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A request of a client without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: hulo84.example\r\nX-Jujubeline-Attempt-Id: {id}\r\n\
         X-Jujubeline-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}
