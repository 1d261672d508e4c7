//! Waits until a revision is in effect on all live members.

use {
    crate::{
        CliError,
        operators::{NodeClient, Status},
    },
    error_stack::Report,
    jujubeline_core::{NodeId, Peer, Revision, Step},
    std::time::{Duration, Instant},
};

const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Largest number of lagging members that the error names; the others are only counted.
const MAX_NAMED: usize = 20;

/// Polls `/status` of a node until the node and every other live member in its view report at least `revision`. Returns
/// the number of live members, or `NotInEffect` when the time is over.
///
/// A suspect member counts as live because it may still serve requests.
pub(crate) async fn until_in_effect(
    node: NodeClient,
    revision: Revision,
    wait_timeout: Duration,
) -> Result<usize, Report<CliError>> {
    let ends_at = Instant::now() + wait_timeout;
    loop {
        let problem = match node.status().await {
            Ok((status, _)) => match lagging(&status, revision) {
                (live, lagging) if lagging.is_empty() => return Ok(live),
                (live, lagging) => lag_message(&lagging, live, revision),
            },
            Err(report) => crate::error::one_line(&report),
        };
        if Instant::now() + POLL_PERIOD > ends_at {
            let peer = Peer::Local;
            return Err(CliError::NotInEffect.at(Step::Catalogue, peer, problem));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Returns the number of live members, and those of them that report a revision below `revision`.
fn lagging(status: &Status, revision: Revision) -> (usize, Vec<(NodeId, Revision)>) {
    let reporting_node = (status.node.clone(), status.catalogue_revision);
    let live: Vec<_> = status
        .members
        .iter()
        .filter(|member| matches!(member.presence.as_str(), "alive" | "suspect"))
        .filter(|member| member.node != status.node)
        .map(|member| (member.node.clone(), member.catalogue_revision))
        .chain([reporting_node])
        .collect();
    let count = live.len();
    let lagging = live
        .into_iter()
        .filter(|(_, reported)| *reported < revision)
        .collect();
    (count, lagging)
}

fn lag_message(lagging: &[(NodeId, Revision)], live: usize, revision: Revision) -> String {
    let named: Vec<String> = lagging
        .iter()
        .take(MAX_NAMED)
        .map(|(node, reported)| format!("{node} at {reported}"))
        .collect();
    let more = lagging.len().saturating_sub(MAX_NAMED);
    let rest = if more == 0 {
        String::new()
    } else {
        format!(" and {more} more")
    };
    format!(
        "{} of {live} live members lag behind revision {revision}: {}{rest}",
        lagging.len(),
        named.join(", ")
    )
}
