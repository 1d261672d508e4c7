//! Demand that the callers of the experiments generate.

use {
    bytes::Bytes,
    http::Response,
    http_body_util::Empty,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    jujubeline_lab::experiment::{Callers, ExperimentPlan, Phases, Strategy, Trigger},
    std::{convert::Infallible, time::Instant},
    tokio::net::TcpListener,
};

/// Guards against callers that fall behind the planned demand. A timer takes 1 ms even when its time has passed, so a
/// sleep before each arrival limits them to about 900 arrivals per second; the rest of a larger demand is then not sent
/// and counts as lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_send_all_requests_at_high_demand() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        while let Ok((stream, _)) = socket.accept().await {
            let respond =
                service_fn(|_| async { Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new())) });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), respond));
        }
    });
    let plan = ExperimentPlan {
        strategy: Strategy::Jujubeline,
        trigger: Trigger::Demand(5),
        depth: 1,
        targets: 2,
        deep_slots: 4,
        deep_service_us: 20_000,
        base_load: 0.8,
        deadline_ms: 1_000,
        phases: Phases {
            warm_up_ms: 0,
            before_ms: 0,
            trigger_ms: 5_000,
            after_ms: 0,
        },
        seed: 1,
    };
    let records = Callers::new(plan, vec![address]).run(Instant::now()).await;
    server.abort();
    let unsent = records.iter().filter(|record| record.sends == 0).count();
    assert_eq!(unsent, 0, "of {} requests", records.len());
    // 5 s at 1,600 arrivals per second.
    assert!(records.len() > 7_500, "{} of 8,000 requests", records.len());
}
