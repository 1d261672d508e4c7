//! Times, rates and bounds of membership.

use std::time::Duration;

/// Times, rates and bounds of membership. The default is what nodes run with.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Time between two probes of a node.
    pub probe_period: Duration,
    /// Time for an ack before indirect probes are sent.
    pub direct_timeout: Duration,
    /// Members asked for an indirect probe.
    pub indirect_probes: usize,
    /// One probe in this many goes to another data centre.
    pub remote_probe_interval: u64,
    /// The shortest suspicion lasts this many probe periods, times the logarithm of the group size.
    pub suspicion_multiplier: u32,
    /// The longest suspicion is this many times the shortest.
    pub suspicion_max_factor: u32,
    /// Reporters, after the first, that bring a suspicion to its shortest time.
    pub suspicion_confirmations: u32,
    /// An update is sent this many times, times the digits of the group size.
    pub retransmit_multiplier: u32,
    /// An update is sent at least this many times. In a small group many of them go to members that know it already.
    pub min_retransmits: u32,
    /// Time between two hints to a random member while updates wait. Probes alone would carry few of them to other data
    /// centres.
    pub gossip_period: Duration,
    /// Members that are told at once about a new catalogue revision or a target that stops taking work.
    pub hint_fanout: usize,
    /// Bytes that a node sends in datagrams each second, headers included.
    pub bytes_per_second: u32,
    /// Time between two probes of members that are unreachable or dead, or left lately.
    pub lost_probe_period: Duration,
    /// How long after it left a member is probed: a node that was stopped to be started again at the same address comes
    /// back within seconds, and finds nobody itself while the platform is away.
    pub probe_left: Duration,
    /// Nodes that probe a member that left, on average, in each period of lost members.
    pub left_probers: u32,
    /// How long members that are unreachable, dead or left are kept.
    pub keep_lost: Duration,
    /// Members in the table.
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
            // With 6, one of 20 runs with 9 members and 5 % loss left a member without a drain.
            min_retransmits: 12,
            gossip_period: Duration::from_millis(500),
            hint_fanout: 4,
            bytes_per_second: 4_000,
            lost_probe_period: Duration::from_secs(5),
            probe_left: Duration::from_secs(30),
            left_probers: 16,
            keep_lost: Duration::from_hours(1),
            max_members: 16_384,
        }
    }
}

impl Config {
    /// Times that each node sends an update in a group of this size.
    #[must_use]
    pub fn retransmits(&self, members: usize) -> u32 {
        let digits = (members + 1).checked_ilog10().unwrap_or(0) + 1;
        (self.retransmit_multiplier * digits).max(self.min_retransmits)
    }
}
