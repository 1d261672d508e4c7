//! Notices of a target that arrive late, twice, or from another process.

use {
    jujubeline_coordination::{NoticeEffect, OwnTarget, TargetRecord},
    jujubeline_core::{AnnouncedState, Heartbeat, TargetNotice, cases},
    std::time::Duration,
};

const READY: AnnouncedState = AnnouncedState::Ready(Duration::ZERO);
const TAKEN: NoticeEffect = NoticeEffect::Taken { new_process: false };

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

cases! {
    /// Guards against work for a target that leaves or has ended: a notice that was delayed must not undo a later one.
    fn last_notice_is(notices: Vec<TargetNotice>, effect: NoticeEffect, process: &str, state: AnnouncedState) {
        let mut record = TargetRecord::default();
        let mut last = None;
        for notice in &notices {
            last = Some(record.apply_notice(notice, &own()));
        }
        assert_eq!(last, Some(effect));
        let known = record.process().expect("a process");
        assert_eq!((&*known.id, known.state), (process, state));
    }
    first_heartbeat: (vec![heartbeat_notice("a", 10, 1, READY)], NoticeEffect::Taken { new_process: true }, "a", READY),
    next_heartbeat: (
        vec![heartbeat_notice("a", 10, 1, READY), heartbeat_notice("a", 10, 2, AnnouncedState::Draining)],
        TAKEN, "a", AnnouncedState::Draining,
    ),
    delayed_heartbeat: (
        vec![heartbeat_notice("a", 10, 2, AnnouncedState::Draining), heartbeat_notice("a", 10, 1, READY)],
        NoticeEffect::Outdated, "a", AnnouncedState::Draining,
    ),
    repeated_heartbeat: (
        vec![heartbeat_notice("a", 10, 2, READY), heartbeat_notice("a", 10, 2, READY)],
        NoticeEffect::Outdated, "a", READY,
    ),
    first_heartbeat_of_new_process: (
        vec![heartbeat_notice("a", 10, 9, AnnouncedState::Draining), heartbeat_notice("b", 11, 1, READY)],
        NoticeEffect::Taken { new_process: true }, "b", READY,
    ),
    restart_with_the_same_id: (
        vec![heartbeat_notice("a", 10, 9, AnnouncedState::Draining), heartbeat_notice("a", 11, 1, READY)],
        NoticeEffect::Taken { new_process: true }, "a", READY,
    ),
    heartbeat_of_former_process: (
        vec![heartbeat_notice("b", 11, 1, READY), heartbeat_notice("a", 10, 99, READY)],
        NoticeEffect::Outdated, "b", READY,
    ),
    leave_of_known_process: (
        vec![heartbeat_notice("a", 10, 1, READY), leave("a", None)],
        TAKEN, "a", AnnouncedState::Draining,
    ),
    heartbeat_after_leave: (
        vec![heartbeat_notice("a", 10, 1, READY), leave("a", Some(10)), heartbeat_notice("a", 10, 2, READY)],
        TAKEN, "a", AnnouncedState::Draining,
    ),
    heartbeat_after_early_leave: (
        vec![leave("a", Some(10)), heartbeat_notice("a", 10, 2, READY)],
        NoticeEffect::Taken { new_process: true }, "a", AnnouncedState::Draining,
    ),
    heartbeats_after_early_leave_without_start: (
        vec![leave("a", None), heartbeat_notice("a", 10, 2, READY), heartbeat_notice("a", 10, 3, READY)],
        TAKEN, "a", AnnouncedState::Draining,
    ),
    heartbeat_after_early_leave_of_next_process: (
        vec![heartbeat_notice("a", 10, 1, READY), leave("b", Some(11)), heartbeat_notice("b", 11, 1, READY)],
        NoticeEffect::Taken { new_process: true }, "b", AnnouncedState::Draining,
    ),
    restart_after_early_leave: (
        vec![leave("a", Some(10)), heartbeat_notice("a", 11, 1, READY)],
        NoticeEffect::Taken { new_process: true }, "a", READY,
    ),
    restart_after_early_leave_without_start: (
        vec![leave("a", None), heartbeat_notice("a", 10, 2, READY), heartbeat_notice("a", 11, 1, READY)],
        NoticeEffect::Taken { new_process: true }, "a", READY,
    ),
    leave_of_former_process: (
        vec![heartbeat_notice("b", 11, 1, READY), leave("a", Some(10))],
        NoticeEffect::Outdated, "b", READY,
    ),
    leave_of_former_start: (
        vec![heartbeat_notice("a", 11, 1, READY), leave("a", Some(10))],
        NoticeEffect::Outdated, "a", READY,
    ),
}

cases! {
    /// Guards against an answer to the node's own query that overrides a notice, and against notices that are ignored
    /// after such an answer.
    fn answer_then(before: Vec<TargetNotice>, taken: bool, after: Vec<TargetNotice>, state: AnnouncedState) {
        let mut record = TargetRecord::default();
        for notice in &before {
            record.apply_notice(notice, &own());
        }
        assert_eq!(record.record_healthy_process(&"a".into(), 4), taken);
        for notice in &after {
            assert!(matches!(record.apply_notice(notice, &own()), NoticeEffect::Taken { .. }), "{notice:?}");
        }
        assert_eq!(record.process().map(|process| process.state), Some(state));
    }
    without_notices: (vec![], true, vec![], READY),
    first_heartbeat_after_answer: (
        vec![], true, vec![heartbeat_notice("a", 10, 0, AnnouncedState::Draining)], AnnouncedState::Draining,
    ),
    next_process_after_answer: (vec![], true, vec![heartbeat_notice("b", 11, 1, READY)], READY),
    leave_after_answer: (
        vec![], true, vec![leave("a", Some(10)), heartbeat_notice("a", 10, 7, READY)], AnnouncedState::Draining,
    ),
    restart_after_leave: (vec![], true, vec![leave("a", Some(10)), heartbeat_notice("a", 11, 1, READY)], READY),
    known_before_answer: (
        vec![heartbeat_notice("a", 10, 1, AnnouncedState::Draining)],
        false, vec![], AnnouncedState::Draining,
    ),
    left_before_answer: (
        vec![leave("a", Some(10))],
        false, vec![heartbeat_notice("a", 10, 2, READY)], AnnouncedState::Draining,
    ),
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
        let effect = record.apply_notice(&TargetNotice::Heartbeat(foreign), &own());
        assert_eq!(effect, NoticeEffect::Foreign);
    }
    assert_eq!(record.process(), None);
}
