//! Calls that targets make on behalf of exchanges in flight.

use {
    jujubeline_core::{Class, Outcome, RefusalReason, RetryReason, RetryStop, cases},
    jujubeline_overload::{
        AdmissionRequest, Admitted, ExchangeEnd, FailedAttempt, GateAdmission, Level, Permit,
        RetryAllowance, RetryBudget, Ticket, TicketDecision, decide_retry, suggested_retry_after,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

cases! {
    /// Guards against a level that upstream nodes translate to another class wrongly, so that requests are admitted
    /// whose calls will be refused, or refused although their calls would be admitted.
    fn translated_level_admits_the_same_share(level: u16, from: Class, to: Class, expected: u16) {
        assert_eq!(Level::new(level).translated(from, to).keys(), expected);
    }
    open: (512, Class::High, Class::Normal, 512),
    calls_unaffected: (300, Class::High, Class::Normal, 512),
    half_of_the_calls: (192, Class::High, Class::Normal, 320),
    no_calls: (128, Class::High, Class::Normal, 256),
    same_class: (300, Class::Normal, Class::Normal, 300),
    critical_calls: (64, Class::Critical, Class::Normal, 320),
}

fn request(class: Class, root: u128, is_call: bool, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        workspace: None,
        is_call,
        has_alternative: false,
        class,
        root,
        entry: "roster".into(),
        entry_concurrency: 1_000,
        deadline: now + Duration::from_mins(1),
    }
}

/// Guards against upstream work that is wasted because the level of the called service refuses a call of an exchange in
/// flight. Simulates a surge at a target with 4 exact slots.
#[test]
fn a_call_waits_where_a_new_request_is_refused() {
    let mut now = Instant::now();
    let mut admission = GateAdmission::new(64, now);
    admission.set_exact_slots(Some(4));
    let mut refused = 0;
    for root in 0..400 {
        now += Duration::from_millis(5);
        match admission.offer(&request(Class::Normal, root, false, now), now) {
            Err(RefusalReason::AdmissionLevel) => refused += 1,
            Ok(Admitted::Run(_) | Admitted::Wait(_)) | Err(_) => {}
        }
        let _ = admission.decide(now);
    }
    assert!(refused > 0, "the surge lowers the level");
    let call = admission.offer(&request(Class::High, u128::MAX, true, now), now);
    assert!(matches!(call, Ok(Admitted::Wait(_))), "{call:?}");
    assert_eq!(admission.limit(), 4);
}

/// Guards against requests that run although their calls are refused, because the gate does not apply the level of its
/// calls. The levels at many entry nodes are not enough, because a level decays at each of them between two requests
/// that it sends to the target; they are not part of this test. Simulates the requests of 13 entry nodes, one every
/// 130 ms each, and a downstream service that admits a quarter of the calls.
#[test]
fn gate_refuses_requests_whose_calls_would_be_refused() {
    const ENTRY_NODES: u32 = 13;
    let start = Instant::now();
    let below = Level::new(256 + 32);
    let entry = "roster".into();
    let mut admission = GateAdmission::new(64, start);
    admission.set_exact_slots(Some(64));
    let (mut wasted, mut served) = (0, 0);
    for number in 0..13_000_u32 {
        let now = start + Duration::from_millis(130) / ENTRY_NODES * number;
        let root = u128::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
        let request = request(Class::Normal, root, false, now);
        let Ok(Admitted::Run(permit)) = admission.offer(&request, now) else {
            continue;
        };
        if below.admits(Class::Normal, root) {
            served += 1;
        } else {
            wasted += 1;
        }
        admission.observe_call_level(&entry, below, now);
        admission.end(permit, ExchangeEnd::Completed, now);
    }
    assert!(served > 3_000, "served {served} of 3,250");
    assert!(wasted < 50, "{wasted} requests ran for nothing");
    assert_eq!(
        admission.level(),
        Level::OPEN,
        "the target itself is not overloaded"
    );
}

/// Slots of the target of [`direct_requests_keep_their_share_when_calls_fill_the_target`].
const SLOTS: usize = 25;
/// Service time of a call at the target.
const CALL: Duration = Duration::from_millis(22);
/// Service time of a direct request at the target.
const DIRECT: Duration = Duration::from_millis(360);

fn service_time(class: Class) -> Duration {
    if class == Class::Normal { DIRECT } else { CALL }
}

/// Starts the queued requests that are granted a slot.
fn start_granted(
    admission: &mut GateAdmission,
    waiting: &mut HashMap<Ticket, Class>,
    running: &mut Vec<(Instant, Permit, Class)>,
    now: Instant,
) {
    for TicketDecision { ticket, result } in admission.decide(now) {
        let class = waiting
            .remove(&ticket)
            .expect("each ticket is decided once");
        if let Ok(permit) = result {
            running.push((now + service_time(class), permit, class));
        }
    }
}

/// Guards against starvation of a class of direct requests, because the calls of exchanges in flight occupy the whole
/// target. Simulates calls for 1.1 and direct requests for 0.4 of the capacity of a target with 25 exact slots. The
/// levels reserve an eighth of the root slots for each class, so at least an eighth of the direct requests must be
/// served.
#[test]
fn direct_requests_keep_their_share_when_calls_fill_the_target() {
    let start = Instant::now();
    let mut admission = GateAdmission::new(64, start);
    admission.set_exact_slots(Some(25));
    let mut running: Vec<(Instant, Permit, Class)> = Vec::new();
    let mut waiting: HashMap<Ticket, Class> = HashMap::new();
    let (mut offered, mut served) = ([0_u32; 4], [0_u32; 4]);
    for step in 0..30_000_u64 {
        let now = start + Duration::from_millis(step);
        let (ended, left): (Vec<_>, Vec<_>) = running.drain(..).partition(|(end, ..)| *end <= now);
        running = left;
        for (_, permit, class) in ended {
            served[class.rank()] += 1;
            admission.end(permit, ExchangeEnd::Completed, now);
            start_granted(&mut admission, &mut waiting, &mut running, now);
        }
        start_granted(&mut admission, &mut waiting, &mut running, now);
        let mut arrivals = vec![Class::High];
        if step % 4 == 0 {
            arrivals.push(Class::Critical);
        }
        if step % 36 == 0 {
            arrivals.push(Class::Normal);
        }
        for class in arrivals {
            let root = u128::from(step).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
            let mut request = request(class, root, class != Class::Normal, now);
            request.entry = class.label().into();
            request.deadline = now
                + if class == Class::Normal {
                    DIRECT * 10
                } else {
                    CALL * 30
                };
            offered[class.rank()] += 1;
            match admission.offer(&request, now) {
                Ok(Admitted::Run(permit)) => {
                    running.push((now + service_time(class), permit, class));
                }
                Ok(Admitted::Wait(ticket)) => drop(waiting.insert(ticket, class)),
                Err(_) => {}
            }
            start_granted(&mut admission, &mut waiting, &mut running, now);
        }
        assert!(running.len() <= SLOTS);
    }
    let share = |class: Class| f64::from(served[class.rank()]) / f64::from(offered[class.rank()]);
    assert!(
        share(Class::Normal) > 0.125,
        "direct: {}",
        share(Class::Normal)
    );
    assert!(
        share(Class::Critical) > 0.99,
        "critical: {}",
        share(Class::Critical)
    );
    assert!(share(Class::High) > 0.6, "high: {}", share(Class::High));
}

/// Guards against a level of calls that remains after the downstream service has recovered, or that also refuses calls,
/// or requests of other entries.
#[test]
fn call_levels_decay_within_a_second() {
    let start = Instant::now();
    let mut admission = GateAdmission::new(64, start);
    admission.observe_call_level(&"roster".into(), Level::LOWEST, start);
    let refused = admission.offer(&request(Class::Normal, u128::MAX, false, start), start);
    assert_eq!(refused, Err(RefusalReason::AdmissionLevel));
    let call = admission.offer(&request(Class::Normal, u128::MAX, true, start), start);
    assert!(matches!(call, Ok(Admitted::Run(_))), "{call:?}");
    let mut other = request(Class::Normal, u128::MAX, false, start);
    other.entry = "register".into();
    assert!(matches!(
        admission.offer(&other, start),
        Ok(Admitted::Run(_))
    ));
    let later = start + Duration::from_secs(1);
    let again = admission.offer(&request(Class::Normal, u128::MAX, false, later), later);
    assert!(matches!(again, Ok(Admitted::Run(_))), "{again:?}");
}

/// Guards against a retry that is refused for lack of budget although the failed attempt reached no target, and against
/// a retry that is free although the failed attempt cost a target work.
#[test]
fn only_attempts_that_reached_a_target_cost_budget() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    while budget.withdraw(now) {}
    let attempt = |reached_target| FailedAttempt {
        reason: RetryReason::RefusedNotRun,
        reached_target,
        outcome: Outcome::NotRun,
        idempotent: false,
        deadline: now + Duration::from_secs(1),
        expected: Duration::from_millis(100),
    };
    let mut allowance = RetryAllowance::new(1);
    for _ in 0..3 {
        let decided = decide_retry(&attempt(false), &mut allowance, &mut budget, now);
        assert_eq!(decided, Ok(RetryReason::RefusedNotRun));
    }
    assert_eq!(allowance.left(), 1);
    let decided = decide_retry(&attempt(true), &mut allowance, &mut budget, now);
    assert_eq!(decided, Err(RetryStop::BudgetSpent));
}

quickcheck::quickcheck! {
    /// Guards against refused callers that retry at the same time and cause another surge, and against a suggested
    /// delay that callers ignore because it leaves them too little time.
    fn refused_callers_get_spread_retry_times(remaining_ms: u16) -> bool {
        let remaining = Duration::from_millis(remaining_ms.into());
        let times: Vec<_> = (0..200_u64)
            .map(|root| suggested_retry_after(remaining, u128::from(root.wrapping_mul(0x9E37_79B9_7F4A_7C15))))
            .collect();
        let distinct: std::collections::HashSet<_> = times.iter().collect();
        let is_short = remaining < Duration::from_millis(900);
        times.iter().all(|time| *time <= remaining / 3) && (is_short || distinct.len() > 50)
    }
}
