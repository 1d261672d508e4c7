//! Workspaces in catalogue files, changes and differences.

use {
    jujubeline_catalogue::{
        Allowance, CatalogueState, Change, Edit, Rate, StateError, Workspace, parse_file,
    },
    jujubeline_core::{KeyDigest, cases},
};

const DIGEST: &str = "00112233445566778899aabbccddeeff";

fn workspace(name: &str, keys: &[&str], rate_thousandths: u64) -> Workspace {
    Workspace {
        name: name.into(),
        keys_sha256: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: 1,
        allowance: (rate_thousandths > 0).then_some(Allowance {
            rate_per_s: Rate::from_thousandths(rate_thousandths),
            burst: 4,
        }),
    }
}

fn change(revision: u64, edits: Vec<Edit>) -> Change {
    Change {
        revision,
        change_id: format!("c{revision}"),
        author: "operations".to_owned(),
        made_at_ms: 0,
        edits,
    }
}

/// Guards against a file whose workspaces are lost when it is written and read again.
#[test]
fn workspaces_survive_a_file() {
    let text = format!(
        "[[workspace]]\nname = \"acme\"\nkeys_sha256 = [\"{DIGEST}\"]\npriority = 2\nrate_per_s = 2.5\nburst = 7\n\
         [[workspace]]\nname = \"free\"\n"
    );
    let catalogue = parse_file("c.toml", &text).expect("valid");
    let acme = &catalogue.workspaces["acme"];
    assert_eq!(acme.keys_sha256[0].to_string(), DIGEST);
    let allowance = acme.allowance.expect("an allowance");
    assert_eq!(
        (
            allowance.rate_per_s.thousandths(),
            allowance.burst,
            acme.priority
        ),
        (2_500, 7, 2)
    );
    assert_eq!(catalogue.workspaces["free"].allowance, None);
    let written = catalogue.to_toml().expect("TOML");
    assert_eq!(parse_file("c.toml", &written), Ok(catalogue));
}

cases! {
    /// Guards against a mistake in a workspace that takes effect, and against an error that shows a key.
    fn mistake_is_named(fields: &str, expected: &str) {
        let text = format!("[[workspace]]\nname = \"acme\"\n{fields}\n");
        let problems = parse_file("c.toml", &text).expect_err("a problem");
        let shown: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(shown.iter().any(|problem| problem.contains(expected)), "{shown:?}");
        assert!(!shown.iter().any(|problem| problem.contains("plain-secret")), "{shown:?}");
    }
    key_in_place_of_digest: ("keys_sha256 = [\"plain-secret\"]", "keys_sha256: holds a text that is not"),
    key_empty: ("keys_sha256 = [\"\"]", "keys_sha256: holds a text that is not"),
    keys_not_a_list: ("keys_sha256 = \"plain-secret\"", "must be an array of strings"),
    rate_negative: ("rate_per_s = -1.0", "rate_per_s: -1 is not in 0"),
    rate_endless: ("rate_per_s = inf", "rate_per_s: inf is not in 0"),
    rate_not_a_number: ("rate_per_s = \"many\"", "must be a number"),
    burst_without_rate: ("burst = 3", "burst: needs rate_per_s"),
    burst_negative: ("rate_per_s = 1\nburst = -3", "burst: -3 is negative"),
    priority_too_low: ("priority = 2000", "priority: 2000 is not in 0 to 1000"),
    unknown_field: ("quota = 3", "quota: unknown field"),
    name_twice: ("[[workspace]]\nname = \"acme\"", "duplicate name \"acme\""),
    key_of_two: (
        "keys_sha256 = [\"00112233445566778899aabbccddeeff\"]\n[[workspace]]\nname = \"zenith\"\n\
         keys_sha256 = [\"00112233445566778899aabbccddeeff\"]",
        "workspaces \"acme\" and \"zenith\" hold the same key"
    ),
}

/// Guards against a key that stays in use at a node that gets the difference between two revisions, or the full state.
#[test]
fn differences_name_added_and_withdrawn_keys() {
    let mut state = CatalogueState::for_configurations();
    let [a, b] = [
        workspace("a", &["k1", "k2"], 0),
        workspace("b", &["k3"], 1_000),
    ];
    let both = [a, b.clone()];
    state
        .replace_with_workspaces(4, &[], &[], Some(&both))
        .expect("valid");
    let mut behind = state.clone();
    let fewer = [workspace("a", &["k2"], 0)];
    state
        .replace_with_workspaces(6, &[], &[], Some(&fewer))
        .expect("valid");
    let difference = state.changes_since(4);
    assert_eq!((difference.from, difference.workspaces.set.len()), (4, 1));
    assert_eq!(difference.workspaces.removed, [(6, "b".into())]);
    behind.merge(&difference).expect("newer");
    let mut started = CatalogueState::for_configurations();
    started.merge(&state.full_state()).expect("newer");
    for node in [&state, &behind, &started] {
        let known: Vec<_> = node.workspaces().map(|one| Workspace::clone(one)).collect();
        assert_eq!(known, fewer);
        assert!(node.keys_required());
    }
    state
        .replace_with_workspaces(8, &[], &[], None)
        .expect("valid");
    behind.merge(&state.changes_since(6)).expect("newer");
    assert!(!behind.keys_required() && behind.workspaces().next().is_none());
}

/// Guards against a configuration whose last workspace loses its keys and that then needs none.
#[test]
fn keys_stay_required_without_any_key() {
    let mut state = CatalogueState::for_configurations();
    state
        .replace_with_workspaces(4, &[], &[], Some(&[]))
        .expect("valid");
    assert!(state.keys_required());
}

/// Guards against a change of the native log that sets an invalid workspace, and against one that is not applied.
#[test]
fn changes_set_and_remove_workspaces() {
    let mut state = CatalogueState::default();
    let set = Edit::SetWorkspace(workspace("a", &["k1"], 1_000));
    state.apply(&change(1, vec![set])).expect("valid");
    assert!(state.keys_required());
    let broken = Edit::SetWorkspace(Workspace {
        priority: 5_000,
        ..workspace("b", &[], 0)
    });
    let refused = state.apply(&change(2, vec![broken]));
    assert!(
        matches!(refused, Err(StateError::Invalid { .. })),
        "{refused:?}"
    );
    let remove = Edit::RemoveWorkspace("a".into());
    state.apply(&change(2, vec![remove])).expect("valid");
    assert!(!state.keys_required());
}

/// Guards against a number of workspaces that cannot be kept or passed on: 10,000 with 4 keys each.
#[test]
fn ten_thousand_workspaces_are_kept_and_passed_on() {
    let named = |number: usize| {
        let keys: Vec<String> = (0..4).map(|key| format!("key-{number}-{key}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        workspace(&format!("workspace-{number}"), &keys, 1_000)
    };
    let many: Vec<Workspace> = (0..10_000).map(named).collect();
    let mut state = CatalogueState::for_configurations();
    state
        .replace_with_workspaces(4, &[], &[], Some(&many))
        .expect("valid");
    let mut changed = many;
    changed[77].keys_sha256.pop();
    state
        .replace_with_workspaces(5, &[], &[], Some(&changed))
        .expect("valid");
    assert_eq!(
        state.changes_since(4).workspaces.set.len(),
        1,
        "only what changed is passed on"
    );
    assert_eq!(state.workspaces().count(), 10_000);
}
