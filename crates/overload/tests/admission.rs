//! Admission at the gate: class queue, entry limits, admission levels and the concurrency limit.

use {
    jujubeline_core::{Class, RefusalReason, cases, root_slot},
    jujubeline_overload::{
        AdmissionRequest, Admitted, ConcurrencyLimit, ExchangeEnd, GateAdmission, Level,
        ObservedLevels, Permit, Ticket,
    },
    std::time::{Duration, Instant},
};

fn request(class: Class, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        workspace: None,
        is_call: false,
        has_alternative: false,
        class,
        root: 1,
        entry: class.label().into(),
        entry_concurrency: 80,
        deadline: now + Duration::from_secs(2),
    }
}

/// A gate whose concurrency limit is reached by running requests of the normal class.
fn full_gate(now: Instant) -> (GateAdmission, Vec<Permit>) {
    let mut gate = GateAdmission::new(560, now);
    let mut running = Vec::new();
    while let Ok(Admitted::Run(permit)) = gate.offer(&request(Class::Normal, now), now) {
        running.push(permit);
        if gate.in_flight() == gate.limit() {
            break;
        }
    }
    (gate, running)
}

fn wait(gate: &mut GateAdmission, class: Class, now: Instant) -> Ticket {
    match gate.offer(&request(class, now), now) {
        Ok(Admitted::Wait(ticket)) => ticket,
        other => panic!("the request must wait, got {other:?}"),
    }
}

/// Guards against a lower class that runs before a higher one, and against a slot that leaks when a caller disconnects.
#[test]
fn the_highest_class_runs_first() {
    let now = Instant::now();
    let (mut gate, mut running) = full_gate(now);
    let low = wait(&mut gate, Class::Low, now);
    let high = wait(&mut gate, Class::High, now);
    let critical = wait(&mut gate, Class::Critical, now);
    assert!(gate.cancel(high));
    assert!(!gate.cancel(high));
    let mut order = Vec::new();
    for _ in 0..2 {
        gate.end(running.remove(0), ExchangeEnd::Completed, now);
        for decision in gate.decide(now) {
            order.push(decision.ticket);
            running.push(decision.result.expect("the target has room"));
        }
    }
    assert_eq!(order, [critical, low]);
    assert_eq!(gate.waiting(), 0);
}

cases! {
    /// Guards against requests that stay queued beyond the queue timeout of their class or beyond their deadline.
    fn queued_request_times_out(class: Class, deadline_ms: u64, at_ms: u64, expected: Option<RefusalReason>) {
        let now = Instant::now();
        let (mut gate, _running) = full_gate(now);
        let mut request = request(class, now);
        request.deadline = now + Duration::from_millis(deadline_ms);
        assert!(matches!(gate.offer(&request, now), Ok(Admitted::Wait(_))));
        let decisions = gate.decide(now + Duration::from_millis(at_ms));
        let reason = decisions.into_iter().next().and_then(|decision| decision.result.err());
        assert_eq!(reason, expected);
    }
    low_waits_before_its_timeout: (Class::Low, 2_000, 99, None),
    low_times_out: (Class::Low, 2_000, 100, Some(RefusalReason::QueueTimeout)),
    critical_waits_before_its_timeout: (Class::Critical, 2_000, 999, None),
    critical_times_out: (Class::Critical, 2_000, 1_000, Some(RefusalReason::QueueTimeout)),
    deadline_passes: (Class::Critical, 50, 51, Some(RefusalReason::Deadline)),
}

cases! {
    /// Guards against an entry limit that blocks another entry or refuses critical requests.
    fn entry_limit_affects_only_its_entry(class: Class, expected: Result<(), RefusalReason>) {
        let now = Instant::now();
        let mut gate = GateAdmission::new(560, now);
        let mut limited = request(class, now);
        limited.entry_concurrency = 1;
        assert!(matches!(gate.offer(&limited, now), Ok(Admitted::Run(_))));
        assert_eq!(gate.offer(&limited, now).map(|_| ()), expected);
        gate.decide(now);
        let mut other = request(Class::Low, now);
        other.entry = "other".into();
        match gate.offer(&other, now) {
            Ok(Admitted::Run(_)) => {}
            Ok(Admitted::Wait(_)) => assert!(gate.decide(now)[0].result.is_ok()),
            Err(reason) => panic!("the other entry is refused with {reason}"),
        }
    }
    normal_is_refused: (Class::Normal, Err(RefusalReason::EntryLimit)),
    critical_waits_for_its_entry: (Class::Critical, Ok(())),
}

/// Guards against a table that stays full with entries that have been removed from the catalogue.
#[test]
fn idle_entries_are_reclaimed_when_the_table_is_full() {
    let now = Instant::now();
    let mut gate = GateAdmission::new(560, now);
    for number in 0..5_000 {
        let mut request = request(Class::Normal, now);
        request.entry = format!("entry{number}").into();
        let Ok(Admitted::Run(permit)) = gate.offer(&request, now) else {
            panic!("entry {number} must run");
        };
        gate.end(permit, ExchangeEnd::Completed, now);
    }
}

/// Guards against a level that stays open, so that entry nodes go on sending to a target that completes no request.
#[test]
fn the_level_falls_when_the_target_hangs() {
    let start = Instant::now();
    let (mut gate, _running) = full_gate(start);
    let mut lowest = Level::OPEN;
    for step in 1..200 {
        let now = start + Duration::from_millis(10 * step);
        let mut request = request(Class::ALL[(step % 4) as usize], now);
        request.root = u128::from(step);
        let _ = gate.offer(&request, now);
        gate.decide(now);
        lowest = lowest.min(gate.level());
    }
    assert!(lowest < Level::new(256), "level {lowest}");
}

/// Guards against a level that stays open because each completion frees a slot for a moment. A gate that receives twice
/// as many requests as its target completes must lower its level.
#[test]
fn the_level_falls_while_requests_complete() {
    let start = Instant::now();
    let mut gate = GateAdmission::new(560, start);
    gate.hint_slots(Some(4));
    let mut running = std::collections::VecDeque::new();
    let mut lowest = Level::OPEN;
    // 400 arrivals per second at four slots with a service time of 20 ms: twice the capacity.
    for step in 0..800_u32 {
        let now = start + Duration::from_micros(2_500) * step;
        while running.front().is_some_and(|(until, _)| *until <= now) {
            let (_, permit) = running.pop_front().expect("a request runs");
            gate.end(permit, ExchangeEnd::Completed, now);
            let permits = gate
                .decide(now)
                .into_iter()
                .filter_map(|decision| decision.result.ok());
            running.extend(permits.map(|permit| (now + Duration::from_millis(20), permit)));
        }
        let mut request = request(Class::ALL[(step % 4) as usize], now);
        request.root = u128::from(step);
        if let Ok(Admitted::Run(permit)) = gate.offer(&request, now) {
            running.push_back((now + Duration::from_millis(20), permit));
        }
        lowest = lowest.min(gate.level());
    }
    assert!(lowest < Level::new(384), "level {lowest}");
}

/// Guards against new requests at a draining target.
#[test]
fn a_draining_gate_refuses_new_requests() {
    let now = Instant::now();
    let mut gate = GateAdmission::new(560, now);
    gate.set_draining(true);
    let refused = gate.offer(&request(Class::Critical, now), now);
    assert_eq!(refused, Err(RefusalReason::Draining));
}

/// Guards against different decisions at the hops of one call chain, and against levels outside the valid range.
#[test]
fn level_decides_by_class_and_root_slot() {
    let (mut in_share, mut outside) = (0, 0);
    for root in 0..1_000 {
        let level = Level::new(2 * 128 + u16::from(root_slot(root)));
        let has_share = root_slot(root) < 16;
        assert_eq!(level.admits(Class::Normal, root), has_share);
        assert!(Level::new(level.keys() + 1).admits(Class::Normal, root));
        assert!(level.admits(Class::High, root));
        assert_eq!(level.admits(Class::Low, root), has_share);
        assert!(Level::CRITICAL_ONLY.admits(Class::Critical, root));
        let below = Level::new(Level::CRITICAL_ONLY.keys() - 1);
        for class in [Class::High, Class::Normal, Class::Low] {
            assert_eq!(Level::CRITICAL_ONLY.admits(class, root), has_share);
            assert!(!below.admits(class, root));
        }
        in_share += i32::from(has_share);
        outside += i32::from(!has_share);
    }
    assert!(in_share > 80 && outside > 800, "{in_share} and {outside}");
    assert_eq!(Level::new(u16::MAX), Level::OPEN);
    assert_eq!(Level::new(0), Level::LOWEST);
}

cases! {
    /// Guards against a target that stays excluded because it receives no requests that could update its level, and
    /// against levels that decay between two responses at each hop of a call chain.
    fn observed_levels_decay(age_ms: u64, keys: u16) {
        let now = Instant::now();
        let mut levels = ObservedLevels::new();
        let entry = "schedules".into();
        levels.record_response_level(&entry, &"a1".into(), Level::CRITICAL_ONLY, now);
        let later = now + Duration::from_millis(age_ms);
        assert_eq!(levels.level(&entry, &"a1".into(), later).keys(), keys);
    }
    at_once: (0, 128),
    between_two_responses: (250, 128),
    halfway: (625, 320),
    after_a_second: (1_000, 512),
}

cases! {
    /// Guards against a limit that falls because a downstream service is slow, so that requests are queued and time out
    /// although the target has room.
    fn calls_of_the_target_do_not_lower_the_limit(end: ExchangeEnd) {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(560, now);
        let mut before = 0;
        for (calls_ms, rounds) in [(20, 100), (400, 50)] {
            before = limit.limit();
            for _ in 0..rounds {
                let started = now;
                let running = limit.limit();
                for _ in 0..running {
                    limit.start();
                }
                now += Duration::from_millis(calls_ms + 5);
                let in_calls = Duration::from_millis(calls_ms);
                let end = if calls_ms > 20 { end } else { ExchangeEnd::Completed };
                for _ in 0..running {
                    limit.end(started, in_calls, end, now);
                }
            }
        }
        assert!(before > 10 && limit.limit() >= before, "{} after {before}", limit.limit());
    }
    slow_calls: (ExchangeEnd::Completed),
    calls_beyond_the_deadline: (ExchangeEnd::TimedOut),
    callers_that_disconnect: (ExchangeEnd::Cancelled),
}

/// Guards against refusals of one kind of request because another kind calls an overloaded downstream service.
#[test]
fn levels_apply_to_one_kind_of_request() {
    let now = Instant::now();
    let mut levels = ObservedLevels::new();
    let (deep, shallow, target) = ("deep".into(), "shallow".into(), "a1".into());
    levels.record_response_level(&deep, &target, Level::CRITICAL_ONLY, now);
    levels.record_response_level(&shallow, &target, Level::OPEN, now);
    assert!(!levels.admits(&deep, &target, Class::Low, 1, now));
    assert!(levels.admits(&shallow, &target, Class::Low, 1, now));
}

/// Guards against a refusal by a gate that has room, such as by an entry limit, that overwrites the lower level of the
/// calls of its target.
#[test]
fn a_refusal_does_not_raise_an_observed_level() {
    let now = Instant::now();
    let mut levels = ObservedLevels::new();
    let (entry, target) = ("deep".into(), "a1".into());
    levels.record_response_level(&entry, &target, Level::CRITICAL_ONLY, now);
    levels.record_refusal_level(&entry, &target, Level::OPEN, now);
    assert_eq!(levels.level(&entry, &target, now), Level::CRITICAL_ONLY);
    levels.record_refusal_level(&entry, &target, Level::LOWEST, now);
    assert_eq!(levels.level(&entry, &target, now), Level::LOWEST);
}

/// Guards against one overloaded target that causes refusals of requests which other targets of its service could run.
#[test]
fn highest_level_is_that_of_the_most_open_target() {
    let now = Instant::now();
    let mut levels = ObservedLevels::new();
    let (entry, targets) = ("deep".into(), ["a1".into(), "a2".into()]);
    levels.record_response_level(&entry, &targets[0], Level::CRITICAL_ONLY, now);
    assert_eq!(levels.highest(&entry, targets.iter(), now), Level::OPEN);
    levels.record_response_level(&entry, &targets[1], Level::new(300), now);
    assert_eq!(levels.highest(&entry, targets.iter(), now), Level::new(300));
}

cases! {
    /// Guards against a slot hint that raises the limit, or that lowers it far below the limit that latency supports.
    fn slots_only_cap_the_limit(measured: bool, slots: u32, expected: u32) {
        let now = Instant::now();
        let mut limit = ConcurrencyLimit::new(560, now);
        if measured {
            for sample in 1..=30 {
                limit.start();
                let ended = now + Duration::from_millis(5 * sample);
                limit.end(now, Duration::ZERO, ExchangeEnd::Completed, ended);
            }
        }
        limit.hint_slots(Some(slots));
        assert_eq!(limit.limit(), expected);
    }
    more_slots_than_the_limit: (false, 100_000, 10),
    fewer_slots_before_measurement: (false, 4, 4),
    fewer_slots_after_measurement: (true, 1, 5),
}
