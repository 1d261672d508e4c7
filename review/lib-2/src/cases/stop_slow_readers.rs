//! Nodes are stopped in turn while a client of each reads its answer slowly.

use {
    crate::{
        deployment::{
            Route, SERVICES, attempt_id, configuration, request, start_machines, wait_until_served,
        },
        http::{Connection, call},
        node::Node,
        record::Record,
        server::Work,
        small_window::connect_with_small_window,
        store::Store,
    },
    std::{
        io,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const PREFIX: &str = "/leny950/";
/// Time for which the client reads nothing after the first bytes of its answer.
const PAUSE: Duration = Duration::from_millis(3_800);
const TIMEOUT_MS: u32 = 6_000;
/// Nodes that are stopped. Each has one client.
const STOPS: usize = 8;
/// Sizes of answers that are tried to find the largest one that the node and the system buffer whole.
const FIRST_BYTES: usize = 40_000;
const LAST_BYTES: usize = 600_000;
const STEP_BYTES: usize = 4_000;
/// Time after which an answer that the buffers can hold has left the server and the node's count of requests in flight.
const SETTLE: Duration = Duration::from_millis(150);
/// The answers of the clients are smaller than the largest buffered one by multiples of this size.
const SPREAD_BYTES: usize = 2_000;
/// Time between the stops of two nodes.
const GAP: Duration = Duration::from_millis(1_000);

/// Sends a request for an answer of this size and waits for its first byte.
fn begin(node: &Node, bytes: usize, id: &str) -> io::Result<Connection> {
    let mut connection = Connection::new(connect_with_small_window(node.addresses.outbound)?);
    let patience = Duration::from_millis(u64::from(TIMEOUT_MS));
    connection.stream.set_read_timeout(Some(patience))?;
    let path = format!("{PREFIX}{bytes}");
    connection.write(request("GET", &path, id, TIMEOUT_MS).as_bytes())?;
    let mut first = [0];
    connection.stream.peek(&mut first)?;
    Ok(connection)
}

/// Whether the metrics of the node count a request in flight.
fn has_request_in_flight(node: &Node) -> io::Result<bool> {
    let request = "GET /metrics HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    let metrics = call(node.addresses.control, request, Duration::from_secs(2))?;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let counts = metrics
        .lines()
        .filter(|line| line.starts_with("jujubeline_in_flight{"));
    Ok(counts.clone().any(|line| !line.ends_with(" 0")))
}

/// Size of the largest answer that no longer counts as in flight although its client has read nothing. It depends on the
/// buffers of the system.
fn largest_buffered(node: &Node, record: &Record) -> io::Result<usize> {
    let mut largest = FIRST_BYTES;
    for bytes in (FIRST_BYTES..LAST_BYTES).step_by(STEP_BYTES) {
        let connection = begin(node, bytes, &attempt_id())?;
        thread::sleep(SETTLE);
        let is_buffered = !has_request_in_flight(node)?;
        drop(connection);
        thread::sleep(SETTLE);
        if is_buffered {
            largest = bytes;
        } else if bytes >= largest + 4 * STEP_BYTES {
            break;
        }
    }
    record.line(&format!("the largest buffered answer has {largest} bytes"));
    Ok(largest)
}

fn client(node: &Node, bytes: usize, record: &Record) -> io::Result<Option<String>> {
    let (sent, id) = (Instant::now(), attempt_id());
    record.line(&format!(
        "client of {} sends {id}, answer of {bytes} bytes",
        node.name
    ));
    let mut connection = begin(node, bytes, &id)?;
    thread::sleep(PAUSE);
    let answer = connection.read();
    let after = sent.elapsed().as_millis();
    let is_in_time = sent.elapsed() < Duration::from_millis(u64::from(TIMEOUT_MS));
    // A whole answer of any status does not break the rule.
    let (got, has_ended) = match answer {
        Ok(Some(answer)) => (answer.body.len(), false),
        Ok(None) => (0, true),
        Err(_) => (connection.read_ahead(), true),
    };
    let what = format!(
        "client of {} has {got} of {bytes} bytes after {after} ms",
        node.name
    );
    record.line(&what);
    Ok((has_ended && is_in_time && record.is_answered(&id)).then_some(what))
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start(Duration::ZERO)?;
    let work = |_: &str| -> Work {
        Arc::new(|request| {
            let size = request.target().rsplit('/').next();
            vec![b'x'; size.and_then(|size| size.parse().ok()).unwrap_or(2)]
        })
    };
    let machines = start_machines(&SERVICES, work, store.address, record)?;
    let route = Route {
        name: "r-n2ctnfz",
        prefix: PREFIX,
        kind: "safe",
        timeout_ms: TIMEOUT_MS,
        service: "batchbook",
    };
    store.put("config", "main", &configuration(7, &[route], &SERVICES));
    wait_until_served(&machines, &["/leny950/start"])?;
    thread::sleep(Duration::from_secs(4));
    // The machines beside the other services, so that the servers of the route stay.
    let mut others = machines
        .iter()
        .filter(|machine| machine.settings.service != "batchbook");
    let measured = others.next_back();
    let measured = &measured
        .ok_or_else(|| io::Error::other("no other service"))?
        .node;
    let largest = largest_buffered(measured, record)?;
    let sizes = (0..STOPS).map(|step| largest - step * SPREAD_BYTES);
    let mut broken = Vec::new();
    thread::scope(|scope| -> io::Result<()> {
        let mut clients = Vec::new();
        for (machine, bytes) in others.zip(sizes) {
            let node = &machine.node;
            clients.push(scope.spawn(move || client(node, bytes, record)));
            thread::sleep(Duration::from_millis(300));
            if has_trouble {
                node.signal("TERM", record)?;
            }
            thread::sleep(GAP);
        }
        for client in clients {
            let lost = client
                .join()
                .map_err(|_| io::Error::other("a client panicked"))??;
            broken.extend(lost.map(|what| format!("LOST: {what}")));
        }
        Ok(())
    })?;
    Ok(broken)
}
