//! The `dev` command: two data centres in one process.

use {
    crate::{
        error::{DaemonError, DaemonResult},
        options::DevOptions,
        run::{self, StopSignals},
        settings,
    },
    error_stack::{Report, ResultExt},
    jujubeline_catalogue::{Change, Edit, Entry, Preference, change_name},
    jujubeline_core::{Class, Peer, Step, StepError},
    jujubeline_node::{Node, NodeSettings},
    jujubeline_platform::{Kind, PlatformClient, PlatformSettings},
    jujubeline_standin::{
        platform::PlatformStandin,
        targets::{TargetSettings, TargetStandin},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Default callers' address of the first node.
const DEFAULT_CALLERS_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7400);
/// Default operators' address of the first node.
const DEFAULT_OPERATORS_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7401);
const REGION: &str = "jm-south";
/// Instances: name, data centre and service.
const INSTANCES: [(&str, &str, &str); 4] = [
    ("kingston-1", "kingston", "schedules"),
    ("kingston-2", "kingston", "invoices"),
    ("montego-1", "montego-bay", "schedules"),
    ("montego-2", "montego-bay", "invoices"),
];
/// Requests that each demonstration target runs concurrently.
const SLOTS: u32 = 16;
/// Connections that each demonstration target accepts.
const CONNECTIONS: u32 = 64;
/// Time that a request occupies a slot of its target.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Longest time that each node waits at shutdown for requests in flight.
const STOP_GRACE: Duration = Duration::from_secs(5);

/// Components of the demonstration, in start order.
struct Demonstration {
    platform: PlatformStandin,
    instances: Vec<(Node, TargetStandin)>,
}

/// Runs the demonstration until Ctrl-C.
///
/// # Errors
///
/// When a setting is invalid, or a component does not start or does not stop cleanly.
pub fn run(options: &DevOptions) -> DaemonResult<()> {
    let callers = settings::optional_address("callers-address", options.callers_address.as_ref())?;
    let operators =
        settings::optional_address("operators-address", options.operators_address.as_ref())?;
    let runtime = run::runtime()?;
    runtime.block_on(async {
        let mut stop = StopSignals::listen()?;
        let demonstration = Demonstration::start(
            callers.unwrap_or(DEFAULT_CALLERS_ADDRESS),
            operators.unwrap_or(DEFAULT_OPERATORS_ADDRESS),
        )
        .await?;
        demonstration.print_instructions();
        stop.wait().await;
        demonstration.stop().await
    })
}

impl Demonstration {
    async fn start(callers: SocketAddr, operators: SocketAddr) -> DaemonResult<Self> {
        let platform = PlatformStandin::start(ephemeral_address())
            .await
            .change_context(DaemonError::Start)?;
        write_catalogue(platform.address()).await?;
        let mut instances: Vec<(Node, TargetStandin)> = Vec::new();
        let mut seeds = Vec::new();
        for (index, (name, data_centre, service)) in INSTANCES.into_iter().enumerate() {
            let is_first = index == 0;
            let control_address = unused_address()?;
            let settings = NodeSettings {
                region: REGION.into(),
                target_connections: CONNECTIONS,
                target_slots: SLOTS,
                callers_address: if is_first {
                    callers
                } else {
                    ephemeral_address()
                },
                control_address,
                operators_address: if is_first {
                    operators
                } else {
                    ephemeral_address()
                },
                platform_address: Some(platform.address()),
                seeds: seeds.clone(),
                stop_grace: STOP_GRACE,
                ..NodeSettings::on_loopback(name, data_centre, service)
            };
            seeds.push(control_address);
            let node = Node::start(settings)
                .await
                .change_context(DaemonError::Start)?;
            let target = start_target(&node).await?;
            instances.push((node, target));
        }
        Ok(Self {
            platform,
            instances,
        })
    }

    fn print_instructions(&self) {
        let Some((node, _)) = self.instances.first() else {
            return;
        };
        let (callers, operators) = (node.callers_address(), node.operators_address());
        let platform = self.platform.address();
        println!("Two data centres run in this process. Ctrl-C ends them.");
        println!("callers {callers}, operators {operators}, platform {platform}");
        println!();
        println!("Read a schedule, and see what a node would do with the request:");
        println!("  curl -i http://{callers}/schedules/half-way-tree/escalator-3");
        println!(
            "  curl -s 'http://{operators}/explain?method=GET&path=/schedules/half-way-tree/escalator-3'"
        );
        println!("Raise an invoice at most once; the second call returns the first response:");
        println!(
            "  curl -i -H 'Idempotency-Key: invoice-1001' -d '{{\"visit\": 17}}' http://{callers}/invoices/rose-hall"
        );
        println!("See the members and the counters:");
        println!("  curl -s http://{operators}/status");
        println!("  curl -s http://{operators}/metrics | grep jujubeline_refusals");
        println!("Change the catalogue:");
        println!(
            "  export JUJUBELINE_PLATFORM_ADDRESS={platform} JUJUBELINE_OPERATORS_ADDRESS={operators}"
        );
        println!("  jujubeline catalogue get > catalogue.toml");
        println!("  jujubeline catalogue apply catalogue.toml --wait");
    }

    async fn stop(self) -> DaemonResult<()> {
        let mut result = Ok(());
        for (node, target) in self.instances {
            if let Err(report) = node.stop().await {
                result = Err(report.change_context(DaemonError::Stop));
            }
            target.stop().await;
        }
        self.platform.stop().await;
        result
    }
}

async fn start_target(node: &Node) -> DaemonResult<TargetStandin> {
    let target = TargetStandin::start(TargetSettings {
        address: ephemeral_address(),
        slots: SLOTS,
        connections: CONNECTIONS,
        service: SERVICE_TIME,
        queue: SLOTS,
        call_addresses: vec![node.callers_address()],
        calls: Vec::new(),
        call_retries: 0,
        journal: None,
    })
    .await
    .change_context(DaemonError::Start)?;
    target
        .announcement("ready")
        .send(node.operators_address())
        .await
        .change_context(DaemonError::Start)?;
    Ok(target)
}

/// Creates revision 1 of the catalogue on the platform, as `jujubeline catalogue apply` does.
async fn write_catalogue(platform: SocketAddr) -> DaemonResult<()> {
    let made_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .change_context(DaemonError::Start)?;
    let change = Change {
        revision: 1,
        change_id: format!("dev-{}", made_at.as_micros()),
        author: "jujubelined dev".to_owned(),
        made_at_ms: u64::try_from(made_at.as_millis()).unwrap_or(u64::MAX),
        edits: entries().into_iter().map(Edit::Set).collect(),
    };
    let value = serde_json::to_value(&change).change_context(DaemonError::Start)?;
    PlatformClient::new(PlatformSettings::new(platform))
        .create(Kind::CatalogueChanges, &change_name(1), value)
        .await
        .change_context(DaemonError::Start)?;
    Ok(())
}

fn entries() -> [Entry; 2] {
    let entry = |name: &str, method: &str, path_prefix: &str, service: &str| Entry {
        name: name.into(),
        owner: "blue-mahoe".to_owned(),
        host: None,
        method: method.to_owned(),
        path_prefix: path_prefix.to_owned(),
        service: service.into(),
        split: Vec::new(),
        class: Class::Normal,
        deadline_ms: 2_000,
        retry_bound: 3,
        max_attempts: None,
        concurrency: CONNECTIONS,
        at_most_once: false,
        keyed: true,
        public: false,
        prefer: Preference::Goodput,
        unreadable: false,
    };
    [
        entry("schedules-read", "GET", "/schedules/", "schedules"),
        Entry {
            class: Class::Critical,
            deadline_ms: 5_000,
            at_most_once: true,
            ..entry("invoices-raise", "POST", "/invoices/", "invoices")
        },
    ]
}

/// Loopback address with port 0, for which the operating system assigns a free port.
const fn ephemeral_address() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Returns a loopback address whose port is unused at the time of the call. The control plane needs to know its port
/// before it starts.
fn unused_address() -> DaemonResult<SocketAddr> {
    let probe = TcpListener::bind(ephemeral_address()).and_then(|listener| listener.local_addr());
    probe.map_err(|error| {
        let detail = format!("no free port: {error}");
        Report::new(StepError::new(Step::Listen, Peer::Local, detail))
            .change_context(DaemonError::Start)
    })
}
