//! Times, rates and bounds of membership.

use std::time::Duration;

/// Times, rates and bounds of membership. The default is what nodes run with.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Time between two probes of a node.
    pub probe_period: Duration,
    /// Time to wait for an ack before indirect probes are sent.
    pub direct_timeout: Duration,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// One probe in this many goes to another data centre.
    pub remote_probe_interval: u64,
    /// The minimum suspicion timeout is this many probe periods, times the decimal logarithm of the group size. The
    /// logarithm counts as at least 1.
    pub suspicion_multiplier: u32,
    /// The maximum suspicion timeout is this many times the minimum.
    pub suspicion_max_factor: u32,
    /// Reporters, after the first, that reduce a suspicion to the minimum timeout.
    pub suspicion_confirmations: u32,
    /// An update is sent this many times for each decimal digit of the group size.
    pub retransmit_multiplier: u32,
    /// Minimum number of times that an update is sent. In a small group many of them go to members that already have
    /// it.
    pub min_retransmits: u32,
    /// Time between two hints to a random member while updates are queued. Probes alone would carry few of them to
    /// other data centres.
    pub gossip_period: Duration,
    /// Members that receive a hint at once on a new catalogue revision, or when a target stops accepting work.
    pub hint_fanout: usize,
    /// Budget of bytes that a node sends in datagrams each second, headers included.
    pub bytes_per_second: u32,
    /// Time between two probes of members that are unreachable or dead, or left recently.
    pub lost_probe_period: Duration,
    /// How long a member is probed after it left. A node that is restarted at the same address is back within seconds,
    /// and while the platform is unavailable it cannot find other members itself.
    pub left_probe_duration: Duration,
    /// Average number of nodes that probe a member that left, in each `lost_probe_period`.
    pub left_probers: u32,
    /// How long members that are unreachable, dead or left are kept in the table.
    pub lost_retention: Duration,
    /// Bound on the members in the table, without the node itself.
    pub max_members: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            remote_probe_interval: 10,
            suspicion_multiplier: 4,
            suspicion_max_factor: 6,
            suspicion_confirmations: 3,
            retransmit_multiplier: 4,
            // With 6, in one of 20 runs with 9 members and 5 % loss, a member did not receive a drain.
            min_retransmits: 12,
            gossip_period: Duration::from_millis(500),
            hint_fanout: 4,
            bytes_per_second: 4_000,
            lost_probe_period: Duration::from_secs(5),
            left_probe_duration: Duration::from_secs(30),
            left_probers: 16,
            lost_retention: Duration::from_hours(1),
            max_members: 16_384,
        }
    }
}

impl Config {
    /// Number of times that each node sends an update in a group of this many members besides itself.
    #[must_use]
    pub fn retransmits(&self, members: usize) -> u32 {
        let digits = (members + 1).checked_ilog10().unwrap_or(0) + 1;
        (self.retransmit_multiplier * digits).max(self.min_retransmits)
    }
}
