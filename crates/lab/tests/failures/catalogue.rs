//! Catalogue changes while a node is paused and while the platform does not reply or serves old versions.

use {
    super::support::{Fleet, MAX_WAIT, entries, eventually, get, post_key, put, run_test},
    jujubeline_lab::deployment::{EntryPlan, apply_catalogue, get_json, node_status},
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Maximum time until an accepted change is in effect on all nodes (section 2.4 of the design).
const PROPAGATION_BOUND: Duration = Duration::from_secs(11);

/// Number of reads of old versions during which no node's revision may fall.
const STALE_READS: u64 = 60;

/// Time for which requests are sent while the platform does not reply.
const OUTAGE: Duration = Duration::from_secs(10);

/// Pause between two requests during the outage.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// The catalogue with one more entry, for `GET` requests below `/{name}/`.
fn with_entry(name: &str) -> Vec<EntryPlan> {
    let mut all = entries();
    let read = all[0].clone();
    all.push(EntryPlan {
        name: name.to_owned(),
        path_prefix: format!("/{name}/"),
        ..read
    });
    all
}

/// Whether a node serves requests of an entry that was added with `with_entry`.
async fn serves(callers: SocketAddr, entry: &str) -> bool {
    get(callers, &format!("/{entry}/x")).await.status == 200
}

async fn revision(operators: SocketAddr) -> u64 {
    let status = node_status(operators).await.unwrap_or_default();
    status["catalogue_revision"].as_u64().unwrap_or(0)
}

/// Guards against a node that misses a change, does not catch up after a pause, or returns to an old version that it
/// reads from the platform.
#[tokio::test(flavor = "multi_thread")]
async fn change_takes_effect_on_all_nodes_and_never_reverts() {
    run_test(async {
        let fleet = Fleet::start(6).await;
        let platform = fleet.deployment.platform_address;
        let paused = 1;
        let node = fleet.instances()[paused].node.as_ref();
        let node = node.expect("the node runs");
        node.pause().expect("the node can be paused");
        apply_catalogue(platform, &with_entry("added"))
            .await
            .expect("the change is accepted");
        let until = Instant::now() + PROPAGATION_BOUND;
        for instance in (0..6).filter(|instance| *instance != paused) {
            let left = until.saturating_duration_since(Instant::now());
            let condition = format!("the change is in effect on node {instance}");
            eventually(&condition, left, async || {
                serves(fleet.callers(instance), "added").await
            })
            .await;
        }
        node.resume().expect("the node can be resumed");
        eventually(
            "the change is in effect on the paused node",
            PROPAGATION_BOUND,
            async || serves(fleet.callers(paused), "added").await,
        )
        .await;

        put(platform, "/faults", &json!({"stale_versions": 40})).await;
        let path = "/api/objects/catalogue-changes";
        let stale = get_json(platform, path).await.expect("the changes");
        assert!(
            !stale.to_string().contains("added"),
            "the read is not stale"
        );
        let before = reads(platform).await;
        let mut highest = BTreeMap::new();
        eventually("old versions are read", MAX_WAIT, async || {
            // Nodes read the whole catalogue again when their watch ends.
            put(
                platform,
                "/faults",
                &json!({"stale_versions": 40, "end_watches": true}),
            )
            .await;
            for instance in fleet.instances() {
                let seen = revision(instance.addresses.operators).await;
                let known = highest.entry(instance.plan.name.clone()).or_insert(0);
                assert!(
                    seen >= *known,
                    "revision on {} fell to {seen}",
                    instance.plan.name
                );
                *known = seen;
            }
            reads(platform).await >= before + STALE_READS
        })
        .await;
        for instance in 0..6 {
            assert!(
                serves(fleet.callers(instance), "added").await,
                "the change is lost on node {instance}"
            );
        }
    })
    .await;
}

/// Number of reads that the platform has served.
async fn reads(platform: SocketAddr) -> u64 {
    let counts = get_json(platform, "/counts").await;
    let counts = counts.expect("counts of the platform");
    counts["reads"].as_u64().expect("a count of reads")
}

/// Guards against requests and membership changes that wait for a platform which does not reply, and against a
/// catalogue change that is delayed after the platform replies again.
#[tokio::test(flavor = "multi_thread")]
async fn silent_platform_stops_no_request() {
    run_test(async {
        let fleet = Fleet::start(4).await;
        fleet.wait_for_claims().await;
        fleet.wait_until_settled().await;
        let platform = fleet.deployment.platform_address;
        put(platform, "/faults", &json!({"down": "silent"})).await;

        let until = Instant::now() + OUTAGE;
        let mut sent = 0;
        let mut drained = false;
        while Instant::now() < until {
            let address = fleet.callers(sent % 4);
            let read = get(address, "/read/outage").await;
            assert_eq!(read.status, 200, "{read:?}");
            let paid = post_key(address, &format!("outage-{sent}"), "").await;
            assert_eq!(paid.status, 200, "{paid:?}");
            sent += 1;
            if !drained && Instant::now() + OUTAGE / 2 > until {
                fleet.announce(0, "draining").await;
                drained = true;
            }
            sleep(REQUEST_PAUSE).await;
        }
        let name = &fleet.instances()[0].plan.name;
        for instance in fleet.instances() {
            eventually("the draining target is known", MAX_WAIT, async || {
                let status = node_status(instance.addresses.operators).await;
                let status = status.unwrap_or_default();
                let mut members = status["members"].as_array().into_iter().flatten();
                members.any(|member| {
                    member["node"] == name.as_str() && member["target_state"] == "draining"
                })
            })
            .await;
        }

        put(platform, "/faults", &json!({})).await;
        apply_catalogue(platform, &with_entry("later"))
            .await
            .expect("the change is accepted");
        let until = Instant::now() + PROPAGATION_BOUND;
        for instance in 0..4 {
            let left = until.saturating_duration_since(Instant::now());
            eventually("the change is in effect", left, async || {
                serves(fleet.callers(instance), "later").await
            })
            .await;
        }
    })
    .await;
}
