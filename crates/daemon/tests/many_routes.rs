//! A configuration with more routes than usual, through two daemons with stand-ins for the object store and the target.

mod support;

use {
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        exchange,
        target_fleet::{Fleet, POLL_INTERVAL},
    },
};

/// Routes of the configuration, some 0.9 MB of the 1 MB that the stand-in stores.
const ROUTES: usize = 10_000;
/// Time within which a configuration must be in effect, on a debug build.
const APPLY_BOUND: Duration = Duration::from_secs(10);

/// Guards against a configuration that no node applies because it has many routes: routes that were added get 404, and
/// no later configuration takes effect either.
#[test]
fn configuration_of_many_routes_takes_effect() {
    let fleet = Fleet::ready();
    fleet.write_many_routes(ROUTES);
    let until = Instant::now() + APPLY_BOUND;
    for callers in [fleet.edge.callers, fleet.gate.callers] {
        loop {
            let path = format!("/r/{}/x", ROUTES - 1);
            let request = format!(
                "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-jujubeline-attempt-id: 9c43\r\n\
                 x-jujubeline-deadline-ms: 3000\r\nconnection: close\r\n\r\n"
            );
            let answer = exchange(callers, &request);
            if answer.starts_with("HTTP/1.1 200") {
                break;
            }
            assert!(Instant::now() < until, "{answer}");
            thread::sleep(POLL_INTERVAL);
        }
    }
}
