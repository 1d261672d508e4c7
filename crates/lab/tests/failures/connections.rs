//! Connections between nodes that stay open but deliver nothing more.

use {
    super::support::{Fleet, MAX_WAIT, Received, counts, eventually, get, run_test},
    jujubeline_standin::relay::Faults,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Maximum time until idempotent requests succeed again: the stall timeout, the time for the PING and a retry.
const RECOVERY_BOUND: Duration = Duration::from_secs(3);

/// Number of workers, each with one request in flight, at each entry node.
const WORKERS: usize = 4;

/// Time for which requests are sent after the connections have stopped delivering.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);

/// Pause of each worker between two requests.
const WORKER_PAUSE: Duration = Duration::from_millis(10);

/// A request: when it was sent, how long it took and its reply.
struct Exchange {
    sent_at: Instant,
    took: Duration,
    received: Received,
}

/// Guards against requests that wait on a silent connection until their deadline, and against a gate that gets no more
/// requests after its silent connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_between_nodes_is_replaced() {
    run_test(async {
        // Entry node 0 prefers the targets of its data centre, 0 and 2, and reaches target 2 through the relay. Entry
        // node 1 is in the other data centre, whose nodes have no relay.
        let fleet = Fleet::start_with_relays(4, &[2]).await;
        let relays = fleet.instances()[2].relays.as_ref();
        let relay = &relays.expect("the node has relays").data;
        let stop = CancellationToken::new();
        let mut workers = JoinSet::new();
        for worker in 0..WORKERS * 2 {
            let entry = worker % 2;
            workers.spawn(read_until(fleet.callers(entry), stop.clone()));
        }
        eventually(
            "the target behind the relay runs requests",
            MAX_WAIT,
            async || fleet.journal(2).len() > 50,
        )
        .await;

        let connections = relay.connections();
        let silent_at = Instant::now();
        relay.set(Faults {
            silence_open: true,
            ..Faults::default()
        });
        eventually("the connections are replaced", RECOVERY_BOUND, async || {
            relay.connections() > connections
        })
        .await;
        let ran = fleet.journal(2).len();
        eventually("the gate is used again", MAX_WAIT, async || {
            fleet.journal(2).len() > ran + 10
        })
        .await;
        sleep(OBSERVATION_TIME.saturating_sub(silent_at.elapsed())).await;
        stop.cancel();

        let exchanges: Vec<_> = workers.join_all().await.into_iter().flatten().collect();
        let failed = exchanges.iter().filter(|e| e.received.status != 200);
        let failed: Vec<_> = failed.map(|e| e.received.clone()).collect();
        assert!(failed.is_empty(), "failed requests: {:?}", counts(&failed));
        let slowest = exchanges.iter().map(|e| e.took).max();
        let slowest = slowest.expect("requests were sent");
        assert!(slowest <= RECOVERY_BOUND, "a request took {slowest:?}");
        let later = |e: &&Exchange| e.sent_at > silent_at + RECOVERY_BOUND;
        let late = exchanges.iter().filter(later).map(|e| e.took).max();
        let late = late.expect("requests were sent after the recovery");
        assert!(
            late < Duration::from_secs(1),
            "a later request took {late:?}"
        );
        // Requests to other nodes were not delayed: at most one request of each worker and connection waited on a
        // silent connection.
        let slow = exchanges
            .iter()
            .filter(|e| e.took >= Duration::from_secs(1));
        let slow = slow.count();
        assert!(slow <= WORKERS * 2, "{slow} requests were held up");
    })
    .await;
}

async fn read_until(address: SocketAddr, stop: CancellationToken) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    while !stop.is_cancelled() {
        let sent_at = Instant::now();
        let received = get(address, "/read/silent").await;
        exchanges.push(Exchange {
            sent_at,
            took: sent_at.elapsed(),
            received,
        });
        sleep(WORKER_PAUSE).await;
    }
    exchanges
}
