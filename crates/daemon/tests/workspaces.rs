//! Workspaces through two daemons with stand-ins for the object store and the target: keys, names and allowances.

mod support;

use {
    jujubeline_core::cases,
    jujubeline_standin::platform::{Faults, Outage},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    support::{
        exchange, get,
        target_fleet::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT},
        terminate,
    },
};

const KEY: &str = "maj3nr26tta828m82thh";
const OTHER_KEY: &str = "kmgjqnirth5mgjy5rcpi";
const NAME_HEADER: &str = "x-jujubeline-tenant-id";

/// Sends a request with the given extra header lines and returns the answer.
fn send(callers: SocketAddr, path: &str, id: &str, headers: &str) -> String {
    exchange(
        callers,
        &format!(
            "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-jujubeline-attempt-id: {id}\r\n\
             x-jujubeline-deadline-ms: 3000\r\nconnection: close\r\n{headers}\r\n"
        ),
    )
}

fn key_header(key: &str) -> String {
    format!("x-jujubeline-key: {key}\r\n")
}

/// A fleet in whose configuration `acme` holds [`KEY`], with this rate and burst.
fn fleet(rate_per_s: u32, burst: u32) -> Fleet {
    let fleet = Fleet::ready_with_work(Duration::ZERO);
    set_workspaces(&fleet, 13, &json!([["acme", [KEY], 1, rate_per_s, burst]]));
    fleet
}

/// Writes workspaces and waits until both nodes have the revision.
fn set_workspaces(fleet: &Fleet, version: u32, rows: &Value) {
    fleet.write_workspaces(version, rows);
    for node in [&fleet.edge, &fleet.gate] {
        let until = Instant::now() + WAIT_TIMEOUT;
        let revision = format!("\"catalogue_revision\":{version}");
        while !get(node.operators, "/status").contains(&revision) {
            assert!(
                Instant::now() < until,
                "revision {version} is not in effect"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }
    // The data path is updated shortly after the status.
    thread::sleep(Duration::from_millis(100));
}

/// Guards against a key that reaches a target, and against the name of a workspace that a caller made up: at the entry
/// beside the target and at another one, with a forged name, and with the internal header that nodes use.
#[test]
fn target_gets_the_name_and_never_the_key() {
    let fleet = fleet(0, 0);
    let forged = "x-jujubeline-tenant-id: zenith\r\njujubeline-workspace: zenith\r\n";
    for callers in [fleet.edge.callers, fleet.gate.callers] {
        let headers = format!("{forged}{}", key_header(KEY));
        let answer = send(callers, "/safe/view", "a1", &headers);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let head = fleet.target.last_head();
        assert!(head.contains(&format!("{NAME_HEADER}: acme\r\n")), "{head}");
        assert!(!head.contains(KEY) && !head.contains("zenith"), "{head}");
    }
}

/// Guards against a name that a caller made up and that reaches a target where no workspaces are configured.
#[test]
fn forged_name_is_removed_without_workspaces() {
    let fleet = Fleet::ready_with_work(Duration::ZERO);
    let answer = send(
        fleet.edge.callers,
        "/safe/view",
        "a1",
        "x-jujubeline-tenant-id: zenith\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!fleet.target.last_head().contains("zenith"));
}

cases! {
    /// Guards against a request without a valid key that runs, and against a refusal that blames the key of a request
    /// that may be a call.
    fn without_valid_key_is_refused(id: &str, headers: &str, status: &str, reason: &str) {
        let fleet = fleet(0, 0);
        let answer = send(fleet.edge.callers, "/safe/view", id, headers);
        assert!(answer.starts_with(status) && answer.contains(reason), "{answer}");
        assert!(!answer.contains(KEY), "{answer}");
        assert_eq!(fleet.target.arrivals().len(), 0);
    }
    missing: ("a1", "", "HTTP/1.1 401", "workspace_key_missing"),
    unknown: ("a1", "x-jujubeline-key: nobody\r\n", "HTTP/1.1 401", "workspace_key_unknown"),
    empty: ("a1", "x-jujubeline-key: \r\n", "HTTP/1.1 401", "workspace_key_malformed"),
    doubled: ("a1", &format!("{0}{0}", key_header(KEY)), "HTTP/1.1 401", "workspace_key_malformed"),
    forged_call: ("a1.b2", "", "HTTP/1.1 503", "parent_unknown"),
    forged_hop: ("a1", "jujubeline-hop: 00000000000000ff\r\n", "HTTP/1.1 503", "parent_unknown"),
}

/// Guards against a public entry that needs a key, and against a wrong key that closes it.
#[test]
fn public_entry_needs_no_key() {
    let fleet = fleet(0, 0);
    for headers in ["", "x-jujubeline-key: nobody\r\n"] {
        let answer = send(fleet.edge.callers, "/safe/public/view", "a1", headers);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!fleet.target.last_head().contains("nobody"));
    }
}

/// Guards against a withdrawn key that is in use again after a restart, also while the store turns all nodes away, and
/// against an added key that is refused.
#[test]
fn withdrawn_key_stays_out_of_use() {
    let mut fleet = fleet(0, 0);
    set_workspaces(&fleet, 14, &json!([["acme", [OTHER_KEY], 1, 0, 0]]));
    let statuses = |fleet: &Fleet, callers: SocketAddr| {
        let status = |key| send(callers, "/safe/view", "a1", &key_header(key))[9..12].to_owned();
        let _ = fleet;
        (status(KEY), status(OTHER_KEY))
    };
    let expected = ("401".to_owned(), "200".to_owned());
    for callers in [fleet.edge.callers, fleet.gate.callers] {
        assert_eq!(statuses(&fleet, callers), expected);
    }
    fleet.store.set_faults(Faults {
        down: Outage::Closed,
        ..Faults::default()
    });
    fleet.restart_gate();
    let (old, _) = statuses(&fleet, fleet.gate.callers);
    assert_eq!(old, "503", "a node without a catalogue answers 503");
    fleet.store.set_faults(Faults::default());
    fleet.wait_until_joined();
    fleet.heartbeat("i-1", 10, 3, "ready");
    fleet.wait_until_known();
    assert_eq!(statuses(&fleet, fleet.gate.callers).0, "401");
}

/// Guards against an allowance that each node grants on its own, and against a refusal that does not say when to come
/// back.
#[test]
fn allowance_holds_over_both_nodes() {
    let fleet = fleet(10, 10);
    // The shares have no tokens for the first second after their owners have joined.
    thread::sleep(Duration::from_secs(3));
    let from = Instant::now();
    let mut refused = 0;
    let mut served = 0;
    while from.elapsed() < Duration::from_secs(2) {
        for callers in [fleet.edge.callers, fleet.gate.callers] {
            let answer = send(callers, "/safe/view", "a1", &key_header(KEY));
            match &answer[9..12] {
                "200" => served += 1,
                "429" => {
                    assert!(answer.contains("workspace_allowance"), "{answer}");
                    assert!(
                        answer.to_lowercase().contains("\r\nretry-after: "),
                        "{answer}"
                    );
                    refused += 1;
                }
                _ => panic!("{answer}"),
            }
        }
    }
    // Burst and rate over two seconds, a tenth and the slack of 20 requests above them.
    assert!(
        (20..=53).contains(&served),
        "{served} served, {refused} refused"
    );
    assert!(refused > 0);
    assert_eq!(fleet.target.arrivals().len(), served);
}

/// Guards against a key in a log line, a metric, a status page or an explanation.
#[test]
fn no_output_shows_a_key() {
    let mut fleet = fleet(1, 1);
    let odd = json!([["acme", [KEY, 7], 1, 0, 0], ["zenith", OTHER_KEY, 1, 0, 0]]);
    set_workspaces(&fleet, 15, &odd);
    for _ in 0..5 {
        send(fleet.edge.callers, "/safe/view", "a1", &key_header(KEY));
    }
    let explain = "/explain?host=a.example&method=GET&path=/safe/view";
    for path in ["/metrics", "/status", explain] {
        let page = get(fleet.edge.operators, path);
        assert!(!page.contains(KEY) && !page.contains(OTHER_KEY), "{page}");
    }
    terminate(&fleet.edge.child);
    let log = fleet.edge.log_until_end().join("\n");
    assert!(log.contains("workspace 0: "), "{log}");
    assert!(!log.contains(KEY) && !log.contains(OTHER_KEY), "{log}");
}
