//! Replication of the catalogue: which nodes watch the platform, and when a node pulls from a peer or sends hints.

mod join_points;
mod platform_contact;
#[expect(clippy::module_inception)]
mod replication;
mod watchers;

pub use {
    join_points::{
        JOIN_POINTS_PER_DATA_CENTRE, JoinPoint, JoinPointRound, JoinPointSchedule, join_point_name,
        join_points_to_write,
    },
    platform_contact::{PROBE_DEADLINE, PROBE_PERIOD, PlatformContact, UNREACHABLE_TIME},
    replication::{MAX_PULLS, PULL_DEADLINE, Pull, PullEnd, Replication},
    watchers::{
        WATCHERS_PER_DATA_CENTRE, configuration_check_period, is_cut_off, watches_platform,
    },
};
