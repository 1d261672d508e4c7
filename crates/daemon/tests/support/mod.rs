//! Daemon processes and plain HTTP/1.1 exchanges.

#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    time::Duration,
};

/// Bound on a response that must arrive.
const PATIENCE: Duration = Duration::from_secs(30);

/// Settings that are valid apart from what a test adds; ports come from the system.
pub const VALID: [(&str, &str); 8] = [
    ("NODE", "one"),
    ("REGION", "region1"),
    ("DATA_CENTRE", "dc1"),
    ("SERVICE", "schedules"),
    ("CALLERS_ADDRESS", "127.0.0.1:0"),
    ("DATA_ADDRESS", "127.0.0.1:0"),
    ("CONTROL_ADDRESS", "127.0.0.1:0"),
    ("OPERATORS_ADDRESS", "127.0.0.1:0"),
];

pub fn daemon(variables: &[(&str, &str)], arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubelined"));
    command.env_clear().arg("run").args(arguments);
    for (name, value) in variables {
        command.env(format!("JUJUBELINE_{name}"), value);
    }
    command
}

/// A daemon that has started, with the addresses from its first log line.
pub struct Started {
    pub child: Child,
    pub operators: SocketAddr,
    pub callers: SocketAddr,
}

impl Drop for Started {
    /// A test that fails leaves no process behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn start(arguments: &[&str]) -> Started {
    let mut child = daemon(&VALID, arguments)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines
        .find_map(|line| Some(line.unwrap()).filter(|line| line.contains("started: ")))
        .unwrap();
    // The rest is read so that the daemon never waits for its log.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |label: &str| {
        let after = line.split(label).nth(1).unwrap();
        after.split(',').next().unwrap().trim().parse().unwrap()
    };
    Started {
        operators: address("operators "),
        callers: address("callers "),
        child,
    }
}

pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    // Only a failing test reaches it; without a bound a hung daemon would hang the test run.
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
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

/// Asks a process to stop.
pub fn terminate(child: &Child) {
    send_signal(child, "-TERM");
}

/// Tells a process that its settings have changed.
pub fn hang_up(child: &Child) {
    send_signal(child, "-HUP");
}

fn send_signal(child: &Child, signal: &str) {
    let process = child.id().to_string();
    let sent = Command::new("kill").args([signal, &process]).status();
    assert!(sent.unwrap().success());
}
