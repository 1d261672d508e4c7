//! Nodes as separate processes, with the start command and the settings of the deploy file.

use {
    crate::{http::call, record::Record},
    std::{
        ffi::{c_int, c_ulong},
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        os::unix::process::CommandExt,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Start command of the role `node` in the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/jujubelined";

/// Ports for the nodes, in turn.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
/// Ports in a block. Each run begins at a block of its own, so that scripts can run side by side.
const BLOCK_PORTS: u16 = 120;

const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

/// Addresses of a node.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub between_nodes: SocketAddr,
}

impl Addresses {
    /// Free ports of the loopback interface, below those that the system gives to outgoing connections.
    pub fn free() -> io::Result<Self> {
        let block = (std::process::id() % 90) as u16;
        let first = FIRST_PORT + block * BLOCK_PORTS;
        // Only the first call sets the port.
        let _ = NEXT_PORT.compare_exchange(0, first, Ordering::SeqCst, Ordering::SeqCst);
        let mut listeners = Vec::new();
        while listeners.len() < 5 {
            let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
            if port > LAST_PORT {
                return Err(io::Error::other("no free port"));
            }
            // The port serves TCP, and UDP between the nodes.
            let is_free_for_udp = UdpSocket::bind(("127.0.0.1", port)).is_ok();
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port))
                && is_free_for_udp
            {
                listeners.push(listener);
            }
        }
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        Ok(Self {
            outbound: addresses[0],
            inbound: addresses[1],
            ready: addresses[2],
            control: addresses[3],
            between_nodes: addresses[4],
        })
    }
}

/// Settings of a node that differ within a deployment.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub target: SocketAddr,
    pub platform: SocketAddr,
}

/// A running node. Dropping it kills the process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub addresses: Addresses,
    child: Child,
}

impl Node {
    pub fn start(settings: &Settings, addresses: Addresses, record: &Record) -> io::Result<Self> {
        let variables = [
            ("DEPLOYMENT", "platform".to_owned()),
            ("NODE", settings.name.clone()),
            ("REGION", "dalat".to_owned()),
            ("DATA_CENTRE", settings.zone.clone()),
            ("SERVICE", settings.service.clone()),
            ("TARGET_ADDRESS", settings.target.to_string()),
            ("CALLERS_ADDRESS", addresses.outbound.to_string()),
            ("DATA_ADDRESS", addresses.inbound.to_string()),
            ("CONTROL_ADDRESS", addresses.between_nodes.to_string()),
            ("OPERATORS_ADDRESS", addresses.control.to_string()),
            ("READY_ADDRESS", addresses.ready.to_string()),
            ("PLATFORM_ADDRESS", settings.platform.to_string()),
            ("RETRY_SHARE", "0.2".to_owned()),
            ("RETRY_SLACK", "49".to_owned()),
            ("KILL_AFTER_S", "6".to_owned()),
        ];
        let mut command = Command::new(PROGRAM);
        command.arg("run").env_clear();
        for (name, value) in variables {
            command.env(format!("JUJUBELINE_{name}"), value);
        }
        // The node ends with this process, however it ends.
        // SAFETY: prctl is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 {
                    return Ok(());
                }
                Err(io::Error::last_os_error())
            });
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        record.line(&format!(
            "node {} ({}, {}) started as process {}",
            settings.name,
            settings.service,
            settings.zone,
            child.id()
        ));
        Ok(Self {
            name: settings.name.clone(),
            addresses,
            child,
        })
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, name: &str, record: &Record) -> io::Result<()> {
        record.line(&format!("node {} gets SIG{name}", self.name));
        let process = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &process])
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other("kill failed"))
    }

    /// Waits until the node says that it is ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> io::Result<()> {
        let until = Instant::now() + timeout;
        while !self.is_ready() {
            if Instant::now() >= until {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        call(self.addresses.ready, request, Duration::from_secs(1))
            .is_ok_and(|response| response.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
