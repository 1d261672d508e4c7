//! Crash reports that a node knows and passes on.

use {
    super::{CrashReport, MAX_CRASHES, message::CRASH_BYTES},
    jujubeline_core::{CRASHES_TO_QUARANTINE, Fingerprint, QUARANTINE_TIME},
    std::{cmp::Reverse, collections::HashMap, time::Instant},
};

/// Bound on the known crash reports.
const MAX_CRASH_REPORTS: usize = 1_024;

/// Reports of quarantined requests that have a place in each datagram before updates of members do: all of two requests.
const RESERVED_REPORTS: usize = 2 * CRASHES_TO_QUARANTINE;

#[derive(Debug, Clone)]
struct KnownReport {
    is_cleared: bool,
    crashed: Instant,
    /// Number of times that it was sent since it last changed.
    sent: u32,
    /// Higher for reports that changed later.
    order: u64,
}

/// Known crash reports. Those of one request that are not cleared quarantine it, from three on.
///
/// Reports merge in any order: a cleared report stays cleared. Each is sent a number of times when it is new. Reports of
/// quarantined requests are sent for as long as they hold, with the room that is left in any datagram, so that nodes
/// that start, restart or were cut off learn of them from the first nodes that they hear.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashReports {
    known: HashMap<(Fingerprint, u64), KnownReport>,
    /// Number of known reports of each request, and of those that are not cleared.
    counts: HashMap<Fingerprint, Counts>,
    order: u64,
    verdicts: u64,
    refused: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    all: usize,
    uncleared: usize,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Added {
    /// The report was known.
    Nothing,
    /// The report is new or newly cleared.
    Report,
    /// The report also decides whether a request is quarantined.
    Verdict,
}

impl CrashReports {
    /// Adds a report.
    pub(super) fn add_report(&mut self, report: CrashReport, now: Instant) -> Added {
        if report.age >= QUARANTINE_TIME {
            return Added::Nothing;
        }
        let key = (report.fingerprint, report.crash);
        let is_known = self.known.get_mut(&key).map(|known| {
            if known.is_cleared && !report.is_cleared {
                // The sender does not know that the request is cleared.
                known.sent = 0;
            }
            known.is_cleared
        });
        if is_known.is_some_and(|is_cleared| is_cleared || !report.is_cleared) {
            return Added::Nothing;
        }
        if is_known.is_none() && self.known.len() >= MAX_CRASH_REPORTS && !self.evict() {
            self.refused += 1;
            return Added::Nothing;
        }
        self.order += 1;
        let order = self.order;
        let known = self.known.entry(key).or_insert_with(|| KnownReport {
            is_cleared: false,
            crashed: now.checked_sub(report.age).unwrap_or(now),
            sent: 0,
            order,
        });
        let counts = self.counts.entry(report.fingerprint).or_default();
        if is_known.is_none() {
            counts.all += 1;
            counts.uncleared += usize::from(!report.is_cleared);
        } else {
            counts.uncleared -= 1;
        }
        (known.is_cleared, known.sent, known.order) = (report.is_cleared, 0, order);
        let decides = if report.is_cleared {
            counts.all >= CRASHES_TO_QUARANTINE
        } else {
            counts.uncleared >= CRASHES_TO_QUARANTINE
        };
        if !decides {
            return Added::Report;
        }
        self.verdicts += 1;
        Added::Verdict
    }

    /// Number of reports so far that decided whether a request is quarantined.
    pub(super) const fn verdicts(&self) -> u64 {
        self.verdicts
    }

    /// Removes reports that are too old to count. To be called about once a second.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .known
            .iter()
            .filter(|(_, known)| now.saturating_duration_since(known.crashed) >= QUARANTINE_TIME)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove(key);
        }
    }

    /// Whether reports wait to be sent for the first times.
    pub(super) fn has_pending(&self, retransmits: u32) -> bool {
        self.known.values().any(|known| known.sent < retransmits)
    }

    /// Room in a datagram that updates of members leave to reports.
    pub(super) fn reserved_bytes(&self) -> usize {
        let quarantined = self
            .counts
            .values()
            .filter(|counts| counts.is_quarantined());
        let reports: usize = quarantined.map(|counts| counts.uncleared).sum();
        reports.min(RESERVED_REPORTS) * CRASH_BYTES
    }

    /// Takes reports of at most `max_bytes`. Half of them are reports that count against a request: first new ones, those
    /// of requests in most crashes before others, then those of quarantined requests in turn. The other half are new
    /// cleared reports. Each half leaves its unused places to the other one.
    pub(super) fn take(
        &mut self,
        max_bytes: usize,
        retransmits: u32,
        now: Instant,
    ) -> Vec<CrashReport> {
        let count = (max_bytes / CRASH_BYTES).min(MAX_CRASHES);
        if count == 0 || self.known.is_empty() {
            return Vec::new();
        }
        let counts = &self.counts;
        let mut counting = Vec::new();
        let mut cleared = Vec::new();
        for (&(fingerprint, crash), known) in &self.known {
            let counts = counts.get(&fingerprint).copied().unwrap_or_default();
            let is_pending = known.sent < retransmits;
            let key = (fingerprint, crash);
            let newest = u64::MAX - known.order;
            if known.is_cleared {
                if is_pending {
                    cleared.push((Reverse(counts.all), known.sent, newest, key));
                }
            } else if is_pending {
                counting.push((Reverse(counts.uncleared), known.sent, newest, key));
            } else if counts.is_quarantined() {
                // Repeated ones of a request together, because all of them are needed.
                counting.push((Reverse(0), known.sent, fingerprint, key));
            }
        }
        counting.sort_unstable();
        cleared.sort_unstable();
        // Without a share of their own, reports of a request that ends targets waited for seconds behind the clearances
        // of frequent requests.
        let for_cleared = cleared
            .len()
            .min((count / 2).max(count.saturating_sub(counting.len())));
        counting.truncate(count - for_cleared);
        cleared.truncate(for_cleared);
        let mut taken = Vec::with_capacity(counting.len() + cleared.len());
        for (.., key) in counting.into_iter().chain(cleared) {
            if let Some(known) = self.known.get_mut(&key) {
                known.sent = known.sent.saturating_add(1);
                taken.push(known.report(key.0, key.1, now));
            }
        }
        taken
    }

    /// All known reports.
    pub(super) fn all(&self, now: Instant) -> Vec<CrashReport> {
        let known = self.known.iter();
        known
            .map(|(&(fingerprint, crash), known)| known.report(fingerprint, crash, now))
            .collect()
    }

    /// Reports that were not kept because the table was full of reports about quarantined requests.
    pub(super) const fn refused(&self) -> u64 {
        self.refused
    }

    /// Removes the report that matters least: of a request in the fewest crashes, and of those the oldest. Reports of
    /// quarantined requests stay.
    fn evict(&mut self) -> bool {
        let counts = &self.counts;
        let least = self
            .known
            .iter()
            .map(|(key, known)| {
                let counts = counts.get(&key.0).copied().unwrap_or_default();
                (counts.uncleared, known.order, *key)
            })
            .min();
        let Some((uncleared, _, key)) = least else {
            return false;
        };
        if uncleared >= CRASHES_TO_QUARANTINE {
            return false;
        }
        self.remove(key);
        true
    }

    fn remove(&mut self, key: (Fingerprint, u64)) {
        let Some(known) = self.known.remove(&key) else {
            return;
        };
        let Some(counts) = self.counts.get_mut(&key.0) else {
            return;
        };
        counts.all -= 1;
        counts.uncleared -= usize::from(!known.is_cleared);
        if counts.all == 0 {
            self.counts.remove(&key.0);
        }
    }
}

impl KnownReport {
    fn report(&self, fingerprint: Fingerprint, crash: u64, now: Instant) -> CrashReport {
        CrashReport {
            crash,
            fingerprint,
            is_cleared: self.is_cleared,
            age: now.saturating_duration_since(self.crashed),
        }
    }
}

impl Counts {
    const fn is_quarantined(self) -> bool {
        self.uncleared >= CRASHES_TO_QUARANTINE
    }
}
