//! Properties of the versioned catalogue state.

use {
    jujubeline_catalogue::{
        CatalogueState, Change, Difference, Edit, Entry, StateError, WorkspaceChanges,
    },
    jujubeline_core::{Revision, cases},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const NODES: u64 = 4;

fn entry(name: &str, deadline_ms: u64) -> Entry {
    let json = serde_json::json!({
        "name": name, "owner": "dispatch", "method": "GET", "path_prefix": format!("/{name}/"),
        "service": "schedules", "class": "normal", "deadline_ms": deadline_ms, "retry_bound": 3,
        "concurrency": 80,
    });
    serde_json::from_value(json).expect("an entry")
}

fn change(revision: Revision, edits: Vec<Edit>) -> Change {
    Change {
        revision,
        change_id: format!("id-{revision}"),
        author: "test".to_owned(),
        made_at_ms: 0,
        edits,
    }
}

/// The state before the first change, followed by the state after each change.
fn states(changes: &[Change]) -> Vec<CatalogueState> {
    let mut states = vec![CatalogueState::default()];
    for change in changes {
        let mut next = states[states.len() - 1].clone();
        next.apply(change).expect("a valid change");
        states.push(next);
    }
    states
}

/// A sequence of changes, and steps. A step holds a node, a number that selects its peer or change, and whether the
/// node pulls a difference from the peer or applies the change.
#[derive(Debug, Clone)]
struct History {
    changes: Vec<Change>,
    steps: Vec<(u64, u64, bool)>,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let changes = (1..=2 + u64::arbitrary(g) % 12)
            .map(|revision| change(revision, arbitrary_edits(g)))
            .collect();
        let steps = Vec::arbitrary(g);
        Self { changes, steps }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let changes = self.changes.clone();
        Box::new(self.steps.shrink().map(move |steps| Self {
            changes: changes.clone(),
            steps,
        }))
    }
}

fn arbitrary_edits(g: &mut Gen) -> Vec<Edit> {
    ["a", "b", "c"]
        .into_iter()
        .filter_map(|subject| match u8::arbitrary(g) % 6 {
            0 => Some(Edit::Set(entry(subject, 1 + u64::arbitrary(g) % 9))),
            1 => Some(Edit::Remove(subject.into())),
            2 => Some(Edit::Retire(subject.into())),
            3 => Some(Edit::Reinstate(subject.into())),
            _ => None,
        })
        .collect()
}

/// Guards against a revision that decreases, and against nodes with different states at the same revision because they
/// received the changes in a different order, twice, or through peers.
#[test]
fn nodes_at_same_revision_have_same_content() {
    fn holds(History { changes, steps }: History) -> bool {
        let expected = states(&changes);
        let mut nodes = vec![CatalogueState::default(); usize::try_from(NODES).expect("few nodes")];
        steps.into_iter().all(|(node, source, pulls)| {
            let node = usize::try_from(node % NODES).expect("few nodes");
            let before = nodes[node].revision();
            let _refused = if pulls {
                let peer = nodes[usize::try_from(source % NODES).expect("few nodes")].clone();
                nodes[node].merge(&peer.changes_since(before))
            } else {
                // Mostly the next change, sometimes an older or a later one.
                let next = before + source % 3;
                let index = usize::try_from(next).expect("few changes") % changes.len();
                nodes[node].apply(&changes[index])
            };
            let after = &nodes[node];
            let index = usize::try_from(after.revision()).expect("few changes");
            after.revision() >= before && after.catalogue() == expected[index].catalogue()
        })
    }
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(holds as fn(History) -> bool);
}

/// Guards against a difference that omits a change, and against one that can be merged twice.
#[test]
fn merged_difference_equals_applied_changes() {
    fn holds(History { changes, .. }: History) -> bool {
        let states = states(&changes);
        states.iter().enumerate().all(|(start, old)| {
            states[start + 1..].iter().all(|new| {
                let mut merged = old.clone();
                let difference = new.changes_since(old.revision());
                merged.merge(&difference).expect("newer");
                let twice = merged.clone().merge(&difference);
                // A difference with the full state does not name older removals, so only the content is equal.
                let equal = if start == 0 {
                    merged.catalogue() == new.catalogue()
                } else {
                    merged == *new
                };
                equal && matches!(twice, Err(StateError::NotNewer { .. }))
            })
        })
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(History) -> bool);
}

/// Guards against a missing or superfluous edit between two catalogues.
#[test]
fn edits_turn_any_catalogue_into_any_other() {
    fn holds(History { changes, .. }: History) -> bool {
        let states = states(&changes);
        states.iter().all(|old| {
            states.iter().all(|new| {
                let target = new.catalogue();
                let edits = old.catalogue().edits_to(&target);
                let needed = edits.is_empty() == (old.catalogue() == target);
                let mut state = old.clone();
                let applied = state.apply(&change(old.revision() + 1, edits));
                needed && applied.is_ok() && state.catalogue() == target
            })
        })
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(holds as fn(History) -> bool);
}

/// Guards against an entry that remains after its removal on nodes whose revision is older than the retained
/// tombstones.
#[test]
fn start_older_than_tombstones_gets_full_state() {
    let set_edits = |range: std::ops::Range<u64>| {
        range
            .map(|n| Edit::Set(entry(&format!("e{n}"), 1)))
            .collect()
    };
    let remove_edits = |range: std::ops::Range<u64>| {
        range
            .map(|n| Edit::Remove(format!("e{n}").into()))
            .collect()
    };
    let changes = [
        change(1, set_edits(0..1_100)),
        change(2, remove_edits(0..600)),
        change(3, remove_edits(600..1_090)),
    ];
    let states = states(&changes);
    let difference = states[3].changes_since(1);
    assert_eq!((difference.from, difference.set.len()), (0, 10));
    let mut behind = states[1].clone();
    behind.merge(&difference).expect("newer");
    assert_eq!(behind.catalogue(), states[3].catalogue());
    assert_eq!(states[3].changes_since(2).from, 2);
}

fn difference_with(edit: impl Fn(&mut Difference)) -> Difference {
    let mut difference = Difference {
        from: 0,
        to: 5,
        set: vec![(4, entry("a", 1)), (5, entry("b", 1))],
        removed: Vec::new(),
        retired: vec![(2, "host-1".into())],
        reinstated: Vec::new(),
        services: None,
        workspaces: WorkspaceChanges::default(),
    };
    edit(&mut difference);
    difference
}

cases! {
    /// Guards against a malformed difference from a peer that changes the state in effect or causes a panic.
    fn merge_is_refused(difference: Difference) {
        let mut state = states(&[change(1, vec![Edit::Set(entry("z", 1))])]).remove(1);
        let before = state.clone();
        assert!(state.merge(&difference).is_err());
        assert_eq!(state, before);
    }
    start_after_revision_in_effect: (difference_with(|d| d.from = 2)),
    entry_revision_after_end: (difference_with(|d| d.set[0].0 = 6)),
    entry_revision_zero: (difference_with(|d| d.set[0].0 = 0)),
    entry_twice: (difference_with(|d| d.set[1].1 = entry("a", 2))),
    entry_set_and_removed: (difference_with(|d| d.removed.push((5, "a".into())))),
    instance_twice: (difference_with(|d| d.reinstated.push((3, "host-1".into())))),
    retry_bound_over_the_limit: (difference_with(|d| d.set[0].1.retry_bound = 11)),
    equal_prefixes: (difference_with(|d| d.set[0].1.path_prefix = "/b/".to_owned())),
    invalid_instance_name: (difference_with(|d| d.retired[0].1 = "../x".into())),
    end_not_newer: (difference_with(|d| d.to = 1)),
}

cases! {
    /// Guards against a change that is applied partially or out of order.
    fn change_is_refused(change: Change) {
        let mut state = states(&[crate::change(1, vec![Edit::Set(entry("z", 1))])]).remove(1);
        let before = state.clone();
        assert!(state.apply(&change).is_err());
        assert_eq!(state, before);
    }
    change_revision_gap: (change(3, vec![])),
    change_applied_before: (change(1, vec![])),
    change_revision_zero: (change(0, vec![])),
    change_revision_max: (change(u64::MAX, vec![])),
    entry_edited_twice: (change(2, vec![Edit::Remove("z".into()), Edit::Set(entry("z", 2))])),
    invalid_entry: (change(2, vec![Edit::Set(entry("y", 1)), Edit::Set(entry("x", 0))])),
    change_with_too_many_entries: (change(2, (0..17_000).map(|n| Edit::Set(entry(&format!("e{n}"), 1))).collect())),
}

/// Guards against a catalogue that accepts no further change after an invalid one.
#[test]
fn correction_can_follow_invalid_change() {
    let mut state = CatalogueState::default();
    let broken = change(1, vec![Edit::Set(entry("a", 0))]);
    assert!(matches!(
        state.apply(&broken),
        Err(StateError::Invalid { .. })
    ));
    state.skip_invalid(1).expect("the next revision");
    state
        .apply(&change(2, vec![Edit::Set(entry("a", 1))]))
        .expect("the correction");
    assert_eq!(state.changes_since(u64::MAX).set, []);
}
