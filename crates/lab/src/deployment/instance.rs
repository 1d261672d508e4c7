//! An instance: a target process and the node beside it.

use {
    crate::{
        load::{Call, Connection},
        process::{Process, ProcessError},
    },
    jujubeline_standin::relay::FaultRelay,
    std::{
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Number of port sets tried for a new node; another process may bind a port between the check and the start.
const PORT_ATTEMPTS: usize = 5;

/// Ports of the nodes, below the ephemeral ports that the kernel assigns to outgoing connections.
const NODE_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Maximum time from the start of a node until it answers on `/livez`.
const LIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two polls of `/livez`.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// An instance to start.
#[derive(Debug, Clone)]
pub struct InstancePlan {
    /// Unique name of the instance.
    pub name: String,
    /// Region that the node announces.
    pub region: String,
    /// Data centre that the node announces.
    pub data_centre: String,
    /// Service that its target runs.
    pub service: String,
    /// Number of requests that its target runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that its target announces; the stand-in does not enforce it.
    pub connections: u32,
    /// Number of requests that wait for a slot before the target sheds further ones.
    pub queue: u32,
    /// Time that a request holds a slot, in microseconds.
    pub service_us: u64,
    /// Paths that the target calls for each request, through its node if it has one.
    pub calls: Vec<String>,
    /// Whether a target runs beside the node.
    pub has_target: bool,
    /// Whether the node advertises the addresses of relays. Other nodes then reach it through these relays, which can
    /// inject faults.
    pub has_relays: bool,
    /// File to which the target appends each execution.
    pub journal: Option<PathBuf>,
}

/// Addresses of a node, which it keeps across restarts.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// Address for HTTP requests of callers.
    pub callers: SocketAddr,
    /// Address for HTTP/2 connections from other nodes.
    pub data: SocketAddr,
    /// Address for control messages of other nodes.
    pub control: SocketAddr,
    /// Address of the operators' HTTP server: status, probes and metrics.
    pub operators: SocketAddr,
}

impl NodeAddresses {
    /// Chooses ports that are free at the moment. Another process may bind one before the node does, so the start of
    /// the node may have to be retried with other ports.
    fn with_free_ports() -> Self {
        Self {
            callers: free_address(),
            data: free_address(),
            control: free_address(),
            operators: free_address(),
        }
    }
}

/// Returns a loopback address whose port is free for both TCP and UDP.
fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::random_range(NODE_PORTS)));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fault relays in front of a node's addresses for other nodes. They keep running while the node restarts.
#[derive(Debug)]
pub struct NodeRelays {
    /// Relay to the address for HTTP/2 connections.
    pub data: FaultRelay,
    /// Relay to the address for control messages.
    pub control: FaultRelay,
}

impl NodeRelays {
    async fn start(addresses: &NodeAddresses) -> io::Result<Self> {
        Ok(Self {
            data: FaultRelay::start(addresses.data).await?,
            control: FaultRelay::start(addresses.control).await?,
        })
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    /// Plan from which the instance was started; restarts use it again.
    pub plan: InstancePlan,
    /// Process of the node; none while it is stopped.
    pub node: Option<Process>,
    /// Process of the target; none while it is stopped or when the plan has no target.
    pub target: Option<Process>,
    /// Addresses on which the node listens.
    pub addresses: NodeAddresses,
    /// Relays in front of the node; none when the plan asks for no relays.
    pub relays: Option<NodeRelays>,
    /// Address on which the target listens; port 0 before its first start.
    pub target_address: SocketAddr,
    platform: SocketAddr,
}

impl Instance {
    /// Starts the node, waits until it is live and then starts the target, which announces itself to the node.
    ///
    /// # Errors
    ///
    /// When a process does not start or the node is not live in time.
    pub async fn start(plan: InstancePlan, platform: SocketAddr) -> Result<Self, ProcessError> {
        let (node, addresses, relays) = start_new_node(&plan, platform).await?;
        let mut instance = Self {
            plan,
            node: Some(node),
            target: None,
            addresses,
            relays,
            target_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            platform,
        };
        if instance.plan.has_target {
            instance.start_target().await?;
        }
        Ok(instance)
    }

    /// Kills the target with SIGKILL, without a drain.
    pub async fn kill_target(&mut self) {
        if let Some(target) = self.target.take() {
            target.kill().await;
        }
    }

    /// Kills the node with SIGKILL, without a drain.
    pub async fn kill_node(&mut self) {
        if let Some(node) = self.node.take() {
            node.kill().await;
        }
    }

    /// Starts the target; after the first start it listens on the same address again.
    ///
    /// # Errors
    ///
    /// When the process does not start.
    pub async fn start_target(&mut self) -> Result<(), ProcessError> {
        let target = start_target(&self.plan, self.target_address, &self.addresses).await?;
        self.target_address = target.address("address")?;
        self.target = Some(target);
        Ok(())
    }

    /// Starts the node again on the same addresses and waits until it is live.
    ///
    /// # Errors
    ///
    /// When the process does not start or is not live in time.
    pub async fn start_node(&mut self) -> Result<(), ProcessError> {
        let mut node = start_node(
            &self.plan,
            self.platform,
            &self.addresses,
            self.relays.as_ref(),
        )?;
        wait_until_live(&mut node, &self.plan.name, self.addresses.operators).await?;
        self.node = Some(node);
        Ok(())
    }
}

async fn start_new_node(
    plan: &InstancePlan,
    platform: SocketAddr,
) -> Result<(Process, NodeAddresses, Option<NodeRelays>), ProcessError> {
    let mut last = None;
    for _ in 0..PORT_ATTEMPTS {
        let addresses = NodeAddresses::with_free_ports();
        let relays = if plan.has_relays {
            Some(start_relays(plan, &addresses).await?)
        } else {
            None
        };
        let mut node = start_node(plan, platform, &addresses, relays.as_ref())?;
        match wait_until_live(&mut node, &plan.name, addresses.operators).await {
            Ok(()) => return Ok((node, addresses, relays)),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| ProcessError {
        name: plan.name.clone(),
        detail: "no start was attempted".to_owned(),
    }))
}

async fn start_relays(
    plan: &InstancePlan,
    addresses: &NodeAddresses,
) -> Result<NodeRelays, ProcessError> {
    let relays = NodeRelays::start(addresses).await;
    relays.map_err(|error| ProcessError {
        name: plan.name.clone(),
        detail: format!("cannot start a fault relay: {error}"),
    })
}

async fn wait_until_live(
    node: &mut Process,
    name: &str,
    operators: SocketAddr,
) -> Result<(), ProcessError> {
    let until = Instant::now() + LIVE_TIMEOUT;
    while Instant::now() < until && !node.has_exited() {
        if let Ok(mut connection) = Connection::open(operators).await
            && connection.call(&Call::get("/livez")).await.is_ok()
        {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    Err(ProcessError {
        name: name.to_owned(),
        detail: "the node exited or did not answer /livez in time".to_owned(),
    })
}

fn start_node(
    plan: &InstancePlan,
    platform: SocketAddr,
    addresses: &NodeAddresses,
    relays: Option<&NodeRelays>,
) -> Result<Process, ProcessError> {
    let mut arguments = [
        "run",
        "--node",
        &plan.name,
        "--region",
        &plan.region,
        "--data-centre",
        &plan.data_centre,
        "--service",
        &plan.service,
        "--target-slots",
        &plan.slots.to_string(),
        "--target-connections",
        &plan.connections.to_string(),
        "--callers-address",
        &addresses.callers.to_string(),
        "--data-address",
        &addresses.data.to_string(),
        "--control-address",
        &addresses.control.to_string(),
        "--operators-address",
        &addresses.operators.to_string(),
        "--platform-address",
        &platform.to_string(),
    ]
    .map(str::to_owned)
    .to_vec();
    if let Some(relays) = relays {
        arguments.extend([
            "--advertised-data-address".to_owned(),
            relays.data.address().to_string(),
            "--advertised-control-address".to_owned(),
            relays.control.address().to_string(),
        ]);
    }
    Process::start_without_address("jujubelined", &arguments)
}

async fn start_target(
    plan: &InstancePlan,
    address: SocketAddr,
    node: &NodeAddresses,
) -> Result<Process, ProcessError> {
    let mut arguments = target_arguments(plan, address);
    arguments.extend(["--operators".to_owned(), node.operators.to_string()]);
    arguments.extend(["--node".to_owned(), node.callers.to_string()]);
    Process::start("jujubeline-standin", &arguments).await
}

/// Arguments of a target stand-in, without those that name the node beside it.
pub(crate) fn target_arguments(plan: &InstancePlan, address: SocketAddr) -> Vec<String> {
    let mut arguments: Vec<String> = [
        "target",
        "--address",
        &address.to_string(),
        "--slots",
        &plan.slots.to_string(),
        "--connections",
        &plan.connections.to_string(),
        "--queue",
        &plan.queue.to_string(),
        "--service-us",
        &plan.service_us.to_string(),
    ]
    .map(str::to_owned)
    .to_vec();
    if let Some(journal) = &plan.journal {
        arguments.extend(["--journal".to_owned(), journal.display().to_string()]);
    }
    for call in &plan.calls {
        arguments.extend(["--call".to_owned(), call.clone()]);
    }
    arguments
}
