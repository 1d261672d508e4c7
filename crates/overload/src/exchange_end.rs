//! Result of an exchange, as the limits, the router and the failure counts use it.

/// How an exchange with a target or with the gate beside it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExchangeEnd {
    /// A complete response arrived.
    Completed,
    /// The target reported that it shed the request.
    Shed,
    /// The gate refused the request before it was sent to the target.
    Refused,
    /// No complete response arrived before the deadline.
    TimedOut,
    /// The connection failed, the response was cut short or the target crashed.
    Failed,
    /// The caller disconnected, or the exchange was not started for a reason unrelated to the target.
    Cancelled,
}
