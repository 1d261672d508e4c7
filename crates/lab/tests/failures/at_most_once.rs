//! At-most-once requests when a gate is killed or an owner is paused.

use {
    super::support::{Fleet, MAX_WAIT, Received, SERVICE, eventually, post_key, run_test},
    jujubeline_coordination::claims::{key_hash, shard_of},
    jujubeline_core::Outcome,
    serde_json::Value,
    std::time::Duration,
    tokio::{task::JoinSet, time::sleep},
};

/// Number of keys that a test sends, for each prefix.
const KEYS: usize = 8;

/// Number of rounds in which each key is sent again, through two nodes at once.
const RESENDS: usize = 4;

/// Maximum number of attempts to send a key through its first entry node until it is answered.
const FIRST_SENDS: usize = 20;

/// Pause between two attempts or rounds.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// Guards against a second execution, or a false `not_run`, after the node beside the executing target is killed.
#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once_when_its_gate_is_killed() {
    run_test(async {
        let mut fleet = Fleet::start(4).await;
        fleet.wait_for_claims().await;
        // Before the shards have moved to their owners of all nodes, one gate may run all keys.
        fleet.wait_until_settled().await;
        let keys: Vec<String> = (0..KEYS).map(|n| format!("killed-{n}")).collect();
        let mut first = JoinSet::new();
        for key in keys.clone() {
            let address = fleet.callers(0);
            first.spawn(async move {
                // A request can be refused before it runs, for example while a takeover ends. It is sent again, so that
                // each key runs.
                for _ in 0..FIRST_SENDS {
                    if post_key(address, &key, "service_ms=3000").await.status == 200 {
                        break;
                    }
                    sleep(RESEND_PAUSE).await;
                }
            });
        }
        eventually("all keys run", MAX_WAIT, async || {
            keys.iter().all(|key| !fleet.executions(key).is_empty())
        })
        .await;
        let gates = keys.iter().flat_map(|key| fleet.executions(key));
        let gate = gates.max_by_key(|gate| *gate != 0).expect("a key runs");
        assert_ne!(gate, 0, "no key runs away from its entry node");
        fleet.deployment.instances[gate].kill_node().await;

        let others: Vec<usize> = (1..4).filter(|number| *number != gate).collect();
        let mut received = Vec::new();
        for _ in 0..RESENDS {
            for key in &keys {
                let (one, two) = tokio::join!(
                    post_key(fleet.callers(others[0]), key, "service_ms=3000"),
                    post_key(fleet.callers(others[1]), key, "service_ms=3000"),
                );
                received.extend([(key.clone(), one), (key.clone(), two)]);
            }
            sleep(RESEND_PAUSE).await;
        }
        first.join_all().await;
        for key in &keys {
            assert_eq!(fleet.executions(key).len(), 1, "executions of {key}");
        }
        assert_no_false_not_run(&received);
    })
    .await;
}

/// Asserts that no reply claims `not_run`. The caller passes replies of keys that ran.
fn assert_no_false_not_run(received: &[(String, Received)]) {
    let is_false = |(_, received): &&(String, Received)| received.outcome == Some(Outcome::NotRun);
    let wrong: Vec<_> = received.iter().filter(is_false).collect();
    assert!(wrong.is_empty(), "not_run of keys that ran: {wrong:?}");
}

/// Guards against a paused owner that resumes after its replacement and authorises a second execution or states a false
/// `not_run`, either for a key that ran before the pause or for a key that its successor has authorised.
#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once_when_its_owner_is_paused() {
    run_test(async {
        let fleet = Fleet::start(4).await;
        fleet.wait_for_claims().await;
        let paused = 1;
        let name = fleet.instances()[paused].plan.name.clone();
        eventually("the owner has settled its shards", MAX_WAIT, async || {
            let table = fleet.shard_table().await;
            let shards = shards_of(&table, &name);
            !shards.is_empty()
                && shards
                    .iter()
                    .all(|shard| table["shards"][*shard]["settled"] == true)
        })
        .await;
        let owned = shards_of(&fleet.shard_table().await, &name);
        let known = keys_in(&owned, "known");
        let fresh = keys_in(&owned, "fresh");
        for key in &known {
            let received = post_key(fleet.callers(2), key, "").await;
            assert_eq!(received.status, 200, "{key}: {received:?}");
        }

        let node = fleet.instances()[paused].node.as_ref();
        let node = node.expect("the node runs");
        node.pause().expect("the node can be paused");
        eventually("the owner is replaced", MAX_WAIT, async || {
            shards_of(&fleet.shard_table().await, &name).is_empty()
        })
        .await;
        for key in known.iter().chain(&fresh) {
            eventually("a successor answers", MAX_WAIT, async || {
                post_key(fleet.callers(2), key, "").await.status == 200
            })
            .await;
        }
        node.resume().expect("the node can be resumed");
        let mut received = Vec::new();
        for key in fresh.iter().chain(&known) {
            received.push((key.clone(), post_key(fleet.callers(paused), key, "").await));
        }
        eventually("the paused node serves again", MAX_WAIT, async || {
            post_key(fleet.callers(paused), &fresh[0], "").await.status == 200
        })
        .await;
        for key in known.iter().chain(&fresh) {
            assert_eq!(fleet.executions(key).len(), 1, "executions of {key}");
        }
        assert_no_false_not_run(&received);
    })
    .await;
}

/// Guards against shards that stay unsettled after a rolling restart, so that later losses leave all keys refused with
/// `records_incomplete`.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_after_a_rolling_restart_and_two_losses() {
    run_test(async {
        let mut fleet = Fleet::start(3).await;
        fleet.wait_for_claims().await;
        fleet.wait_until_settled().await;
        assert_eq!(post_key(fleet.callers(0), "before", "").await.status, 200);
        for instance in 0..3 {
            let node = fleet.deployment.instances[instance].node.take();
            let ended = node.expect("the node runs").terminate(MAX_WAIT).await;
            assert!(ended.expect("the node ends"), "exit status of {instance}");
            let started = fleet.deployment.instances[instance].start_node().await;
            started.expect("the node starts again");
            fleet.announce(instance, "ready").await;
        }
        fleet.wait_until_settled().await;
        for lost in [0, 1] {
            let instance = &mut fleet.deployment.instances[lost];
            instance.kill_node().await;
            instance.start_node().await.expect("the node starts again");
            fleet.announce(lost, "ready").await;
            fleet.wait_until_settled().await;
        }
        for number in 0..KEYS {
            let key = format!("after-{number}");
            eventually("a key runs", MAX_WAIT, async || {
                post_key(fleet.callers(2), &key, "").await.status == 200
            })
            .await;
            assert_eq!(fleet.executions(&key).len(), 1, "executions of {key}");
        }
        post_key(fleet.callers(2), "before", "").await;
        assert_eq!(fleet.executions("before").len(), 1);
    })
    .await;
}

/// Numbers of the shards that a node owns.
fn shards_of(table: &Value, node: &str) -> Vec<usize> {
    let shards = table["shards"].as_array();
    let shards = shards.into_iter().flatten().enumerate();
    let owned = shards.filter(|(_, shard)| shard["owner"]["node"] == node);
    owned.map(|(number, _)| number).collect()
}

/// Returns `KEYS` keys with this prefix that belong to these shards.
fn keys_in(shards: &[usize], prefix: &str) -> Vec<String> {
    let keys = (0..).map(|n| format!("{prefix}-{n}"));
    let is_owned = |key: &String| shards.contains(&usize::from(shard_of(key_hash(SERVICE, key))));
    keys.filter(is_owned).take(KEYS).collect()
}
