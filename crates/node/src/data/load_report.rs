//! Load reports in headers, in the text format of ORCA.

use {
    http::{HeaderMap, HeaderValue},
    jujubeline_core::header_names,
    jujubeline_overload::{ExpectedCompletion, LoadReport},
    std::{fmt::Write, time::Duration},
};

/// Reads the utilisation that a response reports. `application_utilization` is preferred to `cpu_utilization`. Values
/// that are missing, malformed, negative or not finite are ignored.
#[must_use]
pub fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(header_names::LOAD)?.to_str().ok()?;
    let metrics = text.strip_prefix("TEXT ")?;
    let value = |wanted: &str| {
        metrics
            .split(',')
            .filter_map(|part| part.trim().split_once('='))
            .find(|(name, _)| *name == wanted)
            .and_then(|(_, value)| value.trim().parse::<f64>().ok())
            .filter(|value| value.is_finite() && *value >= 0.0)
    };
    let utilisation = value("application_utilization").or_else(|| value("cpu_utilization"))?;
    let seconds = |name| Duration::try_from_secs_f64(value(name)? / 1_000.0).ok();
    let completion = seconds(SERVICE_MS).zip(seconds(WAIT_MS));
    Some(LoadReport {
        utilisation,
        completion: completion.map(|(service, wait)| ExpectedCompletion { service, wait }),
    })
}

/// Header value of a report.
#[must_use]
pub fn load_value(report: &LoadReport) -> HeaderValue {
    let mut text = format!("TEXT application_utilization={:.3}", report.utilisation);
    if let Some(ExpectedCompletion { service, wait }) = report.completion {
        let (service_ms, wait_ms) = (service.as_secs_f64() * 1e3, wait.as_secs_f64() * 1e3);
        // Writing to a text cannot fail.
        let _ = write!(
            text,
            ", {SERVICE_MS}={service_ms:.1}, {WAIT_MS}={wait_ms:.1}"
        );
    }
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("TEXT"))
}

/// Metrics of ORCA's open set: time that the target takes for a request, and time that a request waits before.
const SERVICE_MS: &str = "named_metrics.service_ms";
const WAIT_MS: &str = "named_metrics.wait_ms";
