//! Tracking of suspects, crashes and quarantined requests.

use {
    crate::crash::{ClearReport, CrashId, CrashReport, QuarantineReport},
    jujubeline_core::{CRASHES_TO_QUARANTINE, Fingerprint, NodeId, QUARANTINE_TIME},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Capacity of the table of fingerprints under suspicion or in quarantine.
const MAX_SUSPECTS: usize = 1_024;
/// Largest number of crashes stored for each fingerprint, cleared ones included.
const MAX_CRASHES: usize = 8;
/// Largest number of reports that wait to be exported.
const MAX_REPORTS: usize = 1_024;
/// Largest number of fingerprints in one crash report: the connections of the largest target.
const MAX_REPORT_FINGERPRINTS: usize = 660;
/// Time after a completion within which a newly reported crash does not make the request a suspect. After a crash, the
/// request may be sent again and complete before the report of the crash arrives, and a frequent request is in flight at
/// most crashes.
const COMPLETION_TTL: Duration = Duration::from_secs(5);
/// Largest number of stored completions. At a higher rate they are stored for a shorter time.
const MAX_COMPLETIONS: usize = 4_096;
/// Largest number of exchanges in flight that are tracked, over all targets.
const MAX_IN_FLIGHT: usize = 16_384;

/// Whether a request may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectDecision {
    /// The request may run. Its end must be reported with [`Quarantine::end`].
    Run,
    /// The request is a suspect and another suspect is running at the target. [`Quarantine::begin`] must be called
    /// again after the other one has ended.
    Wait,
    /// The request is quarantined for this remaining time.
    Refuse(Duration),
}

/// Detects requests that crash targets, and quarantines them.
///
/// Each request in flight at a crash becomes a suspect. A suspect that runs to completion is cleared. One that is in
/// flight at three crashes without being cleared is quarantined for ten minutes.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    in_flight: HashMap<NodeId, Vec<Fingerprint>>,
    in_flight_total: usize,
    completions: HashMap<Fingerprint, Instant>,
    completion_order: VecDeque<(Instant, Fingerprint)>,
    reports: VecDeque<QuarantineReport>,
    refused: u64,
}

#[derive(Debug)]
struct Suspect {
    /// Crashes with the request in flight, and whether the request has been cleared of each.
    crashes: Vec<(CrashId, bool)>,
    expires: Instant,
}

impl Suspect {
    /// Number of crashes of which the request has not been cleared.
    fn count(&self) -> usize {
        self.crashes.iter().filter(|(_, cleared)| !cleared).count()
    }
}

impl Quarantine {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request may run at a target, and if so records it as in flight there. It runs unrecorded while
    /// the table of exchanges in flight is full.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        target: &NodeId,
        now: Instant,
    ) -> SuspectDecision {
        if let Some(remaining) = self.remaining_quarantine(fingerprint, now) {
            return SuspectDecision::Refuse(remaining);
        }
        if self.is_suspect(fingerprint, now) && self.suspect_runs_at(target, now) {
            return SuspectDecision::Wait;
        }
        if self.in_flight_total >= MAX_IN_FLIGHT {
            self.refused += 1;
            return SuspectDecision::Run;
        }
        self.in_flight_total += 1;
        if let Some(running) = self.in_flight.get_mut(target) {
            running.push(fingerprint);
        } else {
            self.in_flight.insert(target.clone(), vec![fingerprint]);
        }
        SuspectDecision::Run
    }

    /// Records the end of a request. A suspect that completed is cleared, also when it has been quarantined meanwhile.
    pub fn end(
        &mut self,
        fingerprint: Fingerprint,
        target: &NodeId,
        completed: bool,
        now: Instant,
    ) {
        self.remove_in_flight(fingerprint, target);
        if !completed {
            return;
        }
        self.remember_completion(fingerprint, now);
        self.clear(fingerprint);
    }

    /// Clears a suspect of all recorded crashes, and queues a report for export if there were any.
    fn clear(&mut self, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let mut crashes = Vec::new();
        for (crash, cleared) in &mut suspect.crashes {
            if !*cleared {
                *cleared = true;
                crashes.push(crash.clone());
            }
        }
        if !crashes.is_empty() {
            self.export(QuarantineReport::Clear(ClearReport {
                fingerprint,
                crashes,
            }));
        }
    }

    /// Records a crash of a target. All requests in flight at it become suspects, and those in `lost`, which ended
    /// without a response before. A report is queued for export.
    pub fn record_crash(&mut self, crash: CrashId, lost: &[Fingerprint], now: Instant) {
        let in_flight = self.in_flight.remove(&crash.node).unwrap_or_default();
        self.in_flight_total -= in_flight.len();
        self.record_suspects(
            crash,
            in_flight.into_iter().chain(lost.iter().copied()),
            now,
        );
    }

    /// Records requests that may have crashed a target, while it goes on with those in flight. A report is queued for
    /// export.
    pub fn record_suspects(
        &mut self,
        crash: CrashId,
        suspects: impl IntoIterator<Item = Fingerprint>,
        now: Instant,
    ) {
        let mut fingerprints: Vec<Fingerprint> = suspects.into_iter().collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.truncate(MAX_REPORT_FINGERPRINTS);
        let report = CrashReport {
            crash,
            fingerprints,
            age: Duration::ZERO,
        };
        self.export(QuarantineReport::Crash(report.clone()));
        self.merge_crash(&report, now);
    }

    /// Merges a report of another node.
    pub fn merge(&mut self, report: &QuarantineReport, now: Instant) {
        match report {
            QuarantineReport::Crash(report) => self.merge_crash(report, now),
            QuarantineReport::Clear(report) => {
                let expires = now + QUARANTINE_TIME;
                for crash in report.crashes.iter().take(MAX_CRASHES) {
                    self.record(report.fingerprint, crash, true, expires, now);
                }
            }
        }
    }

    /// Removes and returns the reports that have not been exported to other nodes yet, oldest first.
    pub fn take_reports(&mut self) -> Vec<QuarantineReport> {
        self.reports.drain(..).collect()
    }

    /// Whether there are reports that have not been exported to other nodes yet.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Removes expired suspicions and quarantines. To be called about once a second.
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.expires > now);
    }

    /// Remaining quarantine time of a request; `None` if it is not quarantined.
    #[must_use]
    pub fn remaining_quarantine(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        (suspect.expires > now && suspect.count() >= CRASHES_TO_QUARANTINE)
            .then(|| suspect.expires - now)
    }

    /// Requests that are quarantined.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> BTreeSet<Fingerprint> {
        let all = self.suspects.keys().copied();
        all.filter(|&fingerprint| self.remaining_quarantine(fingerprint, now).is_some())
            .collect()
    }

    /// Number of requests in flight at a target.
    #[must_use]
    pub fn in_flight_at(&self, target: &NodeId) -> usize {
        self.in_flight.get(target).map_or(0, Vec::len)
    }

    /// Whether a request was in flight at a crash of which it has not been cleared.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.expires > now && suspect.count() > 0)
    }

    /// Number of fingerprints under suspicion or in quarantine, expired ones included until [`Quarantine::expire`].
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no fingerprint is under suspicion or in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Total number of fingerprints, crashes, exchanges, completions and reports that were not kept because a table was
    /// full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    fn remember_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.completions.insert(fingerprint, now).is_some() {
            return;
        }
        self.completion_order.push_back((now, fingerprint));
        while let Some(&(at, oldest)) = self.completion_order.front() {
            let expired = now.saturating_duration_since(at) >= COMPLETION_TTL;
            if !expired && self.completion_order.len() <= MAX_COMPLETIONS {
                break;
            }
            self.completion_order.pop_front();
            let last = self.completions.get(&oldest).copied();
            if let Some(last) = last.filter(|&last| expired && last > at) {
                // The request has completed again since.
                self.completion_order.push_back((last, oldest));
                continue;
            }
            self.refused += u64::from(!expired);
            self.completions.remove(&oldest);
        }
    }

    fn completed_recently(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.completions
            .get(&fingerprint)
            .is_some_and(|&at| now.saturating_duration_since(at) < COMPLETION_TTL)
    }

    fn suspect_runs_at(&self, target: &NodeId, now: Instant) -> bool {
        self.in_flight
            .get(target)
            .is_some_and(|running| running.iter().any(|&other| self.is_suspect(other, now)))
    }

    fn remove_in_flight(&mut self, fingerprint: Fingerprint, target: &NodeId) {
        let Some(running) = self.in_flight.get_mut(target) else {
            return;
        };
        if let Some(index) = running.iter().position(|&other| other == fingerprint) {
            running.swap_remove(index);
            self.in_flight_total -= 1;
        }
        if running.is_empty() {
            self.in_flight.remove(target);
        }
    }

    fn merge_crash(&mut self, report: &CrashReport, now: Instant) {
        let expires = now + QUARANTINE_TIME.saturating_sub(report.age);
        for &fingerprint in report.fingerprints.iter().take(MAX_REPORT_FINGERPRINTS) {
            self.record(fingerprint, &report.crash, false, expires, now);
            if self.completed_recently(fingerprint, now) {
                self.clear(fingerprint);
            }
        }
    }

    fn record(
        &mut self,
        fingerprint: Fingerprint,
        crash: &CrashId,
        cleared: bool,
        expires: Instant,
        now: Instant,
    ) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            self.expire(now);
            if self.suspects.len() >= MAX_SUSPECTS {
                self.refused += 1;
                return;
            }
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            expires,
        });
        if let Some((_, known)) = suspect.crashes.iter_mut().find(|(known, _)| known == crash) {
            *known |= cleared;
            return;
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            self.refused += 1;
            return;
        }
        suspect.crashes.push((crash.clone(), cleared));
        suspect.expires = suspect.expires.max(expires);
    }

    fn export(&mut self, report: QuarantineReport) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
            self.refused += 1;
        }
        self.reports.push_back(report);
    }
}
