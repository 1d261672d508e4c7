//! Helpers that start daemon processes and exchange HTTP/1.1 messages with them.

#![allow(dead_code)]

pub mod target_fleet;

use {
    socket2::{Domain, Socket, Type},
    std::{
        fs,
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        process::{Child, Command, Stdio},
        thread::JoinHandle,
        time::Duration,
    },
};

/// Read timeout for a response that must arrive.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest segment on an Ethernet. For the segments of 64 KB of the loopback interface, the system of the sender keeps
/// megabytes.
const ETHERNET_SEGMENT_BYTES: u32 = 1_460;

/// Valid settings, by environment variable without its prefix. The operating system chooses the ports.
pub const VALID_SETTINGS: [(&str, &str); 8] = [
    ("NODE", "one"),
    ("REGION", "region1"),
    ("DATA_CENTRE", "dc1"),
    ("SERVICE", "schedules"),
    ("CALLERS_ADDRESS", "127.0.0.1:0"),
    ("DATA_ADDRESS", "127.0.0.1:0"),
    ("CONTROL_ADDRESS", "127.0.0.1:0"),
    ("OPERATORS_ADDRESS", "127.0.0.1:0"),
];

/// Command for `jujubelined run` with these settings only.
pub fn daemon(variables: &[(&str, &str)], arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubelined"));
    command.env_clear().arg("run").args(arguments);
    for (name, value) in variables {
        command.env(format!("JUJUBELINE_{name}"), value);
    }
    command
}

/// A daemon process that has started, with the addresses from its log line about the start.
pub struct RunningDaemon {
    pub child: Child,
    pub operators: SocketAddr,
    pub callers: SocketAddr,
    pub data: SocketAddr,
    log: Option<JoinHandle<Vec<String>>>,
}

impl RunningDaemon {
    /// Highest resident memory of the process so far.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.unwrap().trim().trim_end_matches(" kB");
        kb.parse().unwrap()
    }

    /// Waits until the process has ended with status 0, and returns what it has logged since its start.
    pub fn log_until_end(&mut self) -> Vec<String> {
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        self.log.take().unwrap().join().unwrap()
    }
}

impl Drop for RunningDaemon {
    /// Kills the process, so that a failing test leaves none behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a daemon and waits until it logs its addresses.
pub fn start(arguments: &[&str]) -> RunningDaemon {
    let mut child = daemon(&VALID_SETTINGS, arguments)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines
        .find_map(|line| Some(line.unwrap()).filter(|line| line.contains("started: ")))
        .unwrap();
    // Further output is read, so that the daemon does not block on a full pipe.
    let log = std::thread::spawn(move || lines.map_while(Result::ok).collect());
    let address = |label: &str| {
        let after = line.split(label).nth(1).unwrap();
        after.split(',').next().unwrap().trim().parse().unwrap()
    };
    RunningDaemon {
        operators: address("operators "),
        callers: address("callers "),
        data: address("data "),
        log: Some(log),
        child,
    }
}

/// Connects with a receive buffer of this size. By default, the system takes megabytes of an answer.
pub fn connect_with_buffer(address: SocketAddr, buffer_bytes: usize) -> TcpStream {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(buffer_bytes).unwrap();
    socket.set_tcp_mss(ETHERNET_SEGMENT_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// Sends a request and reads until the connection ends.
pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    // Only a failing test reaches the timeout. Without one, a daemon that hangs would hang the test run.
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

pub fn get(address: SocketAddr, path: &str) -> String {
    exchange(
        address,
        &format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"),
    )
}

/// Sends SIGTERM to a process.
pub fn terminate(child: &Child) {
    send_signal(child, "-TERM");
}

/// Sends SIGHUP to a process, which announces changed settings.
pub fn hang_up(child: &Child) {
    send_signal(child, "-HUP");
}

/// Suspends a process until it is resumed.
pub fn pause(child: &Child) {
    send_signal(child, "-STOP");
}

/// Resumes a suspended process.
pub fn resume(child: &Child) {
    send_signal(child, "-CONT");
}

fn send_signal(child: &Child, signal: &str) {
    let process = child.id().to_string();
    let sent = Command::new("kill").args([signal, &process]).status();
    assert!(sent.unwrap().success());
}
