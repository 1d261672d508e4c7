//! Local health as in Lifeguard (Dadgar, Phillips and Currey, 2018): a node that misses answers from several peers
//! assumes first that it is slow itself, and lengthens its timeouts.

use std::time::Duration;

/// Highest score, at which periods and timeouts are nine times as long. Lifeguard uses the same bound.
const MAX_SCORE: u32 = 8;

/// Score of the node's own health, 0 when healthy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    score: u32,
}

impl Health {
    pub(super) const fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(super) fn worsen(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// Multiplies a period or timeout by the score plus one.
    pub(super) fn scaled(self, time: Duration) -> Duration {
        time * (self.score + 1)
    }

    pub(super) const fn score(self) -> u32 {
        self.score
    }
}
