//! Limits and leavings that a target states in its responses, through two daemons with stand-ins for the object store
//! and the target.

mod support;

use {
    jujubeline_standin::platform::{Faults, Outage},
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::target_fleet::{Fleet, POLL_INTERVAL, READY, WAIT_TIMEOUT},
};

/// Window, factor and allowance within which a target must get no more than its limit.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_ALLOWANCE: f64 = 5.0;
const LIMIT_PER_S: f64 = 5.0;

/// Asserts that no window from `from` on holds more arrivals than the limit allows.
fn assert_within_limit(arrivals: &[Instant], from: Instant) {
    let counted: Vec<_> = arrivals.iter().filter(|at| **at >= from).collect();
    let busiest = counted
        .iter()
        .enumerate()
        .map(|(first, at)| counted[first..].partition_point(|later| **later < **at + WINDOW));
    let busiest = u32::try_from(busiest.max().unwrap_or(0)).unwrap();
    let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * WINDOW_FACTOR + WINDOW_ALLOWANCE;
    assert!(
        f64::from(busiest) <= allowed,
        "{busiest} in 4 s, {allowed} allowed"
    );
}

/// Guards against a gate that passes on more than its target's limit, also when the gate has just been restarted.
#[test]
fn restarted_gate_exceeds_no_stated_limit() {
    let mut fleet = Fleet::ready();
    fleet.target.state_in_responses("server-limit: 5.0");
    assert!(fleet.send().contains("server-limit: 5.0"));
    let from = Instant::now();
    fleet.send_many(Duration::from_secs(2));
    fleet.restart_gate();
    fleet.heartbeat("i-1", 10, 2, READY);
    fleet.wait_until_known();
    fleet.send_at_once(80);
    let arrivals = fleet.target.arrivals();
    assert_within_limit(&arrivals, from);
    assert!(arrivals.len() >= 10, "{} requests ran", arrivals.len());
}

/// Guards against requests to a target that stated that it leaves and sent no notice: while the store is away, after a
/// restart of its gate, and with a heartbeat that was delayed and says that the target is ready.
#[test]
fn target_that_states_its_leaving_gets_no_new_request() {
    let mut fleet = Fleet::ready();
    fleet.store.set_faults(Faults {
        down: Outage::Closed,
        ..Faults::default()
    });
    fleet.target.state_in_responses("server-leaving: 1");
    assert!(fleet.send().contains("server-leaving: 1"));
    let refused = fleet.send();
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    fleet.heartbeat("i-1", 10, 2, READY);
    fleet.send_many(Duration::from_millis(200));
    assert_eq!(fleet.target.arrivals().len(), 1);

    fleet.store.set_faults(Faults::default());
    fleet.restart_gate();
    fleet.heartbeat("i-1", 10, 3, READY);
    fleet.wait_until_known();
    fleet.send_many(Duration::from_millis(200));
    assert_eq!(
        fleet.target.arrivals().len(),
        1,
        "after a restart of the gate"
    );
}

/// Guards against a leaving that outlasts its process when the target starts again under the same id.
#[test]
fn target_that_starts_again_under_its_id_serves() {
    let mut fleet = Fleet::ready();
    fleet.target.state_in_responses("server-leaving: 1");
    fleet.send();
    fleet.target.state_in_responses("server: x");
    fleet.restart_gate();
    fleet.heartbeat("i-1", 20, 1, READY);
    fleet.wait_until_known();
    let until = Instant::now() + WAIT_TIMEOUT;
    while !fleet.send().starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < until, "the new process gets no request");
        thread::sleep(POLL_INTERVAL);
    }
}
