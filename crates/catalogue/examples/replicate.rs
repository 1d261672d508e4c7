//! Two replicas of the catalogue: one applies changes, the other pulls the difference and refuses an old one.
//!
//! Run with `cargo run -p jujubeline-catalogue --example replicate`.

use {
    jujubeline_catalogue::{CatalogueState, Change, Edit, parse_file},
    std::error::Error,
};

const FILE: &str = r#"
[[entry]]
name = "crates-confirm"
owner = "packhouse"
method = "POST"
path_prefix = "/crates/"
service = "packhouse"
class = "critical"
deadline_ms = 5000
retry_bound = 3
concurrency = 64
at_most_once = true
"#;

fn main() -> Result<(), Box<dyn Error>> {
    let wanted = parse_file("example.toml", FILE).map_err(|problems| format!("{problems:?}"))?;
    let mut leader = CatalogueState::default();
    let mut follower = CatalogueState::default();

    let edits = leader.catalogue().edits_to(&wanted);
    leader.apply(&change(1, edits))?;
    let difference = leader.changes_since(follower.revision());
    follower.merge(&difference)?;
    println!("both at revision {}", follower.revision());

    // Merge the same difference again, as a delayed message would.
    let refused = follower.merge(&difference);
    println!("a second merge is refused: {refused:?}");
    Ok(())
}

fn change(revision: u64, edits: Vec<Edit>) -> Change {
    Change {
        revision,
        change_id: format!("example-{revision}"),
        author: "example".to_owned(),
        made_at_ms: 0,
        edits,
    }
}
