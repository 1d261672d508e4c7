//! Responses for refusals: problem details (RFC 9457) for callers, headers between nodes.

use {
    super::ResponseBody,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    jujubeline_core::{Dialect, Outcome, Refusal, header_names},
    serde::Serialize,
};

#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    outcome: String,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Builds the problem response to a caller whose request was refused.
#[must_use]
pub fn problem_response(refusal: &Refusal, dialect: &Dialect) -> Response<ResponseBody> {
    let reason = refusal.reason();
    let status = if dialect.status_proves_not_run {
        promised_status(refusal)
    } else {
        reason.status()
    };
    let problem = Problem {
        r#type: "about:blank",
        title: reason.title(),
        status,
        outcome: refusal.outcome().to_string(),
        reason: reason.label(),
        retry_after_ms: refusal
            .retry_after()
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = refusal_head(refusal);
    let headers = response.headers_mut();
    headers.remove(header_names::REASON);
    if let Some(after) = refusal.retry_after()
        && dialect.has_fractional_retry_after
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, seconds);
    }
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.map(|()| ResponseBody::full(Bytes::from(body)))
}

/// Builds status and headers of a refusal, which is sent between nodes without a body.
#[must_use]
pub fn refusal_head(refusal: &Refusal) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(refusal.reason().status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header_names::OUTCOME,
        HeaderValue::from_static(outcome_label(refusal)),
    );
    headers.insert(
        header_names::REASON,
        HeaderValue::from_static(refusal.reason().label()),
    );
    if let Some(after) = refusal.retry_after() {
        // The header has whole seconds. They are rounded up, so that no retry is suggested too early.
        let seconds = after.as_millis().div_ceil(1_000);
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX)),
        );
    }
    response
}

/// Status of a refusal for callers that derive the outcome from the status alone. Statuses 408, 421, 429 and 503
/// promise that the request has not run. A refusal without that proof gets 502 instead of them, and a refusal with it
/// gets 503 instead of a status that leaves the outcome open.
const fn promised_status(refusal: &Refusal) -> u16 {
    let status = refusal.reason().status();
    match (refusal.outcome(), status) {
        (Outcome::NotRun, 499 | 502 | 504) => 503,
        // The exchange that the call belonged to has ended, but the target that made the call still awaits a response.
        (Outcome::Ran | Outcome::Unknown, 499) => 504,
        (Outcome::Ran | Outcome::Unknown, 408 | 421 | 429 | 503) => 502,
        _ => status,
    }
}

const fn outcome_label(refusal: &Refusal) -> &'static str {
    match refusal.outcome() {
        Outcome::NotRun => "not_run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    }
}
