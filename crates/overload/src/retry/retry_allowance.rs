//! Number of retries left to a request and to all calls made on its behalf.

/// Upper bound of an allowance from a catalogue entry or from another node. Higher values are clamped.
const MAX_ALLOWANCE: u32 = 64;

/// Retries left to one hop. An allowance is divided among calls and never duplicated, so it is neither `Clone` nor
/// `Copy`.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RetryAllowance {
    left: u32,
}

/// Part of an allowance that was granted to one attempt. [`RetryAllowance::settle`] consumes it, so it is settled only
/// once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a grant that is not settled counts as spent"]
pub struct RetryGrant {
    count: u32,
}

impl RetryAllowance {
    /// Creates the allowance of a root request, or of a hop with the number of retries that another node granted to it.
    #[must_use]
    pub const fn new(count: u32) -> Self {
        Self {
            left: if count > MAX_ALLOWANCE {
                MAX_ALLOWANCE
            } else {
                count
            },
        }
    }

    /// Number of retries left.
    #[must_use]
    pub const fn left(&self) -> u32 {
        self.left
    }

    /// Uses one retry. Returns false if none is left.
    pub const fn spend(&mut self) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        true
    }

    /// Removes the part that is sent with an attempt: all retries but one, which stays at this hop.
    ///
    /// A retry is cheapest at the hop next to the failure, so most of the allowance is sent downstream. The one that
    /// stays covers the case in which a response is lost together with its grant.
    pub const fn grant(&mut self) -> RetryGrant {
        let count = self.left.saturating_sub(1);
        self.left -= count;
        RetryGrant { count }
    }

    /// Adds the unused retries that the response to an attempt returned, at most as many as were granted. Without a
    /// response, the whole grant counts as spent.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a grant can be settled only once"
    )]
    pub fn settle(&mut self, grant: RetryGrant, returned: Option<u32>) {
        self.left += returned.unwrap_or(0).min(grant.count);
    }
}

impl RetryGrant {
    /// Number of retries granted, as sent in the header of the attempt.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }
}
