//! Header in which gates and entry nodes pass on what a target states about itself.

use {
    http::{HeaderMap, HeaderValue},
    jujubeline_coordination::TargetReport,
    jujubeline_core::header_names as names,
};

/// Adds a report in the form `process=i-1;born_ms=10;rate_limit_per_s=21.4;leaving`. Unknown parts are left out.
pub fn write_report(headers: &mut HeaderMap, report: &TargetReport) {
    let mut parts = Vec::new();
    if let Some(process) = &report.process {
        parts.push(format!("process={process}"));
    }
    if let Some(born_ms) = report.born_ms {
        parts.push(format!("born_ms={born_ms}"));
    }
    if let Some(per_s) = report.rate_limit_per_s {
        parts.push(format!("rate_limit_per_s={per_s}"));
    }
    if report.is_leaving {
        parts.push("leaving".to_owned());
    }
    if let Ok(value) = HeaderValue::from_str(&parts.join(";")) {
        headers.insert(names::TARGET_REPORT, value);
    }
}

/// Reads a report; `None` when it is missing or malformed. Parts that this version does not know are skipped.
pub fn read_report(headers: &HeaderMap) -> Option<TargetReport> {
    let text = headers.get(names::TARGET_REPORT)?.to_str().ok()?;
    let mut report = TargetReport::default();
    for part in text.split(';') {
        match part.split_once('=') {
            Some(("process", process)) => report.process = Some(process.into()),
            Some(("born_ms", born_ms)) => report.born_ms = Some(born_ms.parse().ok()?),
            Some(("rate_limit_per_s", per_s)) => {
                let per_s: f64 = per_s.parse().ok()?;
                report.rate_limit_per_s =
                    Some(per_s).filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
            }
            None if part == "leaving" => report.is_leaving = true,
            Some(_) | None => {}
        }
    }
    Some(report)
}
