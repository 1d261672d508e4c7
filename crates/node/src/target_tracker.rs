//! Keeps the state of the local target: from its notices, its responses, and the reports of other nodes.

use {
    crate::{
        LocalTarget,
        data::{CrashWatch, TargetAdmission},
    },
    jujubeline_coordination::{
        HealthAnswer, HealthQuestion, NoticeEffect, OwnTarget, TargetRecord, TargetReport,
        membership::TargetState,
    },
    jujubeline_core::{AnnouncedState, NodeId, ProcessId, TargetNotice},
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, watch},
    tokio_util::sync::CancellationToken,
};

/// State of the local target and the record of its process.
#[derive(Debug)]
pub struct TargetTracker {
    /// Node beside the target.
    pub node: NodeId,
    /// The target in the settings; none if they name no address.
    pub own: Option<OwnTarget>,
    /// State that the data path and membership follow.
    pub target: Arc<watch::Sender<LocalTarget>>,
    /// Cancelled when the node stops passing new work to the target.
    pub withheld: CancellationToken,
    /// Detects crashes of the target.
    pub crashes: Arc<CrashWatch>,
    /// Admission to the target.
    pub admission: Arc<TargetAdmission>,
    /// Last known process of the target.
    pub record: Mutex<TargetRecord>,
    /// Notified when a health check has to show which process of the target runs.
    pub unconfirmed: Notify,
    /// Notices and health checks of the target, counted by their effect.
    pub counts: NoticeCounts,
}

/// Notices of the target by effect, and health checks that were to confirm a process.
#[derive(Debug, Default)]
pub struct NoticeCounts {
    by_effect: [AtomicU64; NoticeEffect::ALL.len()],
    confirmed: AtomicU64,
    not_confirmed: AtomicU64,
}

impl NoticeCounts {
    fn count_notice(&self, effect: NoticeEffect) {
        let counted = NoticeEffect::ALL.iter().zip(&self.by_effect);
        for (_, count) in counted.filter(|(known, _)| **known == effect) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Notices with an effect.
    pub fn notices(&self, effect: NoticeEffect) -> u64 {
        let mut counted = NoticeEffect::ALL.iter().zip(&self.by_effect);
        let count = counted.find(|(known, _)| **known == effect);
        count.map_or(0, |(_, count)| count.load(Ordering::Relaxed))
    }

    /// Health checks that confirmed a process.
    pub fn confirmed(&self) -> u64 {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Health checks that did not confirm the process that was asked about.
    pub fn not_confirmed(&self) -> u64 {
        self.not_confirmed.load(Ordering::Relaxed)
    }
}

/// The process that a request was sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLifetime {
    /// Id of the process.
    pub process: Option<ProcessId>,
    /// Start of the process in milliseconds since the Unix epoch, if it is known.
    pub born_ms: Option<u64>,
}

impl TargetTracker {
    /// Applies a notice of the target.
    pub fn apply_notice(&self, notice: &TargetNotice, now: Instant) -> NoticeEffect {
        let Some(own) = &self.own else {
            return NoticeEffect::Foreign;
        };
        let mut record = self.record.lock();
        let effect = record.apply_notice(notice, own, now);
        if let NoticeEffect::Taken { new_process } = effect {
            self.apply_record(&record, own.address, new_process);
        }
        if record.unconfirmed(now).is_some() {
            self.unconfirmed.notify_one();
        }
        drop(record);
        self.counts.count_notice(effect);
        effect
    }

    /// The process that a health check has to confirm.
    pub fn unconfirmed(&self, now: Instant) -> Option<HealthQuestion> {
        self.record.lock().unconfirmed(now)
    }

    /// Applies the answer of a health check that was sent to confirm a process; `None` if there was no answer.
    pub fn apply_health_answer(&self, asked: &HealthQuestion, answer: Option<&HealthAnswer>) {
        let mut record = self.record.lock();
        let effect = answer.and_then(|answer| record.apply_health_answer(asked, answer));
        let Some(NoticeEffect::Taken { new_process }) = effect else {
            self.counts.not_confirmed.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.counts.confirmed.fetch_add(1, Ordering::Relaxed);
        if let Some(own) = &self.own {
            self.apply_record(&record, own.address, new_process);
        }
    }

    /// Records a process that answered that it is healthy, if none is recorded yet.
    pub fn record_healthy_process(&self, process: &ProcessId, slots: u32) {
        let Some(own) = &self.own else {
            return;
        };
        let mut record = self.record.lock();
        if record.record_healthy_process(process, slots) {
            self.apply_record(&record, own.address, true);
        }
    }

    /// Whether a process of the target is known.
    pub fn knows_process(&self) -> bool {
        self.record.lock().process().is_some()
    }

    /// The process that the next request is sent to.
    pub fn lifetime(&self) -> TargetLifetime {
        let target = self.target.borrow();
        TargetLifetime {
            process: target.process.clone(),
            born_ms: target.born_ms,
        }
    }

    /// Takes note that a process of the target stated that it is shutting down.
    pub fn process_leaves(&self, lifetime: &TargetLifetime, now: Instant) {
        let Some(process) = lifetime.process.clone() else {
            return;
        };
        if self.record.lock().is_leaving(&process, lifetime.born_ms) {
            return;
        }
        log::info!(
            "process {process} of the target of node {} states that it is leaving",
            self.node
        );
        let leave = TargetNotice::Leave {
            process,
            born_ms: lifetime.born_ms,
        };
        self.apply_notice(&leave, now);
    }

    /// Adopts what another node heard from the target before this node restarted.
    pub fn adopt(&self, report: &TargetReport, now: Instant) {
        let lifetime = self.lifetime();
        if let Some(per_s) = report.rate_limit_per_s
            && report.is_about(lifetime.process.as_ref(), lifetime.born_ms)
            && self.admission.adopt_rate(per_s).is_some()
        {
            log::info!(
                "target is held to {per_s} requests per second, which another node reported"
            );
        }
        // A process that was born at a known time is another one than a process that was reported without it.
        let is_comparable = report.born_ms.is_some() || lifetime.born_ms.is_none();
        if report.is_leaving && is_comparable {
            let lifetime = TargetLifetime {
                process: report.process.clone(),
                born_ms: report.born_ms,
            };
            self.process_leaves(&lifetime, now);
        }
    }

    /// What other nodes should know about the target; none if it takes work without a limit.
    pub fn report(&self) -> Option<TargetReport> {
        let rate_limit_per_s = self.admission.rate_limit();
        let (process, born_ms, state) = {
            let target = self.target.borrow();
            (target.process.clone(), target.born_ms, target.state)
        };
        // The target does not leave if it is this node that stops.
        let is_leaving = state == TargetState::Draining
            && process
                .as_ref()
                .is_some_and(|process| self.record.lock().is_leaving(process, born_ms));
        (rate_limit_per_s.is_some() || is_leaving).then_some(TargetReport {
            process,
            born_ms,
            rate_limit_per_s,
            is_leaving,
        })
    }

    /// Updates the local target from the process in the record. The caller holds the record's lock, so that notices
    /// take effect in the order in which they are recorded.
    fn apply_record(&self, record: &TargetRecord, address: SocketAddr, is_new: bool) {
        let Some(process) = record.process() else {
            return;
        };
        let former = self.target.borrow().clone();
        let target = LocalTarget {
            address: Some(address),
            process: Some(process.id.clone()),
            born_ms: process.born_ms(),
            state: match process.state {
                AnnouncedState::Ready(Duration::ZERO) => TargetState::Ready,
                AnnouncedState::Ready(_) => TargetState::Cold,
                AnnouncedState::Draining => TargetState::Draining,
            },
            slots: process.slots,
            connections: former.connections,
            health_path: former.health_path.clone(),
        };
        self.announce(&former, target, is_new);
    }

    /// Replaces the state of the local target.
    pub fn announce(&self, former: &LocalTarget, mut announced: LocalTarget, is_new: bool) {
        let was_draining = former.state == TargetState::Draining;
        self.crashes.on_announcement(is_new, was_draining);
        if is_new {
            self.admission.clear_rate();
        }
        self.target.send_if_modified(|target| {
            // The target keeps running while its node stops; other nodes must not send it work through this one.
            if self.withheld.is_cancelled() {
                announced.state = TargetState::Draining;
            }
            let changed = *target != announced;
            target.clone_from(&announced);
            changed
        });
        if former.state != announced.state || former.address != announced.address {
            let place = announced.address.map(|address| format!(" at {address}"));
            log::info!(
                "target of node {} is {}{}",
                self.node,
                announced.state,
                place.unwrap_or_default()
            );
        }
    }
}
