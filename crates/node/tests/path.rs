//! The path of a request across separate processes.

mod support;

use support::{NodeProcess, call, call_http2, connect, entry, get, problem, target};

/// Guards against failures in the interaction of entry node, gate and target over HTTP/1.1 and HTTP/2.
#[tokio::test]
async fn get_reaches_the_target_through_entry_node_and_gate() {
    let target = target(4).await;
    let mut gate = NodeProcess::start("gate", "schedules", Some(target.address()), 4).await;
    let mut edge = NodeProcess::start("edge", "-", None, 0).await;
    let entry = entry("read", "GET", "/schedules/", "schedules", "");
    connect(&mut [&mut gate, &mut edge], &[&entry]).await;

    let response = call(edge.callers, get("/schedules/7?bytes=100000"))
        .await
        .unwrap();
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(response.body().len(), 100_000);
    let response = call_http2(gate.callers, "/schedules/7").await.unwrap();
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(target.executions().by_key["/schedules/7"], 2);
    assert!(gate.stopped().await);
    assert!(edge.stopped().await);
}

/// Guards against a request that runs at a target of another service. The address of an instance that is gone may have
/// been reused by an instance of that service.
#[tokio::test]
async fn gate_runs_no_request_for_another_service() {
    let target = target(4).await;
    let mut gate = NodeProcess::start("gate", "invoices", Some(target.address()), 4).await;
    let mut edge = NodeProcess::start("edge", "-", None, 0).await;
    let entry = entry("read", "GET", "/schedules/", "schedules", "");
    connect(&mut [&mut gate, &mut edge], &[&entry]).await;
    let outdated = format!("member gate schedules {} ready", gate.data);
    edge.send_command(&outdated).await;

    let response = call(edge.callers, get("/schedules/7")).await.unwrap();
    assert_eq!(response.status(), 503, "{response:?}");
    assert_eq!(problem(&response)["outcome"], "not_run", "{response:?}");
    assert!(target.executions().by_key.is_empty());
    assert!(edge.stopped().await);
    assert!(gate.stopped().await);
}
