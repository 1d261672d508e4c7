//! What a target states about itself in its responses, besides its load.

/// Limit on the rate of requests that a response of a target states.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StatedRate {
    /// The response states no limit.
    #[default]
    Unlimited,
    /// Requests per second that the target accepts from all nodes together; finite and not negative.
    PerSecond(f64),
    /// The response states a limit that cannot be read. The last one stays in effect.
    Unreadable,
}

/// Statements in one response of a target.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetStatement {
    /// Limit on the rate of requests, in effect as long as the responses state it.
    pub rate: StatedRate,
    /// Whether the process of the target is shutting down. It does not return.
    pub is_leaving: bool,
}

impl StatedRate {
    /// Decodes the text of a limit in requests per second; `None` stands for a response without one.
    #[must_use]
    pub fn parse(text: Option<&str>) -> Self {
        let Some(text) = text else {
            return Self::Unlimited;
        };
        match text.trim().parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && per_s >= 0.0 => Self::PerSecond(per_s),
            Ok(_) | Err(_) => Self::Unreadable,
        }
    }
}
