//! Settings, start and stop of a daemon process.

mod support;

use {
    jujubeline_core::cases,
    std::{
        io::{BufRead, BufReader},
        net::TcpListener,
        process::{Output, Stdio},
    },
    support::{VALID_SETTINGS, daemon, exchange, get, hang_up, start, terminate},
};

cases! {
    /// Guards against an invalid setting that is accepted, and against an error that does not name flag, variable and
    /// value.
    fn invalid_setting_is_named(arguments: &[&str], removed: &str, expected: &[&str]) {
        let variables: Vec<_> = VALID_SETTINGS.into_iter().filter(|(name, _)| *name != removed).collect();
        let Output { status, stderr, .. } = daemon(&variables, arguments).output().unwrap();
        let stderr = String::from_utf8(stderr).unwrap();
        assert_eq!(status.code(), Some(1), "{stderr}");
        for part in expected {
            assert!(stderr.contains(part), "{part} is missing in {stderr}");
        }
    }
    missing_name: (&[], "NODE", &["--node", "JUJUBELINE_NODE", "no value"]),
    name_with_space: (&["--service", "a b"], "", &["--service", "JUJUBELINE_SERVICE", "\"a b\""]),
    address_without_port: (
        &["--callers-address", "127.0.0.1"],
        "",
        &["--callers-address", "JUJUBELINE_CALLERS_ADDRESS", "\"127.0.0.1\""],
    ),
    unreachable_address: (
        &["--data-address", "0.0.0.0:7000"],
        "",
        &["--data-address", "JUJUBELINE_DATA_ADDRESS", "0.0.0.0:7000"],
    ),
    advertised_without_port: (
        &["--advertised-data-address", "127.0.0.1:0"],
        "",
        &["--advertised-data-address", "JUJUBELINE_ADVERTISED_DATA_ADDRESS", "127.0.0.1:0"],
    ),
    unreachable_advertised_address: (
        &["--advertised-control-address", "0.0.0.0:7000"],
        "",
        &["--advertised-control-address", "JUJUBELINE_ADVERTISED_CONTROL_ADDRESS", "0.0.0.0:7000"],
    ),
    same_address_twice: (
        &["--callers-address", "127.0.0.1:7001", "--operators-address", "127.0.0.1:7001"],
        "",
        &["--operators-address", "--callers-address", "127.0.0.1:7001"],
    ),
    zero_slots: (&["--target-slots", "0"], "", &["--target-slots", "JUJUBELINE_TARGET_SLOTS", "\"0\""]),
    grace_is_no_number: (
        &["--stop-grace-ms", "30s"],
        "",
        &["--stop-grace-ms", "JUJUBELINE_STOP_GRACE_MS", "\"30s\""],
    ),
    unknown_deployment: (&["--deployment", "x"], "", &["--deployment", "JUJUBELINE_DEPLOYMENT", "\"x\""]),
    share_without_slack: (&["--retry-share", "0.2"], "", &["--retry-slack", "JUJUBELINE_RETRY_SLACK", "no value"]),
    negative_share: (
        &["--retry-share=-1", "--retry-slack", "5"],
        "",
        &["--retry-share", "JUJUBELINE_RETRY_SHARE", "\"-1\""],
    ),
    kill_time_no_number: (&["--kill-after-s", "soon"], "", &["--kill-after-s", "JUJUBELINE_KILL_AFTER_S", "\"soon\""]),
    lines_no_number: (
        &["--decision-lines-per-s", "many"],
        "",
        &["--decision-lines-per-s", "JUJUBELINE_DECISION_LINES_PER_S", "\"many\""],
    ),
    bad_seed: (&["--seed", "127.0.0.1:1,x"], "", &["--seed", "JUJUBELINE_SEED", "127.0.0.1:1,x"]),
}

/// Guards against a daemon that starts without a listener because its port is in use.
#[test]
fn port_in_use_fails_the_start() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let output = daemon(&VALID_SETTINGS, &["--callers-address", &address])
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains(&address), "{stderr}");
}

/// Guards against a daemon that does not stop on SIGTERM, or that exits with a failure after a clean stop.
#[test]
fn sigterm_stops_the_daemon_with_status_0() {
    let mut started = start(&[]);
    assert!(get(started.operators, "/livez").contains("200 OK"));
    assert!(get(started.operators, "/readyz").contains("no catalogue yet"));
    let refused = get(started.callers, "/schedules/1");
    assert!(refused.contains("503"), "{refused}");
    assert!(refused.contains("\"reason\":\"no_catalogue\""), "{refused}");
    terminate(&started.child);
    assert_eq!(started.child.wait().unwrap().code(), Some(0));
}

cases! {
    /// Guards against a request that two parsers assign to different hosts: RFC 9112 requires exactly one `Host` in
    /// HTTP/1.1.
    fn exactly_one_host_header_is_required(headers: &str, expected: &str) {
        let started = start(&[]);
        let request = format!("GET /schedules/1 HTTP/1.1\r\n{headers}connection: close\r\n\r\n");
        let response = exchange(started.callers, &request);
        assert!(response.starts_with(expected), "{response}");
    }
    none: ("", "HTTP/1.1 400"),
    two: ("host: a.example\r\nhost: b.example\r\n", "HTTP/1.1 400"),
    two_equal: ("host: a.example\r\nhost: a.example\r\n", "HTTP/1.1 400"),
    one: ("host: a.example\r\n", "HTTP/1.1 503"),
}

/// Guards against a daemon that ends on SIGHUP, with which a platform announces changed settings.
#[test]
fn sighup_does_not_stop_the_daemon() {
    let mut started = start(&[]);
    hang_up(&started.child);
    assert!(get(started.operators, "/livez").contains("200 OK"));
    terminate(&started.child);
    assert_eq!(started.child.wait().unwrap().code(), Some(0));
}

/// Guards against a start, reload or stop that is missing in the structured log, and against lines on standard output
/// that are not JSON.
#[test]
fn state_changes_are_logged_as_json_lines() {
    let mut child = daemon(&VALID_SETTINGS, &[])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap())
        .lines()
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
            assert!(line["time"].is_string(), "{line}");
            line["change"].as_str().unwrap_or_default().to_owned()
        });
    assert!(lines.any(|change| change.contains("node one started")));
    hang_up(&child);
    assert!(lines.any(|change| change.starts_with("reload")));
    terminate(&child);
    assert!(lines.any(|change| change == "node one drains"));
    assert!(lines.any(|change| change == "node one stopped"));
    assert_eq!(lines.count(), 0);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// Guards against a valid announcement that has no effect, and against an invalid one that has.
#[test]
fn target_announcement_is_validated_and_applied() {
    let mut started = start(&[]);
    let put = |body: &str| {
        exchange(
            started.operators,
            &format!(
                "PUT /target HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        )
    };
    let refused = put(r#"{"address":"127.0.0.1:9","state":"ready","slots":0,"connections":4}"#);
    assert!(
        refused.contains("400") && refused.contains("slots is 0"),
        "{refused}"
    );
    assert!(get(started.operators, "/status").contains("\"target_state\":\"gone\""));
    let announced = put(r#"{"address":"127.0.0.1:9","state":"cold","slots":4,"connections":4}"#);
    assert!(announced.contains("200 OK"), "{announced}");
    assert!(get(started.operators, "/status").contains("\"target_state\":\"cold\""));
    started.child.kill().unwrap();
    started.child.wait().unwrap();
}
