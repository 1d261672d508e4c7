//! Detection of stalled connections.

use {
    jujubeline_core::cases,
    jujubeline_overload::{ProbeKind, StallAction, StallDetector, StallProbes},
    std::time::{Duration, Instant},
};

const P99: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a silent connection that delays its requests for longer than the stall timeout plus the probe
/// timeout.
#[test]
fn a_silent_connection_is_replaced() {
    let start = Instant::now();
    let mut detector = StallDetector::new(ProbeKind::Ping, start);
    assert_eq!(detector.check(P99, start + ms(5_000)), StallAction::Idle);
    let sent = start + ms(5_000);
    detector.request_sent(sent);
    assert_eq!(
        detector.check(P99, sent),
        StallAction::CheckAt(sent + ms(1_000))
    );
    assert_eq!(
        detector.check(P99, sent + ms(1_000)),
        StallAction::Probe(sent + ms(1_500))
    );
    assert_eq!(
        detector.check(P99, sent + ms(1_499)),
        StallAction::CheckAt(sent + ms(1_500))
    );
    assert_eq!(detector.check(P99, sent + ms(1_500)), StallAction::Replace);
}

cases! {
    /// Guards against closing a working connection, and against keeping a stalled one.
    fn probe_result_decides_replacement(kind: ProbeKind, answered: bool, byte: bool, replaced: bool) {
        let start = Instant::now();
        let mut detector = StallDetector::new(kind, start);
        detector.request_sent(start);
        detector.check(P99, start + ms(1_000));
        if answered {
            detector.probe_answered(start + ms(1_100));
        }
        if byte {
            detector.byte_received(start + ms(1_200));
        }
        let action = detector.check(P99, start + ms(1_500));
        assert_eq!(action == StallAction::Replace, replaced);
    }
    ping_answered: (ProbeKind::Ping, true, false, false),
    ping_unanswered: (ProbeKind::Ping, false, false, true),
    byte_instead_of_ping: (ProbeKind::Ping, false, true, false),
    only_the_fresh_connection_answers: (ProbeKind::FreshConnection, true, false, true),
    neither_connection_answers: (ProbeKind::FreshConnection, false, false, false),
    the_old_connection_answers_first: (ProbeKind::FreshConnection, false, true, false),
}

/// Guards against a stall timeout that does not rise with latency, so that slow but working requests count as a stall.
#[test]
fn the_stall_bound_follows_latency() {
    assert_eq!(StallDetector::stall_timeout(P99), ms(1_000));
    assert_eq!(StallDetector::stall_timeout(ms(800)), ms(2_400));
}

/// Guards against a slow target that receives each request a second time, which doubles its load when it can bear it
/// least.
#[test]
fn a_slow_target_gets_one_probe_a_second() {
    let start = Instant::now();
    let mut probes = StallProbes::default();
    let mut sent = 0;
    // 100 requests wait for 10 s, and each second copy is answered after 800 ms, as slowly as the first.
    let mut probing_since = None;
    for step in 0..1_000 {
        let now = start + ms(step * 10);
        if probing_since.is_some_and(|since| now >= since + ms(800)) {
            probes.end(Some(ms(800)), now);
            probing_since = None;
        }
        for _ in 0..100 {
            if probes.try_begin(now) {
                probing_since = Some(now);
                sent += 1;
            }
        }
    }
    assert!(sent <= 10, "{sent} requests were sent again");
}

/// Guards against requests that wait until their deadline when all connections have gone silent.
#[test]
fn all_requests_follow_a_probe_that_is_answered_quickly() {
    let start = Instant::now();
    let mut probes = StallProbes::default();
    assert!(probes.try_begin(start));
    assert!(!probes.try_begin(start));
    probes.end(Some(ms(20)), start + ms(20));
    assert!((0..50).all(|_| probes.try_begin(start + ms(30))));
    probes.end(None, start + ms(100));
    assert!(!probes.try_begin(start + ms(200)), "the target is slow now");
    assert!(probes.try_begin(start + ms(1_100)));
}
