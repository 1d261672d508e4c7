//! Routes of a configuration that cannot take effect, among others that can.

use {
    jujubeline_catalogue::{
        ANY_METHOD, CatalogueState, Entry, MAX_CONCURRENCY, Preference, ServiceLimit,
        UnreadableRoute, UsableEntries,
    },
    jujubeline_core::{Class, cases},
};

fn entry(name: &str, path_prefix: &str) -> Entry {
    Entry {
        name: name.into(),
        owner: "operators".to_owned(),
        host: Some("a.example".to_owned()),
        method: ANY_METHOD.to_owned(),
        path_prefix: path_prefix.to_owned(),
        service: "schedules".into(),
        split: Vec::new(),
        class: Class::Normal,
        deadline_ms: 1_000,
        retry_bound: 4,
        max_attempts: Some(2),
        concurrency: MAX_CONCURRENCY,
        at_most_once: false,
        keyed: false,
        public: false,
        prefer: Preference::default(),
        unreadable: false,
    }
}

fn unreadable(host: &str, path_prefix: &str) -> Result<Entry, UnreadableRoute> {
    Err(UnreadableRoute {
        row: 1,
        detail: "type: not a text".to_owned(),
        address: Some((host.to_owned(), path_prefix.to_owned())),
    })
}

cases! {
    /// Guards against a route that takes others out of effect, and against requests of it that reach the service of a
    /// shorter prefix.
    fn good_routes_take_effect(route: Result<Entry, UnreadableRoute>, refuses: Option<&str>) {
        let routes = vec![Ok(entry("outer", "/a/")), route, Ok(entry("other", "/c/"))];
        let usable = UsableEntries::from_routes(routes);
        assert_eq!(usable.problems.len(), 1, "{:?}", usable.problems);
        let mut state = CatalogueState::for_configurations();
        state.replace(5, &usable.entries, &[]).expect("valid");
        for path in ["/a/1", "/c/1"] {
            let found = state.find(Some("a.example"), "GET", path).expect("a route");
            assert!(!found.unreadable, "{path}");
        }
        let refused = state.entries().find(|entry| entry.unreadable);
        assert_eq!(refused.map(|entry| &*entry.path_prefix), refuses);
    }
    unreadable_below_another: (unreadable("a.example", "/a/b/"), Some("/a/b/")),
    unreadable_host: (unreadable("not a host", "/b/"), None),
    unreadable_path: (unreadable("a.example", "no-slash"), None),
    unknown_address: (
        Err(UnreadableRoute { row: 1, detail: "host: not a text".to_owned(), address: None }),
        None
    ),
    broken_rule: (Ok(Entry { deadline_ms: 0, ..entry("b", "/b/") }), Some("/b/")),
    service_name_invalid: (Ok(Entry { service: "a b".into(), ..entry("b", "/b/") }), Some("/b/")),
    name_twice: (Ok(entry("outer", "/b/")), None),
    address_twice: (Ok(entry("b", "/a/")), None),
}

/// Guards against targets whose connection limit stays outdated on nodes that learn the configuration from a peer.
#[test]
fn limits_of_services_reach_peers() {
    let limit = |connections| ServiceLimit {
        service: "schedules".into(),
        connections,
        health_path: Some("/health".to_owned()),
    };
    let mut source = CatalogueState::for_configurations();
    let mut peer = CatalogueState::for_configurations();
    source
        .replace(3, &[entry("a", "/a/")], &[limit(640)])
        .expect("valid");
    peer.merge(&source.changes_since(0)).expect("newer");
    assert_eq!(peer.service_limit("schedules"), Some(&limit(640)));
    source
        .replace(5, &[entry("a", "/a/")], &[limit(640)])
        .expect("valid");
    let unchanged = source.changes_since(3);
    assert_eq!(unchanged.services, None);
    peer.merge(&unchanged).expect("newer");
    assert_eq!(peer.service_limit("schedules"), Some(&limit(640)));
    source
        .replace(9, &[entry("a", "/a/")], &[limit(700)])
        .expect("valid");
    peer.merge(&source.changes_since(5)).expect("newer");
    assert_eq!(peer.service_limit("schedules"), Some(&limit(700)));
}
