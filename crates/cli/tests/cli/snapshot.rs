//! Snapshot and removal of old changes, with two tools and slow readers.

use {
    crate::support::{World, append_one, client, edit, options},
    jujubeline_catalogue::{
        CHANGES_PER_SNAPSHOT, Difference, LoggedChange, RETAINED_CHANGES, replay, revision_of_name,
    },
    jujubeline_cli::{CliError, maintain},
    jujubeline_core::Revision,
    jujubeline_platform::{Event, Kind, ResourceVersion},
    jujubeline_standin::platform::Faults,
    std::collections::BTreeSet,
};

/// Changes that may be accepted between the two reads of a node that reads the snapshot first.
const READ_WINDOW: u64 = RETAINED_CHANGES - 2 * CHANGES_PER_SNAPSHOT;

/// What a reader would find at one moment.
struct Moment {
    snapshot: Revision,
    first: Revision,
    last: Revision,
}

fn snapshot_revision(world: &World) -> Revision {
    let objects = world.platform.objects(Kind::CatalogueSnapshots.label());
    let difference = |value| serde_json::from_value::<Difference>(value).expect("a snapshot");
    objects
        .first()
        .map_or(0, |object| difference(object.value.clone()).to)
}

/// All events of a kind with the version of each.
async fn events(world: &World, kind: Kind) -> Vec<(ResourceVersion, Event)> {
    let last = world.platform.objects(kind.label());
    let last = last.iter().map(|object| object.resource_version).max();
    let client = client(world.platform.address());
    let mut watch = client.watch(kind, 0);
    let mut events = Vec::new();
    while Some(watch.resource_version()) < last {
        let event = watch.next().await.expect("an event");
        events.push((watch.resource_version(), event));
    }
    events
}

/// Every state that the platform was in, from the versions of all events.
async fn moments(world: &World) -> Vec<Moment> {
    let mut events = events(world, Kind::CatalogueChanges).await;
    events.extend(self::events(world, Kind::CatalogueSnapshots).await);
    events.sort_by_key(|(version, _)| *version);
    let mut snapshot = 0;
    let mut kept = BTreeSet::new();
    let mut moments = Vec::new();
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
        moments.push(Moment {
            snapshot,
            first,
            last,
        });
    }
    moments
}

/// Guards against a reader that meets a gap at any moment while two tools write, remove and stop half-way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn readers_never_meet_a_gap() {
    const CHANGES: u64 = 6 * CHANGES_PER_SNAPSHOT;
    let world = World::start().await;
    world.faults(Faults {
        lose_every: 11,
        ..Faults::default()
    });
    let write = |author: &'static str| {
        let log = world.log();
        tokio::spawn(async move {
            for number in 1.. {
                let reading = log.read().await.expect("a log");
                if reading.state.revision() >= CHANGES {
                    return;
                }
                let appended =
                    jujubeline_cli::append(&log, &reading, edit("a", number), &options(author))
                        .await;
                // A lost answer ends a removal half-way; the next snapshot makes up for it.
                if let Ok(accepted) = appended {
                    let _stopped = maintain(&log, &reading, &accepted.state).await;
                }
            }
        })
    };
    let (first, second) = (write("mai"), write("lan"));
    first.await.expect("a writer");
    second.await.expect("a writer");
    let moments = moments(&world).await;
    let mut last_snapshot = 0;
    for (index, earlier) in moments.iter().enumerate() {
        assert!(earlier.snapshot >= last_snapshot, "the snapshot fell");
        last_snapshot = earlier.snapshot;
        for later in &moments[index..] {
            assert!(later.snapshot + 1 >= earlier.first, "gap after the list");
            let in_window = later.last - earlier.last <= READ_WINDOW;
            assert!(
                !in_window || earlier.snapshot + 1 >= later.first,
                "gap after the snapshot"
            );
        }
    }
    let last = moments.last().expect("moments");
    assert!(last.first > 1, "no change was removed");
    assert!(last.snapshot + CHANGES_PER_SNAPSHOT >= last.last);
}

/// Guards against a paused tool whose change takes the free name of a removed one and is reported as accepted.
#[tokio::test]
async fn a_paused_tool_cannot_reuse_a_removed_revision() {
    let world = World::start().await;
    let log = world.log();
    append_one(&log, "mai", 1).await.expect("accepted");
    let paused = log.read().await.expect("a log");
    for number in 2..=RETAINED_CHANGES + 2 * CHANGES_PER_SNAPSHOT {
        append_one(&log, "mai", number).await.expect("accepted");
    }
    let before = world.changes();
    assert!(before[0].revision > 2, "the name of change 2 is free");
    let late = jujubeline_cli::append(&log, &paused, edit("a", 9_999), &options("lan")).await;
    let late = late.expect_err("a conflict");
    assert_eq!(*late.report.current_context(), CliError::Conflict);
    assert_eq!(world.changes(), before);
}

/// Guards against a snapshot of a slower tool that replaces a newer one, and against one that is lost or doubled.
#[tokio::test]
async fn a_slower_tool_does_not_lower_the_snapshot() {
    let world = World::start().await;
    let log = world.log();
    for number in 1..CHANGES_PER_SNAPSHOT {
        append_one(&log, "mai", number).await.expect("accepted");
    }
    let reading = log.read().await.expect("a log");
    let slow = jujubeline_cli::append(&log, &reading, edit("a", 5_000), &options("lan")).await;
    let slow = slow.expect("accepted");
    append_one(&log, "mai", 6_000).await.expect("accepted");
    assert_eq!(snapshot_revision(&world), CHANGES_PER_SNAPSHOT + 1);
    world.faults(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    maintain(&log, &reading, &slow.state)
        .await
        .expect("maintained");
    assert_eq!(snapshot_revision(&world), CHANGES_PER_SNAPSHOT + 1);
}

/// Guards against a reader that applies changes around a gap.
#[test]
fn a_gap_stops_the_replay() {
    let logged = |revision| LoggedChange {
        revision,
        change: Err("not read".to_owned()),
    };
    assert!(replay(None, &[logged(1), logged(3)]).is_err());
    assert!(replay(None, &[logged(2)]).is_err());
    let whole = replay(None, &[logged(2), logged(1)]).expect("no gap");
    assert_eq!(whole.passed_over.len(), 2);
}
