//! Tests that a change is accepted exactly once or not at all, whatever the platform and other tools do.

use {
    crate::support::{Fixture, append_one, edit, options},
    jujubeline_cli::CliError,
    jujubeline_standin::platform::Faults,
    std::collections::HashSet,
};

/// Guards against a file that silently reverts the change of another operator.
#[tokio::test]
async fn a_file_from_an_older_revision_is_a_conflict() {
    let fixture = Fixture::start().await;
    let mine = fixture.catalogue(&[("a", 5)]);
    let theirs = fixture.catalogue(&[("b", 6)]);
    assert_eq!(
        fixture
            .run(&["catalogue", "apply", &theirs, "--author", "mai"])
            .await
            .code,
        Some(0)
    );
    let result = fixture
        .run(&["catalogue", "apply", &mine, "--based-on", "0"])
        .await;
    assert_eq!(result.code, Some(4));
    assert!(
        result.out.contains("revision 1 by mai at "),
        "{}",
        result.out
    );
    assert!(result.out.contains("  set b\n"), "{}", result.out);
    assert_eq!(fixture.changes().len(), 1);
}

/// Guards against two tools that both get the next revision, and against a conflict that does not report the accepted
/// change.
#[tokio::test]
async fn second_writer_gets_a_conflict_with_the_accepted_change() {
    let fixture = Fixture::start().await;
    let log = fixture.log();
    let contents = log.read().await.expect("a log");
    let first = jujubeline_cli::append(&log, &contents, edit("a", 1), &options("mai")).await;
    let first = first.expect("accepted").change;
    let second = jujubeline_cli::append(&log, &contents, edit("a", 2), &options("lan")).await;
    let second = second.expect_err("a conflict");
    assert_eq!(*second.report.current_context(), CliError::Conflict);
    assert_eq!(second.conflicting_change, Some(first));
}

/// Guards against a lost answer that is reported as a failure or a conflict, or that leads to a duplicate change.
#[tokio::test]
async fn a_lost_answer_is_resolved() {
    for faults in [
        Faults {
            lose_next: 1,
            ..Faults::default()
        },
        Faults {
            drop_next: 1,
            ..Faults::default()
        },
        Faults {
            drop_next: 2,
            lose_next: 2,
            ..Faults::default()
        },
    ] {
        let fixture = Fixture::start().await;
        let file = fixture.catalogue(&[("a", 5)]);
        fixture.faults(faults.clone());
        let result = fixture.run(&["catalogue", "apply", &file]).await;
        assert_eq!(result.code, Some(0), "{faults:?}: {}", result.error);
        let changes = fixture.changes();
        assert_eq!(changes.len(), 1);
        assert!(result.out.contains(&changes[0].change_id));
    }
}

/// Guards against a definite exit code while the outcome of the change cannot be determined.
#[tokio::test]
async fn unresolved_change_ends_with_outcome_unknown() {
    let fixture = Fixture::start().await;
    let file = fixture.catalogue(&[("a", 5)]);
    fixture.faults(Faults {
        drop_next: u64::MAX,
        ..Faults::default()
    });
    let result = fixture
        .run(&["catalogue", "apply", &file, "--resolve-s", "0"])
        .await;
    assert_eq!(result.code, Some(5));
    assert!(
        result.error.contains("change 1 with id "),
        "{}",
        result.error
    );
}

/// Guards against a change that is applied twice because its answer arrives after the deadline.
#[tokio::test]
async fn a_late_answer_is_resolved() {
    let fixture = Fixture::start().await;
    let log = fixture.log();
    let contents = log.read().await.expect("a log");
    fixture.faults(Faults {
        late_ms: 3_000,
        ..Faults::default()
    });
    let append =
        async { jujubeline_cli::append(&log, &contents, edit("a", 1), &options("mai")).await };
    let recover = async {
        while fixture.changes().is_empty() {
            tokio::task::yield_now().await;
        }
        fixture.faults(Faults::default());
    };
    let (appended, ()) = tokio::join!(append, recover);
    assert_eq!(vec![appended.expect("accepted").change], fixture.changes());
}

/// Guards against a change that is based on a stale read and replaces a newer change.
#[tokio::test]
async fn a_stale_read_gives_a_conflict() {
    let fixture = Fixture::start().await;
    for name in ["a", "b"] {
        let file = fixture.catalogue(&[(name, 5)]);
        assert_eq!(
            fixture.run(&["catalogue", "apply", &file]).await.code,
            Some(0)
        );
    }
    let before = fixture.changes();
    fixture.faults(Faults {
        stale_versions: 1,
        ..Faults::default()
    });
    let file = fixture.catalogue(&[("c", 5)]);
    let result = fixture
        .run(&["catalogue", "apply", &file, "--resolve-s", "0"])
        .await;
    assert_eq!(result.code, Some(4), "{}", result.error);
    assert_eq!(fixture.changes(), before);
}

/// Guards against accepted changes that are lost or duplicated when two tools write concurrently and answers are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_writers_neither_lose_nor_duplicate_changes() {
    const ROUNDS: u64 = 100;
    let fixture = Fixture::start().await;
    fixture.faults(Faults {
        lose_every: 3,
        ..Faults::default()
    });
    let race = |author: &'static str, offset: u64| {
        let log = fixture.log();
        tokio::spawn(async move {
            let mut accepted = Vec::new();
            for round in 0..ROUNDS {
                accepted.extend(append_one(&log, author, offset + round).await);
            }
            accepted
        })
    };
    let (first, second) = (race("mai", 1), race("lan", 1_001));
    let mut accepted = first.await.expect("a writer");
    accepted.extend(second.await.expect("a writer"));
    accepted.sort_by_key(|change| change.revision);
    assert_eq!(accepted, fixture.changes());
    let ids: HashSet<_> = accepted.iter().map(|change| &change.change_id).collect();
    assert_eq!(ids.len(), accepted.len());
    assert!(accepted.len() >= usize::try_from(ROUNDS).expect("few rounds"));
    let state = fixture.log().read().await.expect("a log").state;
    assert_eq!(state.revision(), accepted.len() as u64);
}

/// Guards against lost or duplicated changes when the concurrent tools are processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_processes_neither_lose_nor_duplicate_changes() {
    let fixture = Fixture::start().await;
    fixture.faults(Faults {
        lose_every: 3,
        ..Faults::default()
    });
    let mut accepted = 0;
    for round in 0..20 {
        let files = [
            fixture.catalogue(&[("a", 10 + round)]),
            fixture.catalogue(&[("b", 10 + round)]),
        ];
        let arguments = files.each_ref().map(|file| ["catalogue", "apply", file]);
        let (first, second) = tokio::join!(fixture.run(&arguments[0]), fixture.run(&arguments[1]));
        for result in [first, second] {
            assert!(matches!(result.code, Some(0 | 4)), "{}", result.error);
            accepted += usize::from(result.code == Some(0));
        }
    }
    assert_eq!(fixture.changes().len(), accepted);
    assert!(accepted >= 20);
}
