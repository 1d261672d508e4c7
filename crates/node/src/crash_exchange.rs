//! Passes crash reports between the quarantine and membership.

use {
    crate::{control::MembershipHandle, data::CrashWatch},
    jujubeline_coordination::membership::CrashReport,
    jujubeline_core::stable_hash,
    jujubeline_overload::{ClearReport, CrashId, CrashReport as LocalReport, QuarantineReport},
    std::{sync::Arc, time::Duration},
    tokio::sync::broadcast::error::RecvError,
};

/// Node name given to crashes reported by other nodes, because membership carries only a hash of their identity.
const OTHER_NODES: &str = "other nodes";

/// Reports crashes of the local target and cleared suspects to membership, and merges the reports of other nodes, until
/// the control plane ends.
pub async fn exchange_crashes(crashes: Arc<CrashWatch>, membership: MembershipHandle) {
    let mut received = membership.subscribe_crashes();
    merge_all(&crashes, &membership).await;
    loop {
        tokio::select! {
            report = received.recv() => match report {
                Ok(report) => merge(&crashes, report),
                // Membership delivers each report once, so those that were missed are taken from what it knows.
                Err(RecvError::Lagged(_)) => merge_all(&crashes, &membership).await,
                Err(RecvError::Closed) => return,
            },
            reports = crashes.next_reports() => send(reports, &membership).await,
        }
    }
}

async fn send(reports: Vec<QuarantineReport>, membership: &MembershipHandle) {
    for report in reports {
        let reports: Vec<CrashReport> = match report {
            QuarantineReport::Crash(report) => report
                .fingerprints
                .iter()
                .map(|&fingerprint| CrashReport {
                    crash: identity(&report.crash),
                    fingerprint,
                    is_cleared: false,
                    age: report.age,
                })
                .collect(),
            QuarantineReport::Clear(report) => report
                .crashes
                .iter()
                .map(|crash| CrashReport {
                    crash: identity(crash),
                    fingerprint: report.fingerprint,
                    is_cleared: true,
                    // Membership keeps the time of a crash that it knows.
                    age: Duration::ZERO,
                })
                .collect(),
        };
        for report in reports {
            membership.report_crash(report).await;
        }
    }
}

async fn merge_all(crashes: &CrashWatch, membership: &MembershipHandle) {
    for report in membership.crash_reports().await {
        merge(crashes, report);
    }
}

fn merge(crashes: &CrashWatch, report: CrashReport) {
    let own = crashes.find_own_crash(|crash| identity(crash) == report.crash);
    if own.is_some() && !report.is_cleared {
        return;
    }
    let crash = own.unwrap_or_else(|| CrashId {
        node: OTHER_NODES.into(),
        incarnation: report.crash,
        number: 0,
    });
    let fingerprint = report.fingerprint;
    crashes.merge(&[if report.is_cleared {
        QuarantineReport::Clear(ClearReport {
            fingerprint,
            crashes: vec![crash],
        })
    } else {
        QuarantineReport::Crash(LocalReport {
            crash,
            fingerprints: vec![fingerprint],
            age: report.age,
        })
    }]);
}

/// Identity of a crash in membership.
fn identity(crash: &CrashId) -> u64 {
    if &*crash.node == OTHER_NODES {
        return crash.incarnation;
    }
    let text = format!("{}/{}/{}", crash.node, crash.incarnation, crash.number);
    stable_hash(text.as_bytes())
}
