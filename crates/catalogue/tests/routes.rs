//! Tests of entries with hosts, any method and splits, and of replacing the whole catalogue.

use {
    jujubeline_catalogue::{ANY_METHOD, CatalogueState, Entry, Preference, Share, StateError},
    jujubeline_core::{Class, cases},
};

fn entry(name: &str, host: Option<&str>, method: &str, path_prefix: &str) -> Entry {
    Entry {
        name: name.into(),
        owner: "operators".to_owned(),
        host: host.map(ToOwned::to_owned),
        method: method.to_owned(),
        path_prefix: path_prefix.to_owned(),
        service: "billing".into(),
        split: Vec::new(),
        class: Class::Normal,
        deadline_ms: 1_000,
        retry_bound: 1,
        max_attempts: None,
        concurrency: 10,
        at_most_once: false,
        keyed: true,
        public: false,
        prefer: Preference::Goodput,
        unreadable: false,
    }
}

fn share(service: &str, weight: u32) -> Share {
    Share {
        service: service.into(),
        weight,
    }
}

cases! {
    /// Guards against matching a request to the entry of another host or method.
    fn finds_entry(host: Option<&str>, method: &str, path: &str, expected: Option<&str>) {
        let mut state = CatalogueState::default();
        let entries = [
            entry("any-host", None, "GET", "/a/"),
            entry("host", Some("x.example"), ANY_METHOD, "/a/"),
            entry("deeper", Some("x.example"), ANY_METHOD, "/a/b/"),
        ];
        state.replace(5, &entries, &[]).expect("valid");
        let found = state.find(host, method, path).map(|entry| &*entry.name);
        assert_eq!(found, expected);
    }
    deepest: (Some("x.example"), "PUT", "/a/b/c", Some("deeper")),
    own_host: (Some("x.example"), "PUT", "/a/c", Some("host")),
    other_host: (Some("y.example"), "GET", "/a/c", Some("any-host")),
    other_host_and_method: (Some("y.example"), "PUT", "/a/c", None),
    no_host: (None, "GET", "/a/c", Some("any-host")),
}

/// Guards against shares of requests that differ from the weights.
#[test]
fn split_follows_weights() {
    let mut divided = entry("divided", None, "GET", "/");
    divided.split = vec![share("s1", 90), share("s2", 0), share("s3", 10)];
    let count = |service: &str| {
        let positions = (0..1_000).map(|step| f64::from(step) / 1_000.0);
        positions
            .filter(|at| &**divided.service_at(*at) == service)
            .count()
    };
    assert_eq!((count("s1"), count("s2"), count("s3")), (900, 0, 100));
    assert_eq!(
        &**entry("whole", None, "GET", "/").service_at(0.5),
        "billing"
    );
}

cases! {
    /// Guards against accepting an entry that no target can serve.
    fn is_refused(change: fn(&mut Entry), field: &str) {
        let mut changed = entry("changed", Some("x.example"), ANY_METHOD, "/a/");
        change(&mut changed);
        let problems = changed.problems();
        assert!(problems.iter().any(|problem| problem.field == field), "{problems:?}");
    }
    no_weight: (|entry| entry.split = vec![share("s1", 0)], "split"),
    service_without_name: (|entry| entry.split = vec![share("", 1)], "split"),
    host_with_space: (|entry| entry.host = Some("x example".to_owned()), "host"),
}

/// Guards against a replacement that keeps removed entries, or that returns to an older revision.
#[test]
fn replacement_removes_entries_and_needs_newer_revision() {
    let mut state = CatalogueState::default();
    let (a, b) = (
        entry("a", None, "GET", "/a/"),
        entry("b", None, "GET", "/b/"),
    );
    state
        .replace(7, &[a.clone(), b.clone()], &[])
        .expect("valid");
    state
        .replace(12, std::slice::from_ref(&b), &[])
        .expect("valid");
    assert!(state.entry("a").is_none() && state.entry("b").is_some());
    let older = state.replace(9, &[a.clone(), b.clone()], &[]);
    assert!(
        matches!(older, Err(StateError::NotNewer { .. })),
        "{older:?}"
    );
    let twice = state.replace(13, &[a.clone(), a], &[]);
    assert!(
        matches!(twice, Err(StateError::Invalid { .. })),
        "{twice:?}"
    );
    assert_eq!(state.revision(), 12);
    // A node that merges the difference has the same entries.
    let mut peer = CatalogueState::default();
    peer.merge(&state.changes_since(0)).expect("valid");
    assert_eq!(peer.catalogue(), state.catalogue());
}

/// Guards against a removal that a node misses because its peer started after the removal and has no tombstone of the
/// entry.
#[test]
fn restarted_peer_sends_full_state() {
    let (a, b) = (
        entry("a", None, "GET", "/a/"),
        entry("b", None, "GET", "/b/"),
    );
    let mut behind = CatalogueState::default();
    behind.replace(12, &[a, b.clone()], &[]).expect("valid");
    let mut restarted = CatalogueState::default();
    restarted.replace(16, &[b], &[]).expect("valid");
    behind.merge(&restarted.changes_since(12)).expect("valid");
    assert!(behind.entry("a").is_none(), "the entry was removed at 16");
    assert_eq!(behind.catalogue(), restarted.catalogue());
}

/// Guards against a removed entry that a node keeps, because its peer went from a revision before the entry was added
/// to one after it was removed and cannot name it in a difference.
#[test]
fn peer_that_skipped_revision_sends_full_state() {
    let (a, b) = (
        entry("a", None, "GET", "/a/"),
        entry("b", None, "GET", "/b/"),
    );
    let mut changed = b.clone();
    changed.deadline_ms += 1;
    let mut behind = CatalogueState::default();
    behind
        .replace(4, std::slice::from_ref(&b), &[])
        .expect("valid");
    behind.replace(6, &[a, changed], &[]).expect("valid");
    let mut skipped = CatalogueState::default();
    skipped
        .replace(4, std::slice::from_ref(&b), &[])
        .expect("valid");
    skipped.replace(9, &[b], &[]).expect("valid");
    assert_eq!(
        skipped.changes_since(4).from,
        4,
        "4 was in effect at the peer"
    );
    let mut through_peers = CatalogueState::for_configurations();
    through_peers.merge(&skipped.full_state()).expect("valid");
    for peer in [skipped, through_peers] {
        let mut behind = behind.clone();
        behind.merge(&peer.changes_since(6)).expect("valid");
        assert_eq!(behind.catalogue(), peer.catalogue());
    }
}

/// Guards against a removed entry that a node keeps, because it requested the difference before a newer configuration
/// took effect on it and merged it afterwards.
#[test]
fn difference_from_past_revision_is_refused() {
    let (a, b) = (
        entry("a", None, "GET", "/a/"),
        entry("b", None, "GET", "/b/"),
    );
    let mut peer = CatalogueState::default();
    peer.replace(6, std::slice::from_ref(&b), &[])
        .expect("valid");
    peer.replace(9, std::slice::from_ref(&b), &[])
        .expect("valid");
    let difference = peer.changes_since(6);
    let mut behind = CatalogueState::default();
    behind
        .replace(6, std::slice::from_ref(&b), &[])
        .expect("valid");
    behind.replace(7, &[a, b], &[]).expect("valid");
    assert!(behind.merge(&difference).is_err());
    behind.merge(&peer.changes_since(7)).expect("valid");
    assert_eq!(behind.catalogue(), peer.catalogue());
}

/// Guards against a removed entry that a node keeps, because its peer received its revisions from other peers only and
/// never had the revision with the entry.
#[test]
fn node_that_merged_past_revision_sends_full_state() {
    let (a, b) = (
        entry("a", None, "GET", "/a/"),
        entry("b", None, "GET", "/b/"),
    );
    let mut peer = CatalogueState::default();
    peer.replace(4, std::slice::from_ref(&b), &[])
        .expect("valid");
    let mut merged = CatalogueState::for_configurations();
    merged.merge(&peer.changes_since(0)).expect("valid");
    peer.replace(9, std::slice::from_ref(&b), &[])
        .expect("valid");
    merged.merge(&peer.changes_since(4)).expect("valid");
    let mut behind = CatalogueState::default();
    behind.replace(6, &[a, b], &[]).expect("valid");
    behind.merge(&merged.changes_since(6)).expect("valid");
    assert_eq!(behind.catalogue(), merged.catalogue());
}
