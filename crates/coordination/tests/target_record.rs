//! Notices of a target that arrive late, twice, or from another process.

use {
    jujubeline_coordination::{
        HealthAnswer, HealthQuestion, NoticeEffect, OwnTarget, TargetRecord,
    },
    jujubeline_core::{AnnouncedState, Heartbeat, TargetNotice, cases},
    quickcheck::{Arbitrary, Gen, quickcheck},
    std::time::{Duration, Instant},
};

const READY: AnnouncedState = AnnouncedState::Ready(Duration::ZERO);
const DRAINING: AnnouncedState = AnnouncedState::Draining;
const TAKEN: NoticeEffect = NoticeEffect::Taken { new_process: false };
const NEW_PROCESS: NoticeEffect = NoticeEffect::Taken { new_process: true };

fn own() -> OwnTarget {
    OwnTarget {
        service: "billing".into(),
        address: ([10, 1, 0, 8], 8301).into(),
    }
}

fn heartbeat(process: &str, born_ms: u64, sequence: u64, state: AnnouncedState) -> Heartbeat {
    Heartbeat {
        process: process.into(),
        born_ms,
        sequence,
        service: own().service,
        address: own().address,
        slots: 90,
        state,
    }
}

fn heartbeat_notice(
    process: &str,
    born_ms: u64,
    sequence: u64,
    state: AnnouncedState,
) -> TargetNotice {
    TargetNotice::Heartbeat(heartbeat(process, born_ms, sequence, state))
}

fn leave(process: &str, born_ms: Option<u64>) -> TargetNotice {
    TargetNotice::Leave {
        process: process.into(),
        born_ms,
    }
}

/// What reaches the record: a notice, or the answer of a health check to the question that is open.
#[derive(Debug, Clone)]
enum Step {
    Notice(TargetNotice),
    /// The process that answers, if the answer names it, and whether it is healthy.
    Answer(Option<&'static str>, bool),
}

/// A heartbeat of a process, with its start, its number and its state.
fn beat(process: &str, born_ms: u64, sequence: u64, state: AnnouncedState) -> Step {
    Step::Notice(heartbeat_notice(process, born_ms, sequence, state))
}

fn leaves(process: &str, born_ms: Option<u64>) -> Step {
    Step::Notice(leave(process, born_ms))
}

/// The process that answers the health check is healthy.
const fn healthy(process: &'static str) -> Step {
    Step::Answer(Some(process), true)
}

/// The process that answers the health check is leaving, or is ill.
const fn unhealthy(process: &'static str) -> Step {
    Step::Answer(Some(process), false)
}

/// Applies a step. An answer without an open question has no effect.
fn apply(record: &mut TargetRecord, step: &Step, now: Instant) -> Option<NoticeEffect> {
    match step {
        Step::Notice(notice) => Some(record.apply_notice(notice, &own(), now)),
        Step::Answer(process, is_healthy) => {
            let asked = record.unconfirmed(now)?;
            record.apply_health_answer(&asked, &answer(*process, *is_healthy))
        }
    }
}

fn answer(process: Option<&str>, is_healthy: bool) -> HealthAnswer {
    HealthAnswer {
        process: process.map(Into::into),
        is_healthy,
    }
}

cases! {
    /// Guards against work for a target that leaves or has ended: a notice that was delayed must not undo a later one,
    /// and a process that no health check has confirmed gets no work.
    fn last_step_is(steps: Vec<Step>, effect: Option<NoticeEffect>, process: Option<(&str, AnnouncedState)>) {
        let mut record = TargetRecord::default();
        let now = Instant::now();
        let last = steps.iter().map(|step| apply(&mut record, step, now)).last();
        assert_eq!(last, Some(effect));
        let known = record.process().map(|known| (&*known.id, known.state));
        assert_eq!(known, process);
    }
    first_heartbeat: (vec![beat("a", 10, 1, READY)], Some(NoticeEffect::Unconfirmed), None),
    confirmed_heartbeat: (vec![beat("a", 10, 1, READY), healthy("a")], Some(NEW_PROCESS), Some(("a", READY))),
    confirmed_by_unnamed_answer: (
        vec![beat("a", 10, 1, READY), Step::Answer(None, true)], Some(NEW_PROCESS), Some(("a", READY)),
    ),
    heartbeat_of_process_that_left: (vec![beat("a", 10, 1, READY), unhealthy("a")], None, None),
    heartbeat_of_process_that_was_replaced: (vec![beat("a", 10, 1, READY), healthy("b")], None, None),
    first_heartbeat_is_draining: (vec![beat("a", 10, 1, DRAINING)], Some(NEW_PROCESS), Some(("a", DRAINING))),
    next_heartbeat: (
        vec![beat("a", 10, 1, READY), healthy("a"), beat("a", 10, 2, DRAINING)], Some(TAKEN), Some(("a", DRAINING)),
    ),
    draining_before_the_answer: (
        vec![beat("a", 10, 1, READY), beat("a", 10, 2, DRAINING), healthy("a")], None, Some(("a", DRAINING)),
    ),
    delayed_heartbeat: (
        vec![beat("a", 10, 2, DRAINING), beat("a", 10, 1, READY)], Some(NoticeEffect::Outdated), Some(("a", DRAINING)),
    ),
    delayed_draining: (
        vec![beat("a", 10, 2, READY), healthy("a"), beat("a", 10, 1, DRAINING)], Some(TAKEN), Some(("a", DRAINING)),
    ),
    repeated_heartbeat: (
        vec![beat("a", 10, 2, READY), healthy("a"), beat("a", 10, 2, READY)],
        Some(NoticeEffect::Outdated), Some(("a", READY)),
    ),
    repeated_heartbeat_of_unconfirmed: (
        vec![beat("a", 10, 2, READY), beat("a", 10, 1, READY)], Some(NoticeEffect::Outdated), None,
    ),
    first_heartbeat_of_new_process: (
        vec![beat("a", 10, 9, DRAINING), beat("b", 11, 1, READY), healthy("b")], Some(NEW_PROCESS), Some(("b", READY)),
    ),
    restart_with_the_same_id: (
        vec![beat("a", 10, 9, DRAINING), beat("a", 11, 1, READY), healthy("a")], Some(NEW_PROCESS), Some(("a", READY)),
    ),
    repeated_heartbeat_of_former_process: (
        vec![
            beat("a", 10, 9, READY), healthy("a"), beat("a", 11, 1, READY), healthy("a"), beat("a", 10, 9, READY),
        ],
        Some(NoticeEffect::Outdated), Some(("a", READY)),
    ),
    leave_of_known_process: (
        vec![beat("a", 10, 1, READY), healthy("a"), leaves("a", None)], Some(TAKEN), Some(("a", DRAINING)),
    ),
    restart_after_the_clock_was_set_back: (
        vec![beat("a", 11, 9, READY), healthy("a"), beat("a", 10, 1, READY), healthy("a")],
        Some(NEW_PROCESS), Some(("a", READY)),
    ),
    draining_after_the_clock_was_set_back: (
        vec![beat("a", 11, 9, READY), healthy("a"), beat("a", 10, 1, DRAINING)], Some(TAKEN), Some(("a", DRAINING)),
    ),
    leave_after_the_clock_was_set_back: (
        vec![beat("a", 11, 9, READY), healthy("a"), leaves("a", Some(10))], Some(TAKEN), Some(("a", DRAINING)),
    ),
    late_heartbeat_after_an_unknown_start_leaves: (
        vec![beat("a", 11, 9, READY), healthy("a"), leaves("a", Some(10)), beat("a", 11, 10, READY), unhealthy("a")],
        None, Some(("a", DRAINING)),
    ),
    next_process_after_the_clock_was_set_back: (
        vec![beat("a", 11, 9, READY), healthy("a"), beat("b", 10, 1, READY), healthy("b")],
        Some(NEW_PROCESS), Some(("b", READY)),
    ),
    draining_of_next_process: (
        vec![beat("a", 11, 9, READY), healthy("a"), beat("b", 10, 1, DRAINING), unhealthy("b")],
        Some(NEW_PROCESS), Some(("b", DRAINING)),
    ),
    draining_of_former_process: (
        vec![beat("b", 11, 1, READY), healthy("b"), beat("a", 10, 99, DRAINING), healthy("b")],
        None, Some(("b", READY)),
    ),
    heartbeat_of_former_process: (
        vec![beat("b", 11, 1, READY), healthy("b"), beat("a", 10, 99, READY)],
        Some(NoticeEffect::Unconfirmed), Some(("b", READY)),
    ),
    answer_after_heartbeat_of_former_process: (
        vec![beat("b", 11, 1, READY), healthy("b"), beat("a", 10, 99, READY), healthy("b")], None, Some(("b", READY)),
    ),
    leave_of_former_start: (
        vec![beat("a", 11, 1, READY), healthy("a"), leaves("a", Some(10)), healthy("a")],
        Some(NEW_PROCESS), Some(("a", READY)),
    ),
    heartbeat_after_leave: (
        vec![beat("a", 10, 1, READY), healthy("a"), leaves("a", Some(10)), beat("a", 10, 2, READY)],
        Some(TAKEN), Some(("a", DRAINING)),
    ),
    leave_of_unconfirmed_process: (
        vec![beat("a", 10, 1, READY), leaves("a", Some(10)), healthy("a")], None, None,
    ),
    early_leave: (vec![leaves("a", Some(10))], Some(NoticeEffect::Kept), None),
    heartbeat_after_early_leave: (
        vec![leaves("a", Some(10)), beat("a", 10, 2, READY)], Some(NEW_PROCESS), Some(("a", DRAINING)),
    ),
    heartbeats_after_early_leave_without_start: (
        vec![leaves("a", None), beat("a", 10, 2, READY), beat("a", 10, 3, READY)], Some(TAKEN), Some(("a", DRAINING)),
    ),
    heartbeat_after_early_leave_of_next_process: (
        vec![beat("a", 10, 1, READY), healthy("a"), leaves("b", Some(11)), beat("b", 11, 1, READY), unhealthy("b")],
        Some(NEW_PROCESS), Some(("b", DRAINING)),
    ),
    restart_after_early_leave: (
        vec![leaves("a", Some(10)), beat("a", 11, 1, READY), healthy("a")], Some(NEW_PROCESS), Some(("a", READY)),
    ),
    restart_after_early_leave_without_start: (
        vec![leaves("a", None), beat("a", 10, 2, READY), beat("a", 11, 1, READY), healthy("a")],
        Some(NEW_PROCESS), Some(("a", READY)),
    ),
    leave_of_former_process: (
        vec![beat("b", 11, 1, READY), healthy("b"), leaves("a", Some(10))],
        Some(NoticeEffect::Kept), Some(("b", READY)),
    ),
}

cases! {
    /// Guards against an answer to the node's own query that overrides a notice, and against notices that are ignored
    /// after such an answer.
    fn answer_then(before: Vec<Step>, taken: bool, after: Vec<Step>, state: AnnouncedState) {
        let mut record = TargetRecord::default();
        let now = Instant::now();
        for step in &before {
            apply(&mut record, step, now);
        }
        assert_eq!(record.record_healthy_process(&"a".into(), 4), taken);
        for step in &after {
            assert!(apply(&mut record, step, now).is_some(), "{step:?}");
        }
        assert_eq!(record.process().map(|process| process.state), Some(state));
    }
    without_notices: (vec![], true, vec![], READY),
    first_heartbeat_after_answer: (vec![], true, vec![beat("a", 10, 0, DRAINING)], DRAINING),
    next_process_after_answer: (vec![], true, vec![beat("b", 11, 1, READY), healthy("b")], READY),
    leave_after_answer: (vec![], true, vec![leaves("a", Some(10)), beat("a", 10, 7, READY)], DRAINING),
    restart_after_leave: (vec![], true, vec![leaves("a", Some(10)), beat("a", 11, 1, READY), healthy("a")], READY),
    unconfirmed_before_answer: (vec![beat("a", 10, 1, READY)], true, vec![beat("a", 10, 2, READY)], READY),
    known_before_answer: (vec![beat("a", 10, 1, DRAINING)], false, vec![], DRAINING),
    left_before_answer: (vec![leaves("a", Some(10))], false, vec![beat("a", 10, 2, READY)], DRAINING),
}

/// Guards against an answer that was on its way when a notice raised the question anew: it may have been given before
/// the process began to leave.
#[test]
fn answer_to_an_earlier_question_confirms_nothing() {
    let mut record = TargetRecord::default();
    let start = Instant::now();
    apply(&mut record, &beat("a", 10, 1, READY), start);
    let asked: HealthQuestion = record.unconfirmed(start).expect("an open question");
    apply(&mut record, &beat("a", 11, 1, DRAINING), start);
    let later = start + Duration::from_millis(1);
    apply(&mut record, &beat("a", 10, 2, READY), later);
    let effect = record.apply_health_answer(&asked, &answer(Some("a"), true));
    assert_eq!(effect, None);
    let state = record.process().map(|process| process.state);
    assert_eq!(state, Some(DRAINING));
}

cases! {
    /// Guards against a healthy target that never gets work because its health check fails, and against work for one
    /// that left seconds ago and whose heartbeats are delayed.
    fn unconfirmed_process_that_sends_heartbeats(for_s: u64, is_recorded: bool) {
        let mut record = TargetRecord::default();
        let start = Instant::now();
        for second in 0..=for_s {
            let now = start + Duration::from_secs(second);
            apply(&mut record, &beat("a", 10, second, READY), now);
            apply(&mut record, &unhealthy("a"), now);
        }
        assert_eq!(record.process().is_some(), is_recorded);
    }
    for_some_seconds: (12, false),
    for_long: (20, true),
}

/// Guards against health checks without end for a process that sends nothing more.
#[test]
fn candidate_that_falls_silent_is_dropped() {
    let mut record = TargetRecord::default();
    let start = Instant::now();
    apply(&mut record, &beat("a", 10, 1, READY), start);
    assert!(
        record
            .unconfirmed(start + Duration::from_secs(15))
            .is_some()
    );
    assert!(
        record
            .unconfirmed(start + Duration::from_secs(16))
            .is_none()
    );
}

/// A notice of one of four processes, of which two share an id, or an answer of the one that runs.
#[derive(Debug, Clone)]
struct AnyNotice(TargetNotice);

impl Arbitrary for AnyNotice {
    fn arbitrary(g: &mut Gen) -> Self {
        let (process, born_ms) = *g
            .choose(&[("a", 10), ("a", 11), ("b", 10), ("b", 12)])
            .expect("a process");
        let sequence = u64::arbitrary(g) % 8;
        Self(match u8::arbitrary(g) % 6 {
            0 => leave(process, Some(born_ms)),
            1 => heartbeat_notice(process, born_ms, sequence, DRAINING),
            _ => heartbeat_notice(process, born_ms, sequence, READY),
        })
    }
}

quickcheck! {
    /// Guards against work for a process after the acknowledgement of its leaving, for notices in any order, delayed,
    /// repeated and lost, and for a node that starts again at any point.
    fn process_that_leaves_gets_no_work(notices: Vec<AnyNotice>, restart_at: usize) -> bool {
        let mut record = TargetRecord::default();
        let now = Instant::now();
        // The process that runs is `a` with start 11. It announces its leaving first, so every other notice is late.
        let leaving = heartbeat_notice("a", 11, 3, DRAINING);
        apply(&mut record, &Step::Notice(leaving), now);
        notices.iter().enumerate().all(|(index, AnyNotice(notice))| {
            if index == restart_at % 16 {
                record = TargetRecord::default();
            }
            apply(&mut record, &Step::Notice(notice.clone()), now);
            apply(&mut record, &unhealthy("a"), now);
            record.process().is_none_or(|known| known.state == DRAINING)
        })
    }

    /// Guards against a healthy process that is kept from work by late notices of others: its next heartbeat and health
    /// check undo them.
    fn process_that_runs_gets_work_again(notices: Vec<AnyNotice>) -> bool {
        let mut record = TargetRecord::default();
        let now = Instant::now();
        for AnyNotice(notice) in &notices {
            let is_of_running = match notice {
                TargetNotice::Heartbeat(late) => &*late.process == "a" && late.born_ms == 11,
                TargetNotice::Leave { process, born_ms } => &**process == "a" && *born_ms == Some(11),
            };
            if !is_of_running {
                apply(&mut record, &Step::Notice(notice.clone()), now);
                apply(&mut record, &healthy("a"), now);
            }
        }
        apply(&mut record, &beat("a", 11, 9, READY), now);
        apply(&mut record, &healthy("a"), now);
        record.process().is_some_and(|known| {
            &*known.id == "a" && known.born_ms() == Some(11) && known.state == READY
        })
    }
}

/// Guards against a heartbeat of another target that is taken for the one beside the node.
#[test]
fn heartbeat_of_another_target_is_not_taken_over() {
    let mut record = TargetRecord::default();
    let mut other_service = heartbeat("a", 10, 1, READY);
    other_service.service = "dispatch".into();
    let mut other_address = heartbeat("a", 10, 1, READY);
    other_address.address = ([10, 1, 0, 9], 8301).into();
    for foreign in [other_service, other_address] {
        let effect = record.apply_notice(&TargetNotice::Heartbeat(foreign), &own(), Instant::now());
        assert_eq!(effect, NoticeEffect::Foreign);
    }
    assert_eq!(record.process(), None);
}
