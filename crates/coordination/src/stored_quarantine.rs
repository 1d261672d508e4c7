//! Quarantined requests as they are kept at the platform, for nodes that no other node can tell.

use {
    crate::membership::CrashReport,
    jujubeline_core::{CRASHES_TO_QUARANTINE, Fingerprint, QUARANTINE_TIME},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Largest number of quarantines that are kept at the platform.
pub const MAX_STORED_QUARANTINES: usize = 64;

/// A quarantined request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredQuarantine {
    /// Hash of the request's content, in hexadecimal digits.
    pub fingerprint: String,
    /// Identities of the crashes with the request in flight, in hexadecimal digits.
    pub crashes: Vec<String>,
    /// End of the quarantine, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

impl StoredQuarantine {
    /// The quarantined requests among crash reports, by the name of their object. Those beyond
    /// [`MAX_STORED_QUARANTINES`] are left out.
    #[must_use]
    pub fn from_reports(reports: &[CrashReport], now: SystemTime) -> BTreeMap<String, Self> {
        let mut by_request: BTreeMap<Fingerprint, Vec<&CrashReport>> = BTreeMap::new();
        for report in reports.iter().filter(|report| !report.is_cleared) {
            by_request
                .entry(report.fingerprint)
                .or_default()
                .push(report);
        }
        by_request
            .into_iter()
            .filter(|(_, reports)| reports.len() >= CRASHES_TO_QUARANTINE)
            .take(MAX_STORED_QUARANTINES)
            .map(|(fingerprint, reports)| {
                let youngest = reports.iter().map(|report| report.age).min();
                let left = QUARANTINE_TIME.saturating_sub(youngest.unwrap_or_default());
                let stored = Self {
                    fingerprint: format!("{fingerprint:016x}"),
                    crashes: reports
                        .iter()
                        .map(|report| format!("{:016x}", report.crash))
                        .collect(),
                    until_ms: unix_ms(now + left),
                };
                (stored.fingerprint.clone(), stored)
            })
            .collect()
    }

    /// Whether the quarantine has ended.
    #[must_use]
    pub fn has_ended(&self, now: SystemTime) -> bool {
        self.until_ms <= unix_ms(now)
    }

    /// Crash reports that quarantine the request for the time that is left; none if the quarantine has ended or a field
    /// is malformed.
    #[must_use]
    pub fn reports(&self, now: SystemTime) -> Vec<CrashReport> {
        let left = Duration::from_millis(self.until_ms.saturating_sub(unix_ms(now)));
        let hex = |text: &String| u64::from_str_radix(text, 16);
        let (Ok(fingerprint), false) = (hex(&self.fingerprint), left.is_zero()) else {
            return Vec::new();
        };
        let crashes = self.crashes.iter().map(hex);
        crashes
            .filter_map(Result::ok)
            .map(|crash| CrashReport {
                crash,
                fingerprint,
                is_cleared: false,
                age: QUARANTINE_TIME.saturating_sub(left),
            })
            .collect()
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
