//! Notices of a target that arrive late, twice, or from another process.

use {
    jujubeline_coordination::{Noted, OwnTarget, TargetRecord},
    jujubeline_core::{AnnouncedState, Heartbeat, TargetNotice, cases},
    std::time::Duration,
};

const READY: AnnouncedState = AnnouncedState::Ready(Duration::ZERO);
const TAKEN: Noted = Noted::Taken { new_process: false };

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

fn beat(process: &str, born_ms: u64, sequence: u64, state: AnnouncedState) -> TargetNotice {
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
    fn last_notice_is(notices: Vec<TargetNotice>, noted: Noted, process: &str, state: AnnouncedState) {
        let mut record = TargetRecord::default();
        let mut last = None;
        for notice in &notices {
            last = Some(record.note(notice, &own()));
        }
        assert_eq!(last, Some(noted));
        let known = record.process().expect("a process");
        assert_eq!((&*known.id, known.state), (process, state));
    }
    first: (vec![beat("a", 10, 1, READY)], Noted::Taken { new_process: true }, "a", READY),
    next: (vec![beat("a", 10, 1, READY), beat("a", 10, 2, AnnouncedState::Draining)], TAKEN, "a", AnnouncedState::Draining),
    late: (vec![beat("a", 10, 2, AnnouncedState::Draining), beat("a", 10, 1, READY)], Noted::Outdated, "a", AnnouncedState::Draining),
    repeated: (vec![beat("a", 10, 2, READY), beat("a", 10, 2, READY)], Noted::Outdated, "a", READY),
    reborn: (vec![beat("a", 10, 9, AnnouncedState::Draining), beat("b", 11, 1, READY)], Noted::Taken { new_process: true }, "b", READY),
    reborn_with_the_same_id: (vec![beat("a", 10, 9, AnnouncedState::Draining), beat("a", 11, 1, READY)], Noted::Taken { new_process: true }, "a", READY),
    of_the_former_process: (vec![beat("b", 11, 1, READY), beat("a", 10, 99, READY)], Noted::Outdated, "b", READY),
    leaving: (vec![beat("a", 10, 1, READY), leave("a", None)], TAKEN, "a", AnnouncedState::Draining),
    back_after_leaving: (vec![beat("a", 10, 1, READY), leave("a", Some(10)), beat("a", 10, 2, READY)], TAKEN, "a", AnnouncedState::Draining),
    beat_after_unknown_leaving: (vec![leave("a", Some(10)), beat("a", 10, 2, READY)], Noted::Taken { new_process: true }, "a", AnnouncedState::Draining),
    beats_after_unknown_leaving: (vec![leave("a", None), beat("a", 10, 2, READY), beat("a", 10, 3, READY)], TAKEN, "a", AnnouncedState::Draining),
    beat_after_leaving_of_the_next: (vec![beat("a", 10, 1, READY), leave("b", Some(11)), beat("b", 11, 1, READY)], Noted::Taken { new_process: true }, "b", AnnouncedState::Draining),
    reborn_after_unknown_leaving: (vec![leave("a", Some(10)), beat("a", 11, 1, READY)], Noted::Taken { new_process: true }, "a", READY),
    reborn_after_leaving_without_start: (vec![leave("a", None), beat("a", 10, 2, READY), beat("a", 11, 1, READY)], Noted::Taken { new_process: true }, "a", READY),
    leaving_of_the_former_process: (vec![beat("b", 11, 1, READY), leave("a", Some(10))], Noted::Outdated, "b", READY),
    leaving_of_the_former_start: (vec![beat("a", 11, 1, READY), leave("a", Some(10))], Noted::Outdated, "a", READY),
}

cases! {
    /// Guards against an answer to the node's own question that takes back what a notice said, and against notices that
    /// are not believed after such an answer.
    fn answer_then(before: Vec<TargetNotice>, taken: bool, after: Vec<TargetNotice>, state: AnnouncedState) {
        let mut record = TargetRecord::default();
        for notice in &before {
            record.note(notice, &own());
        }
        assert_eq!(record.note_answer(&"a".into(), 4), taken);
        for notice in &after {
            assert!(matches!(record.note(notice, &own()), Noted::Taken { .. }), "{notice:?}");
        }
        assert_eq!(record.process().map(|process| process.state), Some(state));
    }
    alone: (vec![], true, vec![], READY),
    first_beat: (vec![], true, vec![beat("a", 10, 0, AnnouncedState::Draining)], AnnouncedState::Draining),
    next_process: (vec![], true, vec![beat("b", 11, 1, READY)], READY),
    leaving_after: (vec![], true, vec![leave("a", Some(10)), beat("a", 10, 7, READY)], AnnouncedState::Draining),
    reborn_after_leaving: (vec![], true, vec![leave("a", Some(10)), beat("a", 11, 1, READY)], READY),
    known_before: (vec![beat("a", 10, 1, AnnouncedState::Draining)], false, vec![], AnnouncedState::Draining),
    left_before: (vec![leave("a", Some(10))], false, vec![beat("a", 10, 2, READY)], AnnouncedState::Draining),
}

/// Guards against a heartbeat of another target that is taken for the one beside the node.
#[test]
fn a_foreign_target_is_not_taken_over() {
    let mut record = TargetRecord::default();
    let mut other_service = heartbeat("a", 10, 1, READY);
    other_service.service = "dispatch".into();
    let mut other_address = heartbeat("a", 10, 1, READY);
    other_address.address = ([10, 1, 0, 9], 8301).into();
    for foreign in [other_service, other_address] {
        let noted = record.note(&TargetNotice::Heartbeat(foreign), &own());
        assert_eq!(noted, Noted::Foreign);
    }
    assert_eq!(record.process(), None);
}
