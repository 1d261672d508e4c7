//! Nodes are stopped in turn while a client of each reads its answer slowly.

use {
    crate::{
        deployment::{
            Route, SERVICES, attempt_id, configuration, request, start_machines, wait_until_served,
        },
        http::Connection,
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
/// Sizes of the answers, one for each node that is stopped. What the system buffers differs between machines.
const ANSWER_BYTES: [usize; 9] = [
    50_000, 56_000, 62_000, 68_000, 72_000, 76_000, 80_000, 84_000, 90_000,
];
/// Time between the stops of two nodes.
const GAP: Duration = Duration::from_millis(1_000);

fn client(node: &Node, bytes: usize, record: &Record) -> io::Result<Option<String>> {
    let mut connection = Connection::new(connect_with_small_window(node.addresses.outbound)?);
    let patience = Duration::from_millis(u64::from(TIMEOUT_MS));
    connection.stream.set_read_timeout(Some(patience))?;
    let (sent, id) = (Instant::now(), attempt_id());
    connection.write(request("GET", &format!("{PREFIX}{bytes}"), &id, TIMEOUT_MS).as_bytes())?;
    record.line(&format!(
        "client of {} sends {id}, answer of {bytes} bytes",
        node.name
    ));
    let mut first = [0];
    connection.stream.peek(&mut first)?;
    thread::sleep(PAUSE);
    let answer = connection.read();
    let after = sent.elapsed().as_millis();
    let (got, whole) = match answer {
        Ok(Some(answer)) => (answer.body.len(), answer.body.len() == bytes),
        Ok(None) => (0, false),
        Err(_) => (connection.read_ahead(), false),
    };
    let what = format!(
        "client of {} has {got} of {bytes} bytes after {after} ms",
        node.name
    );
    record.line(&what);
    Ok((!whole).then_some(what))
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
    let others = machines
        .iter()
        .filter(|machine| machine.settings.service != "batchbook");
    let mut broken = Vec::new();
    thread::scope(|scope| -> io::Result<()> {
        let mut clients = Vec::new();
        for (machine, bytes) in others.zip(ANSWER_BYTES) {
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
