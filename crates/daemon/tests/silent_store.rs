//! Daemons whose connections to the object store go silent.

mod support;

use {
    jujubeline_standin::{
        platform::PlatformStandin,
        relay::{FaultRelay, Faults},
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    support::{RunningDaemon, exchange, get, start},
    tokio::runtime::Runtime,
};

/// Time after which a node that lost its connections counts as in touch again, so that changes must be in effect there.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from a change until the connections go silent. All watches have begun anew by then.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time from the silence until the next change.
const CHANGED_AFTER: Duration = Duration::from_millis(900);
/// Timeout for a state that the daemons must reach.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn write_configuration(store: SocketAddr, method: &str, path: &str, version: u32) {
    let object = json!({"metadata": {"name": "main"}, "spec": {
        "version": format!("{version:08x}"),
        "routes": {
            "columns": ["name", "host", "pathPrefix", "type", "timeoutMs", "priority", "maxAttempts", "service"],
            "rows": [["r-safe", "a.example", "/safe/", "safe", 5000, 2, 2, "schedules"]],
        },
        "services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["schedules", "/health", 64]]},
    }});
    let body = object.to_string();
    let length = body.len();
    let written = exchange(
        store,
        &format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        ),
    );
    assert!(written.contains("200 OK"), "{written}");
}

fn launch(node: &str, store: SocketAddr) -> RunningDaemon {
    start(&[
        "--deployment",
        "platform",
        "--node",
        node,
        "--platform-address",
        &store.to_string(),
        "--target-address",
        "127.0.0.1:9",
        "--retry-share",
        "0.2",
        "--retry-slack",
        "48",
    ])
}

fn wait_for_revision(nodes: &[RunningDaemon], revision: u32, until: Instant) {
    let expected = format!("\"catalogue_revision\":{revision},");
    for node in nodes {
        loop {
            let status = get(node.operators, "/status");
            if status.contains(&expected) {
                break;
            }
            assert!(Instant::now() < until, "not revision {revision}: {status}");
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Guards against a change that takes effect late because all watches of the store wait on connections that have gone
/// silent.
#[test]
fn change_takes_effect_in_time_beside_silent_watches() {
    let runtime = Runtime::new().unwrap();
    let store = runtime.block_on(PlatformStandin::start_local()).unwrap();
    let relay = runtime
        .block_on(FaultRelay::start(store.address()))
        .unwrap();
    write_configuration(store.address(), "POST", "/api/objects/config", 7);
    // Two nodes of a data centre watch the store, so none reads it now and then.
    let nodes = ["one", "two"].map(|node| launch(node, relay.address()));
    wait_for_revision(&nodes, 7, Instant::now() + WAIT_TIMEOUT);
    let path = "/api/objects/config/main";
    write_configuration(store.address(), "PUT", path, 9);
    wait_for_revision(&nodes, 9, Instant::now() + WAIT_TIMEOUT);
    thread::sleep(SILENT_AFTER);
    relay.set(Faults {
        silence_open: true,
        ..Faults::default()
    });
    let silent = Instant::now();
    thread::sleep(CHANGED_AFTER);
    write_configuration(store.address(), "PUT", path, 12);
    wait_for_revision(&nodes, 12, silent + CONTACT_TIME);
    println!("in effect {:?} after the silence", silent.elapsed());
}
