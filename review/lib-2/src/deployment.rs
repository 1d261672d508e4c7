//! A small deployment: three zones, four services, and a node with a server on each machine.

use {
    crate::{
        http::{Connection, Message},
        node::{Addresses, Node, Settings},
        record::Record,
        server::{Server, Work},
    },
    std::{
        io,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

pub const ZONES: [&str; 3] = ["dalat-a", "dalat-b", "dalat-c"];
pub const SERVICES: [&str; 4] = ["batchbook", "payroll", "packhouse", "dryloft"];
/// Host of all routes.
pub const HOST: &str = "hulo84.example";
/// Timeout for a state that the nodes must reach before a case begins.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A route of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    /// `safe` or `unsafe`.
    pub kind: &'a str,
    pub timeout_ms: u32,
    pub service: &'a str,
}

/// Text of a configuration.
pub fn configuration(version: u32, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let attempts = if route.kind == "safe" { 2 } else { 1 };
            format!(
                r#"["{}","{HOST}","{}","{}",{},1500,0,null,{attempts},"{}"]"#,
                route.name, route.prefix, route.kind, route.timeout_ms, route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| format!(r#"["{service}","/health",592,"h1",false]"#))
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","pathPrefix","type","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],"rows":[{}]}},"services":{{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A machine with its server and its node.
#[derive(Debug)]
pub struct Machine {
    pub node: Node,
    pub settings: Settings,
}

impl Machine {
    /// Starts a server and the node beside it.
    pub fn start(
        name: &str,
        zone: &str,
        service: &str,
        work: Work,
        platform: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let server = Server::start(service, &format!("i-{name}"), zone, work, record)?;
        let settings = Settings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            target: server.address,
            platform,
        };
        let node = Node::start(&settings, Addresses::free()?, record)?;
        server.announce(node.addresses.control);
        Ok(Self { node, settings })
    }
}

/// Starts a machine for each service and zone.
pub fn start_machines(
    services: &[&str],
    work: impl Fn(&str) -> Work,
    platform: SocketAddr,
    record: &Record,
) -> io::Result<Vec<Machine>> {
    let mut machines = Vec::new();
    for zone in ZONES {
        for service in services {
            let name = format!("sidecar-{zone}-{service}");
            let machine = Machine::start(&name, zone, service, work(service), platform, record)?;
            machines.push(machine);
        }
    }
    Ok(machines)
}

/// Waits until each node is ready and serves each path.
pub fn wait_until_served(machines: &[Machine], paths: &[&str]) -> io::Result<()> {
    let until = Instant::now() + START_TIMEOUT;
    for machine in machines {
        machine.node.wait_until_ready(START_TIMEOUT)?;
        for path in paths {
            loop {
                let id = format!("start-{}", attempt_id());
                let answer = exchange(machine.node.addresses.outbound, "GET", path, &id, 2_000);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() >= until {
                    let name = &machine.node.name;
                    return Err(io::Error::other(format!("{name} does not serve {path}")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
    Ok(())
}

/// Id of a client attempt.
pub fn attempt_id() -> String {
    use std::hash::{BuildHasher, Hasher, RandomState};
    format!("{:016x}", RandomState::new().build_hasher().finish())
}

/// Text of a request without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32) -> String {
    let length = if method == "GET" {
        ""
    } else {
        "Content-Length: 0\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Jujubeline-Attempt-Id: {id}\r\n\
         X-Jujubeline-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
}

/// Sends a request on a new connection and reads the response.
pub fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
) -> io::Result<Message> {
    let mut connection = Connection::connect(to)?;
    let patience = Duration::from_millis(u64::from(deadline_ms) + 500);
    connection.stream.set_read_timeout(Some(patience))?;
    connection.write(request(method, path, id, deadline_ms).as_bytes())?;
    let answer = connection.read()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
