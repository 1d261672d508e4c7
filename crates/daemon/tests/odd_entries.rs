//! Entries that another writer left in the store, beside those of two daemons, with stand-ins for the store and a target.

mod support;

use {
    jujubeline_core::cases,
    jujubeline_standin::platform::Faults,
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        get,
        target_fleet::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT},
    },
};

/// Time in which the store is read again several times.
const SEVERAL_READS: Duration = Duration::from_secs(8);
const UNREADABLE: &str =
    "jujubeline_platform_entries_unreadable_total{otel_scope_name=\"jujubeline\"} ";

fn object(spec: &str) -> String {
    format!(r#"{{"metadata":{{"name":"odd","revision":1}},"spec":{spec}}}"#)
}

fn deep() -> String {
    "[".repeat(5_000) + &"]".repeat(5_000)
}

fn unreadable_entries(fleet: &Fleet) -> u64 {
    let metrics = get(fleet.edge.operators, "/metrics");
    let value = metrics
        .lines()
        .find_map(|line| line.strip_prefix(UNREADABLE));
    value.expect("the metric").parse().unwrap()
}

cases! {
    /// Guards against nodes that never find each other, or never read a configuration, because one entry in the listings
    /// and watches of the store cannot be read; and against a count that rises with each read of it.
    fn odd_entry_stops_no_node(odd_object: String) {
        let fleet = Fleet::ready_with_faults(Faults { odd_object, ..Faults::default() });
        let until = Instant::now() + WAIT_TIMEOUT;
        while !fleet.send().starts_with("HTTP/1.1 200") {
            assert!(Instant::now() < until, "requests are refused");
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(SEVERAL_READS);
        assert!(fleet.send().starts_with("HTTP/1.1 200"));
        // One for each kind of object that the node reads, and for an event if the node watches.
        let counted = unreadable_entries(&fleet);
        assert!((1..=6).contains(&counted), "{counted} entries");
    }
    deeply_nested: (object(&deep())),
    number_too_large: (object("1e999")),
    port_out_of_range: (object(r#"{"node":"odd","data_centre":"dc1","control_address":"127.0.0.1:99999"}"#)),
    fields_missing: (object("{}")),
    version_of_many_digits: (object("1").replace(":1,", ":999999999999999999999999999999,").replace("\"revision\":1", "\"revision\":999999999999999999999999999999")),
    no_object: ("[null]".to_owned()),
}
