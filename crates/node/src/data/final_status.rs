//! Statuses that can be the final answer to a request.

use http::StatusCode;

/// Lowest number that is not a status of HTTP (RFC 9110, section 15).
const FIRST_INVALID: u16 = 600;

/// Whether a status can be that of a final answer. Interim statuses cannot, and numbers beyond those of HTTP say
/// nothing about the request.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < FIRST_INVALID
}
