//! Load reports in headers, in the text format of ORCA.

use {
    http::{HeaderMap, HeaderValue},
    jujubeline_core::header_names,
    jujubeline_overload::LoadReport,
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
    Some(LoadReport { utilisation })
}

/// Header value that reports a utilisation, 1.0 for fully used.
#[must_use]
pub fn load_value(utilisation: f64) -> HeaderValue {
    let text = format!("TEXT application_utilization={utilisation:.3}");
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("TEXT"))
}
