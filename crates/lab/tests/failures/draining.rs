//! Draining targets and planned stops of nodes.

use {
    super::support::{Fleet, MAX_WAIT, counts, eventually, get, post_key, run_test, unix_ms},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time after the announcement of a drain from which the target must get no new work, in milliseconds.
const DRAIN_BOUND_MS: u64 = 5_000;

/// Time for which requests are sent after `DRAIN_BOUND_MS`, in milliseconds.
const OBSERVATION_MS: u64 = 4_000;

/// Pause of each worker between two requests.
const WORKER_PAUSE: Duration = Duration::from_millis(10);

/// Number of requests in flight at the node that stops.
const IN_FLIGHT: usize = 16;

/// Guards against an entry node or gate that still sends new work to a target later than `DRAIN_BOUND_MS` after the
/// target has announced that it drains.
#[tokio::test(flavor = "multi_thread")]
async fn draining_target_gets_no_new_work() {
    run_test(async {
        let fleet = Fleet::start(4).await;
        fleet.wait_for_claims().await;
        let stop = CancellationToken::new();
        let mut workers = JoinSet::new();
        for (number, address) in fleet.all_callers().into_iter().enumerate() {
            workers.spawn(send_both_kinds(number, address, stop.clone()));
        }
        eventually(
            "the target runs requests of both kinds",
            MAX_WAIT,
            async || {
                let journal = fleet.journal(0);
                let is_key = |(_, ran): &&(u64, String)| ran.starts_with("drain-");
                let keys = journal.iter().filter(is_key).count();
                keys >= 5 && journal.len() - keys >= 5
            },
        )
        .await;

        fleet.announce(0, "draining").await;
        let no_work_from_ms = unix_ms() + DRAIN_BOUND_MS;
        eventually("the observation time is over", MAX_WAIT, async || {
            unix_ms() > no_work_from_ms + OBSERVATION_MS
        })
        .await;
        stop.cancel();
        workers.join_all().await;

        let late = |instance| {
            let journal = fleet.journal(instance);
            journal
                .iter()
                .filter(|(at, _)| *at > no_work_from_ms)
                .count()
        };
        assert_eq!(late(0), 0, "executions at the draining target");
        for instance in 1..4 {
            assert!(late(instance) > 0, "target {instance} took over no work");
        }
    })
    .await;
}

/// Sends idempotent and at-most-once requests alternately until it is stopped.
async fn send_both_kinds(number: usize, address: SocketAddr, stop: CancellationToken) {
    let mut sent = 0;
    while !stop.is_cancelled() {
        sent += 1;
        get(address, "/read/drain").await;
        post_key(address, &format!("drain-{number}-{sent}"), "").await;
        sleep(WORKER_PAUSE).await;
    }
}

/// Guards against a planned stop that closes connections while their requests run, whether the stopping node is their
/// entry node or their gate.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_fails_no_request() {
    run_test(async {
        let mut fleet = Fleet::start(3).await;
        let stop = CancellationToken::new();
        let answered = Arc::new(AtomicU64::new(0));
        let mut others = JoinSet::new();
        for worker in 0..8 {
            let address = fleet.callers(1 + worker % 2);
            others.spawn(read_until(address, stop.clone(), Arc::clone(&answered)));
        }
        let mut in_flight = JoinSet::new();
        for _ in 0..IN_FLIGHT {
            let address = fleet.callers(0);
            in_flight.spawn(async move { get(address, "/read/long?service_ms=2000").await });
        }
        eventually("the long requests run", MAX_WAIT, async || {
            fleet.executions("/read/long").len() >= IN_FLIGHT
                && fleet.executions("/read/short").contains(&0)
        })
        .await;

        let node = fleet.deployment.instances[0].node.take();
        let success = node.expect("the node runs").terminate(MAX_WAIT).await;
        assert!(success.expect("the node ends"), "exit status of the node");

        let long = in_flight.join_all().await;
        assert!(
            long.iter().all(|received| received.status == 200),
            "requests in flight at the entry node: {:?}",
            counts(&long)
        );
        let before = answered.load(Ordering::Relaxed);
        eventually("the other nodes keep serving", MAX_WAIT, async || {
            answered.load(Ordering::Relaxed) > before + 100
        })
        .await;
        stop.cancel();
        let failed: Vec<_> = others.join_all().await.into_iter().flatten().collect();
        assert!(
            failed.is_empty(),
            "requests by way of other nodes: {:?}",
            counts(&failed)
        );
    })
    .await;
}

/// Sends requests with a service time of 100 ms until it is stopped; returns the results whose status is not 200.
async fn read_until(
    address: SocketAddr,
    stop: CancellationToken,
    answered: Arc<AtomicU64>,
) -> Vec<super::support::Received> {
    let mut failed = Vec::new();
    while !stop.is_cancelled() {
        let received = get(address, "/read/short?service_ms=100").await;
        if received.status == 200 {
            answered.fetch_add(1, Ordering::Relaxed);
        } else {
            failed.push(received);
        }
    }
    failed
}
