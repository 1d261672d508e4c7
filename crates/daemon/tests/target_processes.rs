//! Processes of a target that leave, end and start again, through two daemons with stand-ins for the object store and the
//! target.

mod support;

use {
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::target_fleet::{DRAINING, Fleet, POLL_INTERVAL, READY, WAIT_TIMEOUT},
};

/// Time in which a node that takes a notice for true has confirmed its process and sends it requests.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Sends requests for a time, through the gate's own entry too, and returns how many of them arrived.
fn arrivals_of_requests(fleet: &Fleet) -> usize {
    let before = fleet.target.arrivals().len();
    let until = Instant::now() + SETTLING_TIME;
    while Instant::now() < until {
        fleet.send();
        fleet.send_to_gate();
        thread::sleep(POLL_INTERVAL);
    }
    fleet.target.arrivals().len() - before
}

fn wait_until_served(fleet: &Fleet) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !fleet.send().starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < until, "the process gets no request");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against requests to a target whose leave call was acknowledged: its gate starts again and receives a heartbeat
/// that was delayed and says that the target is ready.
#[test]
fn restarted_gate_ignores_a_late_heartbeat_of_a_target_that_left() {
    let mut fleet = Fleet::ready();
    fleet.target.answer_health_checks("i-1", true);
    wait_until_served(&fleet);
    fleet.target.answer_health_checks("i-1", false);
    fleet.leave("i-1", 10);
    fleet.restart_gate();
    fleet.wait_until_joined();
    fleet.heartbeat("i-1", 10, 2, READY);
    assert_eq!(arrivals_of_requests(&fleet), 0);
}

/// Guards against a restarted gate that keeps a target from work whose next heartbeat arrives in time.
#[test]
fn restarted_gate_takes_the_heartbeat_of_a_healthy_target() {
    let mut fleet = Fleet::ready();
    fleet.target.answer_health_checks("i-1", true);
    fleet.restart_gate();
    fleet.heartbeat("i-1", 10, 2, READY);
    wait_until_served(&fleet);
}

/// Guards against a target that started again after its clock was set back and whose notices are acknowledged without
/// effect: it would never get work, or keep getting it after the acknowledgement that it drains.
#[test]
fn target_that_started_again_with_an_earlier_start_drains() {
    for process in ["i-1", "i-2"] {
        let fleet = Fleet::ready();
        fleet.target.answer_health_checks("i-1", true);
        wait_until_served(&fleet);
        fleet.target.answer_health_checks(process, true);
        fleet.heartbeat(process, 8, 1, READY);
        thread::sleep(SETTLING_TIME);
        wait_until_served(&fleet);
        fleet.target.answer_health_checks(process, false);
        fleet.heartbeat(process, 8, 2, DRAINING);
        assert_eq!(arrivals_of_requests(&fleet), 0, "process {process}");
    }
}

/// Guards against a target that gets no work because no health check can confirm its process.
#[test]
fn target_without_a_health_check_gets_work() {
    let mut fleet = Fleet::ready_without_health_check();
    wait_until_served(&fleet);
    fleet.restart_gate();
    fleet.heartbeat("i-1", 10, 2, READY);
    wait_until_served(&fleet);
    fleet.heartbeat("i-1", 10, 3, DRAINING);
    assert_eq!(arrivals_of_requests(&fleet), 0);
}
