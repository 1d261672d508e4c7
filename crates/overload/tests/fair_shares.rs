//! Room at one contended target, divided over workspaces: what callers get, without and with workspaces.

#![allow(clippy::cast_possible_truncation)] // Counts of the model are small.

use {
    jujubeline_core::{Class, cases},
    jujubeline_overload::{
        AdmissionRequest, Admitted, ExchangeEnd, FairShares, GateAdmission, Permit, Ticket,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 2_000;
const SLOTS: u32 = 10;
const WORK: Duration = Duration::from_millis(50);

/// Requests of one workspace or kind: how many arrive in a hundred steps, its weight, and whether they are calls.
#[derive(Debug, Clone, Copy)]
struct Source {
    per_100_steps: u32,
    weight: f64,
    is_call: bool,
}

/// Shares of the requests of each source that run at a target with [`SLOTS`] slots.
fn served(sources: &[Source], has_workspaces: bool) -> Vec<f64> {
    let start = Instant::now();
    let mut admission = GateAdmission::new(256, start);
    admission.set_exact_slots(Some(SLOTS));
    let mut waiting: HashMap<Ticket, usize> = HashMap::new();
    let mut running: Vec<(Instant, Permit)> = Vec::new();
    let mut sent = vec![0_u32; sources.len()];
    let mut ran = vec![0_u32; sources.len()];
    for step in 0..STEPS {
        let now = start + STEP * step;
        let due = running.iter().filter(|(end, _)| *end <= now).count();
        for (_, permit) in running.drain(..due) {
            admission.end(permit, ExchangeEnd::Completed, now);
        }
        for (number, source) in sources.iter().enumerate() {
            let before = step * source.per_100_steps / 100;
            let count = (step + 1) * source.per_100_steps / 100 - before;
            for _ in 0..count {
                sent[number] += 1;
                let request = AdmissionRequest {
                    workspace: has_workspaces.then_some((number as u64, source.weight)),
                    is_call: source.is_call,
                    has_alternative: false,
                    class: Class::High,
                    root: u128::from(step) << 8 | number as u128,
                    entry: "view".into(),
                    entry_concurrency: 1_000,
                    deadline: now + Duration::from_secs(2),
                };
                match admission.offer(&request, now) {
                    Ok(Admitted::Run(permit)) => {
                        ran[number] += 1;
                        running.push((now + WORK, permit));
                    }
                    Ok(Admitted::Wait(ticket)) => {
                        waiting.insert(ticket, number);
                    }
                    Err(_) => {}
                }
            }
        }
        for decision in admission.decide(now) {
            let number = waiting.remove(&decision.ticket);
            if let (Ok(permit), Some(number)) = (decision.result, number) {
                ran[number] += 1;
                running.push((now + WORK, permit));
            }
        }
    }
    let share = |(ran, sent): (&u32, &u32)| f64::from(*ran) / f64::from(*sent);
    ran.iter().zip(&sent).map(share).collect()
}

const fn workspace(per_100_steps: u32, weight: f64) -> Source {
    Source {
        per_100_steps,
        weight,
        is_call: false,
    }
}

/// Guards against a hot workspace that takes the room of the others. The target runs 100 requests in a hundred steps;
/// four workspaces want 15 each and one wants 300. The four must be served as without it, and the hot one gets the rest.
#[test]
fn hot_workspace_takes_what_others_leave() {
    let mut sources = vec![workspace(15, 10.0); 4];
    sources.push(workspace(300, 10.0));
    let before = served(&sources, false);
    let after = served(&sources, true);
    println!("served {before:.2?} -> {after:.2?}");
    assert!(before[..4].iter().all(|&share| share < 0.5), "{before:?}");
    assert!(after[..4].iter().all(|&share| share > 0.9), "{after:?}");
    assert!(after[4] > 0.08, "work-conserving: {after:?}");
}

/// Guards against room that is divided evenly over workspaces that are entitled to different parts of it.
#[test]
fn room_follows_the_weights() {
    let after = served(&[workspace(150, 30.0), workspace(150, 10.0)], true);
    let ratio = after[0] / after[1];
    assert!((2.0..=4.0).contains(&ratio), "{after:?}");
}

/// Guards against calls that wait behind requests that begin here, so that the work done for their root requests is
/// wasted.
#[test]
fn calls_are_served_before_requests_of_their_class() {
    let call = Source {
        is_call: true,
        ..workspace(60, 10.0)
    };
    let sources = [call, workspace(150, 10.0)];
    let (before, after) = (served(&sources, false), served(&sources, true));
    println!("served {before:.2?} -> {after:.2?}");
    assert!(
        after[0] > 0.98 && after[0] >= before[0],
        "{before:?} {after:?}"
    );
    assert!(after[1] > 0.2, "nothing starves: {after:?}");
}

cases! {
    /// Guards against a workspace that gains room from the time in which it was idle, or from asking often.
    fn grants_follow_the_weights(weights: [f64; 2], idle_grants: u32, expected: [u32; 2]) {
        let mut shares = FairShares::default();
        for _ in 0..idle_grants {
            shares.record_grant(0, weights[0]);
        }
        let mut grants = [0_u32, 0];
        for _ in 0..40 {
            let next = u64::from(shares.start_time(1) < shares.start_time(0));
            shares.record_grant(next, weights[next as usize]);
            grants[next as usize] += 1;
        }
        assert!(grants[0].abs_diff(expected[0]) <= 1, "{grants:?}");
    }
    even: ([1.0, 1.0], 0, [20, 20]),
    weighted: ([3.0, 1.0], 0, [30, 10]),
    second_was_idle: ([1.0, 1.0], 1_000, [20, 20]),
}
