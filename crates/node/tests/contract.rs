//! Guarantees of the data path to callers and targets, tested with nodes in separate processes.

mod support;

use {
    bytes::Bytes,
    futures::future::join_all,
    http::{Request, StatusCode},
    http_body_util::Full,
    jujubeline_standin::targets::TargetStandin,
    support::{
        Exchange, NodeProcess, call, call_http2, connect, entry, get, problem, start_call, target,
        target_with_calls, wait_for,
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        net::{TcpListener, TcpStream},
    },
};

/// A node with a target, and an edge node without one whose requests run at it.
struct Pair {
    target: TargetStandin,
    gate: NodeProcess,
    edge: NodeProcess,
}

async fn pair(slots: u32) -> Pair {
    let target = target(slots).await;
    let mut gate = NodeProcess::start("gate", "schedules", Some(target.address()), slots).await;
    let mut edge = NodeProcess::start("edge", "-", None, 0).await;
    let read = entry("read", "GET", "/schedules/", "schedules", "");
    let book = entry(
        "book",
        "POST",
        "/bookings/",
        "schedules",
        r#","at_most_once":true"#,
    );
    let urgent = entry("urgent", "GET", "/urgent/", "schedules", "");
    let urgent = urgent.replace("normal", "critical");
    let later = entry("later", "GET", "/later/", "schedules", "").replace("normal", "low");
    let all = [
        read.as_str(),
        book.as_str(),
        urgent.as_str(),
        later.as_str(),
    ];
    connect(&mut [&mut gate, &mut edge], &all).await;
    Pair { target, gate, edge }
}

/// Guards against a truncated body that the caller receives as complete.
#[tokio::test]
async fn truncated_body_is_never_received_as_complete() {
    let pair = pair(4).await;
    for fault in ["cut", "cut_chunked"] {
        for address in [pair.edge.callers, pair.gate.callers] {
            let path = format!("/schedules/1?bytes=50000&fault={fault}");
            let first = call(address, get(&path)).await;
            let second = call_http2(address, &path).await;
            for exchange in [first, second] {
                // A refusal is as acceptable as a broken connection, because the caller takes neither for the response.
                let complete = exchange.is_ok_and(|response| response.status().is_success());
                assert!(!complete, "{fault} via {address}");
            }
        }
    }
}

/// Guards against a body that ends with the connection, which cannot be told from a truncated one.
#[tokio::test]
async fn a_body_without_a_provable_end_is_refused() {
    let pair = pair(4).await;
    let response = call(pair.edge.callers, get("/schedules/1?fault=undeclared"))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let problem = problem(&response);
    assert_eq!(problem["reason"], "answer_cut_short");
    assert_eq!(problem["outcome"], "unknown");
}

/// Guards against the late response to an abandoned request being delivered to the next request on the connection.
#[tokio::test]
async fn late_response_never_reaches_another_request() {
    let pair = pair(1).await;
    for round in 0..5 {
        let mut slow = get("/schedules/slow?service_ms=300&bytes=11");
        slow.headers_mut()
            .insert("jujubeline-deadline-ms", "150".parse().unwrap());
        let late = call(pair.edge.callers, slow).await.unwrap();
        assert_eq!(late.status(), StatusCode::GATEWAY_TIMEOUT, "round {round}");
        assert_eq!(problem(&late)["reason"], "deadline");
        let next = call(pair.edge.callers, get("/schedules/next?bytes=22"))
            .await
            .unwrap();
        assert_eq!(next.status(), StatusCode::OK, "{next:?}");
        assert_eq!(next.body().len(), 22);
    }
}

/// Guards against a target that continues to work for a caller that has disconnected.
#[tokio::test]
async fn cancellation_frees_the_slot() {
    let pair = pair(1).await;
    let abandoned = start_call(
        pair.edge.callers,
        get("/schedules/long?service_ms=9000&bytes=1"),
    );
    wait_for(&pair.target, |counts| counts.running == 1).await;
    abandoned.abort();
    wait_for(&pair.target, |counts| counts.cancelled == 1).await;
    let next = call(pair.edge.callers, get("/schedules/next"))
        .await
        .unwrap();
    assert_eq!(next.status(), StatusCode::OK);
}

/// Guards against a planned stop that aborts requests in flight, and against one that accepts new requests.
#[tokio::test]
async fn drain_completes_requests_in_flight() {
    let mut pair = pair(16).await;
    let (edge, gate) = (pair.edge.callers, pair.gate.callers);
    let mut calls = Vec::new();
    // Few enough to run together under any initial concurrency limit.
    for round in 0..3 {
        let path = format!("/schedules/{round}?service_ms=400&bytes=30000");
        calls.push(start_call(edge, get(&path)));
        calls.push(start_call(gate, get(&path)));
    }
    wait_for(&pair.target, |counts| counts.running == 6).await;
    pair.gate.begin_stop();
    for exchange in join_all(calls).await {
        let response = exchange.unwrap().unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.body().len(), 30_000);
    }
    assert!(pair.gate.stopped().await, "the node did not stop cleanly");
    // The edge node still lists the stopped node as ready. Its attempt fails before anything is sent.
    let late = call(edge, get("/schedules/late")).await.unwrap();
    assert_eq!(problem(&late)["outcome"], "not_run", "{late:?}");
    assert!(
        !pair
            .target
            .executions()
            .by_key
            .contains_key("/schedules/late")
    );
}

/// Guards against a stop that fails an exchange in flight because it refuses the calls that the target makes for it.
#[tokio::test]
async fn drain_serves_the_calls_of_exchanges_in_flight() {
    let leaf = target(4).await;
    let mut first = NodeProcess::start("first", "outer", None, 0).await;
    let mut second = NodeProcess::start("second", "inner", Some(leaf.address()), 4).await;
    let outer = target_with_calls(4, first.callers).await;
    let announcement = outer.announcement("ready");
    announcement.send(first.operators).await.unwrap();
    let entries = [
        entry("outer", "GET", "/outer/", "outer", ""),
        entry("inner", "GET", "/inner/", "inner", ""),
    ];
    connect(&mut [&mut first, &mut second], &[&entries[0], &entries[1]]).await;
    let path = "/outer/1?call=/inner/slow%3Fservice_ms=400&call=/inner/after";
    let exchange = start_call(first.callers, get(path));
    wait_for(&leaf, |counts| counts.running == 1).await;
    first.begin_stop();
    let response = exchange.await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::OK, "{response:?}");
    assert_eq!(leaf.executions().by_key["/inner/after"], 1);
    assert!(first.stopped().await);
}

/// Guards against a draining target whose refusal does not state that the request has not run.
#[tokio::test]
async fn draining_target_refuses_with_not_run() {
    let mut pair = pair(4).await;
    pair.gate.send_command("target draining").await;
    for address in [pair.edge.callers, pair.gate.callers] {
        let refused = call(address, get("/schedules/1")).await.unwrap();
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        let problem = problem(&refused);
        assert_eq!(problem["reason"], "draining", "{problem}");
        assert_eq!(problem["outcome"], "not_run");
    }
    assert_eq!(pair.target.executions().total, 0);
}

/// Guards against a refusal with outcome `not_run` for a request that a target executed.
#[tokio::test]
async fn a_refusal_marked_not_run_was_never_executed() {
    let pair = pair(2).await;
    // Some are shed by the target, some run for longer than their deadline, and most never get a slot.
    let calls = (0..600).map(|number| {
        let (address, more) = match number % 10 {
            0 => (pair.edge.callers, "service_ms=20&fault=shed"),
            1 => (pair.edge.callers, "service_ms=5000"),
            2 => (pair.gate.callers, "service_ms=5000"),
            _ => (pair.edge.callers, "service_ms=20"),
        };
        let mut request = get(&format!("/later/{number}?{more}"));
        request
            .headers_mut()
            .insert("jujubeline-deadline-ms", "400".parse().unwrap());
        call(address, request)
    });
    let exchanges = join_all(calls).await;
    let executed = pair.target.executions().by_key;
    let (mut not_run, mut unknown) = (0, 0);
    for (number, exchange) in exchanges.into_iter().enumerate() {
        let response = exchange.unwrap();
        if response.status() == StatusCode::OK {
            continue;
        }
        if problem(&response)["outcome"] == "not_run" {
            not_run += 1;
            assert!(!executed.contains_key(&format!("/later/{number}")));
        } else {
            unknown += 1;
        }
    }
    assert!(not_run > 0 && unknown > 0, "{not_run} {unknown}");
}

/// Guards against critical requests that are refused while requests of a lower class occupy the slots.
#[tokio::test]
async fn critical_work_is_admitted_while_low_work_is_shed() {
    let pair = pair(2).await;
    let flood = (0..40).map(|_| async {
        let mut statuses = Vec::new();
        for _ in 0..25 {
            let response = call(pair.edge.callers, get("/later/1?service_ms=20")).await;
            statuses.push(response.unwrap().status());
        }
        statuses
    });
    let critical = async {
        wait_for(&pair.target, |counts| counts.total > 20).await;
        let mut statuses = Vec::new();
        for _ in 0..20 {
            let response = call(pair.edge.callers, get("/urgent/1?service_ms=20")).await;
            statuses.push(response.unwrap().status());
        }
        statuses
    };
    let (flooded, critical) = tokio::join!(join_all(flood), critical);
    let shed = flooded
        .iter()
        .flatten()
        .filter(|status| **status == StatusCode::SERVICE_UNAVAILABLE)
        .count();
    assert!(shed > 0, "the flood was not shed");
    assert!(
        critical.iter().all(|status| *status == StatusCode::OK),
        "{critical:?}"
    );
}

/// Guards against at-most-once requests without a key, and against malformed header values that are accepted.
#[tokio::test]
async fn invalid_requests_are_refused_with_not_run() {
    let pair = pair(4).await;
    let with = |request: Request<Full<Bytes>>, name: &'static str, value: &str| {
        let mut request = request;
        request.headers_mut().insert(name, value.parse().unwrap());
        request
    };
    let post = || {
        let body = Full::new(Bytes::from_static(b"{}"));
        Request::post("/bookings/1")
            .header("host", "test")
            .body(body)
            .unwrap()
    };
    let cases = [
        (post(), 400, "key_missing"),
        (with(post(), "idempotency-key", ""), 400, "bad_request"),
        (get("/unknown"), 404, "no_entry"),
        (
            with(get("/schedules/1"), "jujubeline-deadline-ms", "soon"),
            400,
            "bad_request",
        ),
        (
            with(get("/schedules/1"), "jujubeline-root", "12"),
            400,
            "bad_request",
        ),
        (
            with(get("/schedules/1"), "jujubeline-deadline-ms", "0"),
            504,
            "deadline",
        ),
    ];
    for (request, status, reason) in cases {
        let response = call(pair.edge.callers, request).await.unwrap();
        assert_eq!(response.status().as_u16(), status, "{reason}");
        let kind = response.headers()["content-type"].to_str().unwrap();
        assert_eq!(kind, "application/problem+json");
        let problem = problem(&response);
        assert_eq!(problem["reason"], reason);
        assert_eq!(problem["outcome"], "not_run");
    }
    assert_eq!(pair.target.executions().total, 0);
}

/// Guards against a false `not_run` from a node that does not know the catalogue entry yet, or not any more: the key may
/// have run through another node.
#[tokio::test]
async fn keyed_request_without_an_entry_has_an_unknown_outcome() {
    let pair = pair(4).await;
    let new = NodeProcess::start("new", "-", None, 4).await;
    for (callers, reason) in [
        (pair.edge.callers, "no_entry"),
        (new.callers, "no_catalogue"),
    ] {
        let mut request = get("/unknown");
        let key = "paid-once".parse().unwrap();
        request.headers_mut().insert("idempotency-key", key);
        let problem = problem(&call(callers, request).await.unwrap());
        assert_eq!(problem["reason"], reason);
        assert_eq!(problem["outcome"], "unknown");
    }
}

/// Guards against headers of the protocol between nodes that a caller can set or receive.
#[tokio::test]
async fn callers_neither_set_nor_receive_internal_headers() {
    let pair = pair(4).await;
    let mut request = get("/schedules/1");
    for (name, value) in [
        ("jujubeline-class", "critical"),
        ("jujubeline-retries", "60"),
        ("jujubeline-claim", "1.1.1"),
    ] {
        request.headers_mut().insert(name, value.parse().unwrap());
    }
    let response = call(pair.edge.callers, request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    for name in response.headers().keys() {
        assert!(!name.as_str().starts_with("jujubeline-"), "{name}");
        assert_ne!(name.as_str(), "endpoint-load-metrics");
    }
}

/// Guards against retries that multiply at each hop of a call chain, beyond the bound of the root request.
#[tokio::test]
async fn retries_stay_within_the_bound_of_the_root() {
    let leaf = target(8).await;
    let mut first = NodeProcess::start("first", "outer", None, 0).await;
    let mut second = NodeProcess::start("second", "inner", Some(leaf.address()), 8).await;
    let mut third = NodeProcess::start("third", "inner", Some(leaf.address()), 8).await;
    let mut fourth = NodeProcess::start("fourth", "inner", Some(leaf.address()), 8).await;
    let outer = target_with_calls(8, first.callers).await;
    outer
        .announcement("ready")
        .send(first.operators)
        .await
        .unwrap();
    let entries = [
        entry("outer", "GET", "/outer/", "outer", ""),
        entry("inner", "GET", "/inner/", "inner", ""),
    ];
    connect(
        &mut [&mut first, &mut second, &mut third, &mut fourth],
        &[&entries[0], &entries[1]],
    )
    .await;
    // The target resends its failed call twice. If each node had an allowance of three of its own, each of the calls
    // would be tried at all three targets.
    let response = call(first.callers, get("/outer/1?call=/inner/1%3Ffault=shed")).await;
    assert_eq!(response.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    let (resends, bound) = (2, 3);
    let attempts = leaf.executions().shed;
    assert!(attempts > 1 + resends, "no retry was made: {attempts}");
    assert!(attempts <= 1 + resends + bound, "{attempts} attempts");
}

/// Guards against calls that continue after the end of the exchange on whose behalf they are made. The target here does
/// not notice that its caller has disconnected, so only the node can cancel the call.
#[tokio::test]
async fn cancellation_reaches_the_calls_of_a_target() {
    let leaf = target(2).await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let outer = unresponsive.local_addr().unwrap();
    let mut first = NodeProcess::start("first", "outer", Some(outer), 2).await;
    let mut second = NodeProcess::start("second", "inner", Some(leaf.address()), 2).await;
    let entries = [
        entry("outer", "GET", "/outer/", "outer", ""),
        entry("inner", "GET", "/inner/", "inner", ""),
    ];
    connect(&mut [&mut first, &mut second], &[&entries[0], &entries[1]]).await;
    let abandoned = start_call(first.callers, get("/outer/1"));
    let (mut inbound, _) = unresponsive.accept().await.unwrap();
    let hop = read_hop(&mut inbound).await;
    let mut request = get("/inner/1?service_ms=9000");
    request
        .headers_mut()
        .insert("jujubeline-hop", hop.parse().unwrap());
    let outgoing = start_call(first.callers, request);
    wait_for(&leaf, |counts| counts.running == 1).await;
    abandoned.abort();
    wait_for(&leaf, |counts| counts.cancelled == 1).await;
    let refused = outgoing.await.unwrap().unwrap();
    assert_eq!(problem(&refused)["reason"], "cancelled");
}

/// Reads the head of a request and returns its hop id.
async fn read_hop(stream: &mut TcpStream) -> String {
    let mut lines = BufReader::new(stream).lines();
    while let Some(line) = lines.next_line().await.unwrap() {
        if let Some(hop) = line.strip_prefix("jujubeline-hop: ") {
            return hop.to_owned();
        }
    }
    panic!("the request has no hop");
}

/// Guards against a reason for refusals or retries without a counter, and against counters that appear only with their
/// first event.
#[tokio::test]
async fn every_reason_has_a_counter_from_the_start() {
    let pair = pair(4).await;
    let scrape = || async {
        let response: Exchange = call(pair.edge.operators, get("/metrics")).await;
        String::from_utf8(response.unwrap().body().to_vec()).unwrap()
    };
    let before = scrape().await;
    for reason in jujubeline_core::RefusalReason::ALL {
        let line = format!("jujubeline_refusals_total{{reason=\"{reason}\"");
        assert!(before.contains(&line), "{line} in {before}");
    }
    for reason in jujubeline_core::RetryReason::ALL {
        let line = format!("jujubeline_retries_total{{reason=\"{reason}\"");
        assert!(before.contains(&line), "{line}");
    }
    call(pair.edge.callers, get("/unknown")).await.unwrap();
    let after = scrape().await;
    let counted = after.lines().any(|line| {
        line.starts_with("jujubeline_refusals_total{reason=\"no_entry\"") && line.ends_with(" 1")
    });
    assert!(counted, "{after}");
    let explained = call(
        pair.edge.operators,
        get("/explain?method=GET&path=/schedules/1"),
    );
    let explained = explained.await.unwrap();
    assert_eq!(problem(&explained)["entry"]["name"], "read");
}
