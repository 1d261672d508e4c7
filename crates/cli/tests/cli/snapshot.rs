//! Tests of the snapshot and the removal of old changes, with two tools and slow readers.

use {
    crate::support::{Fixture, append_one, client, edit, options},
    jujubeline_catalogue::{
        CHANGES_PER_SNAPSHOT, Difference, LoggedChange, RETAINED_CHANGES, replay, revision_of_name,
    },
    jujubeline_cli::{CliError, maintain},
    jujubeline_core::Revision,
    jujubeline_platform::{Event, Kind, ResourceVersion},
    jujubeline_standin::platform::Faults,
    std::collections::BTreeSet,
};

/// Number of changes that may be accepted between the two reads of a node that reads the snapshot before the list.
const READ_WINDOW: u64 = RETAINED_CHANGES - 2 * CHANGES_PER_SNAPSHOT;

/// What a reader finds after one event: the revisions of the snapshot and of the first and last stored change.
struct LogState {
    snapshot: Revision,
    first: Revision,
    last: Revision,
}

fn snapshot_revision(fixture: &Fixture) -> Revision {
    let objects = fixture.platform.objects(Kind::CatalogueSnapshots.label());
    let difference = |value| serde_json::from_value::<Difference>(value).expect("a snapshot");
    objects
        .first()
        .map_or(0, |object| difference(object.value.clone()).to)
}

/// All events of a kind, each with the resource version that it led to.
async fn events(fixture: &Fixture, kind: Kind) -> Vec<(ResourceVersion, Event)> {
    let last = fixture.platform.objects(kind.label());
    let last = last.iter().map(|object| object.resource_version).max();
    let client = client(fixture.platform.address());
    let mut watch = client.watch(kind, 0);
    let mut events = Vec::new();
    while Some(watch.resource_version()) < last {
        let event = watch.next().await.expect("an event");
        events.push((watch.resource_version(), event));
    }
    events
}

/// Every state of the stored log, reconstructed from all events in the order of their versions.
async fn log_states(fixture: &Fixture) -> Vec<LogState> {
    let mut events = events(fixture, Kind::CatalogueChanges).await;
    events.extend(self::events(fixture, Kind::CatalogueSnapshots).await);
    events.sort_by_key(|(version, _)| *version);
    let mut snapshot = 0;
    let mut kept = BTreeSet::new();
    let mut log_states = Vec::new();
    for (_, event) in events {
        match event {
            Event::Removed(name) => {
                kept.remove(&revision_of_name(&name).expect("a change"));
            }
            Event::Set(object) => match revision_of_name(&object.name) {
                Some(revision) => {
                    kept.insert(revision);
                }
                None => snapshot = object.value["to"].as_u64().expect("a revision"),
            },
        }
        let (first, last) = (*kept.first().unwrap_or(&1), *kept.last().unwrap_or(&0));
        assert_eq!(
            kept.len() as u64,
            last + 1 - first,
            "the kept changes have a gap"
        );
        log_states.push(LogState {
            snapshot,
            first,
            last,
        });
    }
    log_states
}

/// Guards against a gap that a reader finds at any time while two tools add and remove changes and stop half-way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn readers_find_no_gap_while_two_tools_write() {
    const CHANGES: u64 = 6 * CHANGES_PER_SNAPSHOT;
    let fixture = Fixture::start().await;
    fixture.faults(Faults {
        lose_every: 11,
        ..Faults::default()
    });
    let write = |author: &'static str| {
        let log = fixture.log();
        tokio::spawn(async move {
            for number in 1.. {
                let contents = log.read().await.expect("a log");
                if contents.state.revision() >= CHANGES {
                    return;
                }
                let appended =
                    jujubeline_cli::append(&log, &contents, edit("a", number), &options(author))
                        .await;
                // A lost answer ends a removal half-way; the removal after the next snapshot continues it.
                if let Ok(accepted) = appended {
                    let _stopped = maintain(&log, &contents, &accepted.state).await;
                }
            }
        })
    };
    let (first, second) = (write("mai"), write("lan"));
    first.await.expect("a writer");
    second.await.expect("a writer");
    let log_states = log_states(&fixture).await;
    let mut last_snapshot = 0;
    for (index, earlier) in log_states.iter().enumerate() {
        assert!(earlier.snapshot >= last_snapshot, "the snapshot fell");
        last_snapshot = earlier.snapshot;
        for later in &log_states[index..] {
            assert!(later.snapshot + 1 >= earlier.first, "gap after the list");
            let in_window = later.last - earlier.last <= READ_WINDOW;
            assert!(
                !in_window || earlier.snapshot + 1 >= later.first,
                "gap after the snapshot"
            );
        }
    }
    let last = log_states.last().expect("log states");
    assert!(last.first > 1, "no change was removed");
    assert!(last.snapshot + CHANGES_PER_SNAPSHOT >= last.last);
}

/// Guards against a paused tool whose change takes the name of a removed change and is reported as accepted.
#[tokio::test]
async fn a_paused_tool_cannot_reuse_a_removed_revision() {
    let fixture = Fixture::start().await;
    let log = fixture.log();
    append_one(&log, "mai", 1).await.expect("accepted");
    let paused = log.read().await.expect("a log");
    for number in 2..=RETAINED_CHANGES + 2 * CHANGES_PER_SNAPSHOT {
        append_one(&log, "mai", number).await.expect("accepted");
    }
    let before = fixture.changes();
    assert!(before[0].revision > 2, "the name of change 2 is free");
    let late = jujubeline_cli::append(&log, &paused, edit("a", 9_999), &options("lan")).await;
    let late = late.expect_err("a conflict");
    assert_eq!(*late.report.current_context(), CliError::Conflict);
    assert_eq!(fixture.changes(), before);
}

/// Guards against a slower tool that replaces a newer snapshot with an older one, also when an answer is lost.
#[tokio::test]
async fn a_slower_tool_does_not_lower_the_snapshot() {
    let fixture = Fixture::start().await;
    let log = fixture.log();
    for number in 1..CHANGES_PER_SNAPSHOT {
        append_one(&log, "mai", number).await.expect("accepted");
    }
    let contents = log.read().await.expect("a log");
    let slow = jujubeline_cli::append(&log, &contents, edit("a", 5_000), &options("lan")).await;
    let slow = slow.expect("accepted");
    append_one(&log, "mai", 6_000).await.expect("accepted");
    assert_eq!(snapshot_revision(&fixture), CHANGES_PER_SNAPSHOT + 1);
    fixture.faults(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    maintain(&log, &contents, &slow.state)
        .await
        .expect("maintained");
    assert_eq!(snapshot_revision(&fixture), CHANGES_PER_SNAPSHOT + 1);
}

/// Guards against a replay that applies the changes after a missing one.
#[test]
fn replay_fails_if_a_change_is_missing() {
    let logged = |revision| LoggedChange {
        revision,
        change: Err("not read".to_owned()),
    };
    assert!(replay(None, &[logged(1), logged(3)]).is_err());
    assert!(replay(None, &[logged(2)]).is_err());
    let whole = replay(None, &[logged(2), logged(1)]).expect("no gap");
    assert_eq!(whole.skipped.len(), 2);
}
