//! Record of a target's process, kept by the node beside the target.

use {
    jujubeline_core::{AnnouncedState, Heartbeat, ProcessId, ServiceName, TargetNotice},
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Bound on the kept leavings and on the kept former processes.
const MAX_KEPT_PROCESSES: usize = 8;

/// Time after the last heartbeat of a candidate after which it is dropped: a process that lives sends several meanwhile.
const CANDIDATE_RETENTION: Duration = Duration::from_secs(15);

/// Time for which a candidate must keep sending heartbeats to be recorded although no health check confirms it. It must
/// be longer than a delayed heartbeat is on its way and than a leaving process serves on.
const UNCONFIRMED_SPAN: Duration = Duration::from_secs(20);

/// The target that belongs to a node, from the node's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnTarget {
    /// Service of the target.
    pub service: ServiceName,
    /// Address at which the target listens.
    pub address: SocketAddr,
}

/// Effect of a notice on the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// The notice was applied.
    Taken {
        /// Whether the notice comes from a process that was not recorded before.
        new_process: bool,
    },
    /// The notice comes from another process than the recorded one. A health check has to show which one is running.
    Unconfirmed,
    /// The process is not recorded. It is kept as leaving, so that no later notice makes it ready.
    Kept,
    /// The notice states nothing new: the same or a later one of its process arrived before.
    Outdated,
    /// The notice names another service or address than the target beside this node.
    Foreign,
}

impl NoticeEffect {
    /// All effects.
    pub const ALL: [Self; 6] = [
        Self::Taken { new_process: true },
        Self::Taken { new_process: false },
        Self::Unconfirmed,
        Self::Kept,
        Self::Outdated,
        Self::Foreign,
    ];

    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Taken { new_process: true } => "new_process",
            Self::Taken { new_process: false } => "taken",
            Self::Unconfirmed => "unconfirmed",
            Self::Kept => "kept",
            Self::Outdated => "outdated",
            Self::Foreign => "foreign",
        }
    }
}

/// A process of a target: its id and its start, which tells it from others that have the same id.
///
/// The start is a reading of a clock that may be stepped, so it is compared for equality only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessStart {
    /// Id of the process.
    pub id: ProcessId,
    /// Start of the process in milliseconds since the Unix epoch, if it is known.
    pub born_ms: Option<u64>,
}

/// Question to a health check: whether a process that sent a notice is the one that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthQuestion {
    /// The process.
    pub process: ProcessStart,
    /// Time of the first notice that raised the question. A later notice may raise it anew, after which an answer to the
    /// earlier question is too old.
    since: Instant,
}

/// What a health check of the target showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// Process that answered, if the answer names it.
    pub process: Option<ProcessId>,
    /// Whether the process is healthy and not leaving.
    pub is_healthy: bool,
}

/// State of the target's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// Id of the process.
    pub id: ProcessId,
    /// Requests that the process can run concurrently.
    pub slots: u32,
    /// Announced state. A process that has begun to drain stays draining.
    pub state: AnnouncedState,
    /// Start of the process. If the process was recorded from an answer, it is unknown until a notice states it.
    born_ms: Option<u64>,
    sequence: u64,
}

/// The process of a target that receives its work.
///
/// Notices can be delayed by a partition and arrive after their sender has left or ended, also at a node that started
/// meanwhile. Within a process they are ordered by their number. Between processes no notice shows an order, so a
/// process counts as ready only after the target's own health check has confirmed it. A notice that a process leaves
/// takes effect at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetRecord {
    process: Option<Process>,
    /// Process that sent a notice and may have replaced the recorded one.
    candidate: Option<Candidate>,
    /// Processes that announced that they leave, oldest first.
    leavings: VecDeque<ProcessStart>,
    /// Processes that were recorded before, oldest first, each with the number of its last heartbeat.
    former: VecDeque<(ProcessStart, u64)>,
}

/// A process that is not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Candidate {
    process: Process,
    first_heard: Instant,
    last_heard: Instant,
}

impl Process {
    /// Start of the process in milliseconds since the Unix epoch, if a notice stated it.
    #[must_use]
    pub const fn born_ms(&self) -> Option<u64> {
        self.born_ms
    }

    fn of_heartbeat(heartbeat: &Heartbeat) -> Self {
        Self {
            id: heartbeat.process.clone(),
            slots: heartbeat.slots,
            state: heartbeat.state,
            born_ms: Some(heartbeat.born_ms),
            sequence: heartbeat.sequence,
        }
    }

    fn start(&self) -> ProcessStart {
        ProcessStart {
            id: self.id.clone(),
            born_ms: self.born_ms,
        }
    }

    fn is_leaving(&self) -> bool {
        self.state == AnnouncedState::Draining
    }
}

impl Candidate {
    fn question(&self) -> HealthQuestion {
        HealthQuestion {
            process: self.process.start(),
            since: self.first_heard,
        }
    }
}

impl ProcessStart {
    /// Whether both can be the same process. An unknown start equals any.
    fn may_be(&self, other: &Self) -> bool {
        let is_same_start = match (self.born_ms, other.born_ms) {
            (Some(one), Some(other)) => one == other,
            (None, _) | (_, None) => true,
        };
        is_same_start && self.id == other.id
    }
}

impl TargetRecord {
    /// The recorded process, which may receive work or still finishes some.
    #[must_use]
    pub const fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// The process that a health check has to confirm.
    pub fn unconfirmed(&mut self, now: Instant) -> Option<HealthQuestion> {
        self.candidate
            .take_if(|known| now.saturating_duration_since(known.last_heard) > CANDIDATE_RETENTION);
        self.candidate.as_ref().map(Candidate::question)
    }

    /// Applies a notice of the target.
    pub fn apply_notice(
        &mut self,
        notice: &TargetNotice,
        own: &OwnTarget,
        now: Instant,
    ) -> NoticeEffect {
        match notice {
            TargetNotice::Heartbeat(heartbeat) => {
                if heartbeat.service != own.service || heartbeat.address != own.address {
                    return NoticeEffect::Foreign;
                }
                self.apply_heartbeat(heartbeat, now)
            }
            TargetNotice::Leave { process, born_ms } => {
                let start = ProcessStart {
                    id: process.clone(),
                    born_ms: *born_ms,
                };
                self.apply_leaving(&start, None, now)
            }
        }
    }

    /// Applies the answer to a health check that was sent after `asked` was raised. Returns the effect if the answer shows
    /// that the process is the one that runs.
    pub fn apply_health_answer(
        &mut self,
        asked: &HealthQuestion,
        answer: &HealthAnswer,
    ) -> Option<NoticeEffect> {
        let candidate = self.candidate.as_ref()?;
        if candidate.question() != *asked {
            return None;
        }
        let named = answer.process.as_ref();
        let names_asked = named.map(|named| *named == asked.process.id);
        let is_confirmed = match names_asked {
            Some(false) => {
                self.candidate = None;
                return None;
            }
            // A leaving process fails its health check.
            Some(true) if candidate.process.is_leaving() => true,
            _ => answer.is_healthy && !candidate.process.is_leaving(),
        };
        is_confirmed.then(|| self.record_candidate()).flatten()
    }

    /// Records a process that answered that it is healthy, if no process is recorded yet and this one has not left.
    /// Returns whether it was recorded.
    pub fn record_healthy_process(&mut self, process: &ProcessId, slots: u32) -> bool {
        let start = ProcessStart {
            id: process.clone(),
            born_ms: None,
        };
        if self.process.is_some() || self.has_left(&start) {
            return false;
        }
        let answered = |other: &mut Candidate| other.process.id == *process;
        if let Some(candidate) = self.candidate.take_if(answered) {
            self.process = Some(candidate.process);
            return true;
        }
        self.process = Some(Process {
            id: start.id,
            slots,
            state: AnnouncedState::Ready(Duration::ZERO),
            born_ms: None,
            sequence: 0,
        });
        true
    }

    /// Whether a process is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, process: &ProcessId, born_ms: Option<u64>) -> bool {
        let start = ProcessStart {
            id: process.clone(),
            born_ms,
        };
        self.has_left(&start)
    }

    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> NoticeEffect {
        let start = ProcessStart {
            id: heartbeat.process.clone(),
            born_ms: Some(heartbeat.born_ms),
        };
        if heartbeat.state == AnnouncedState::Draining {
            return self.apply_leaving(&start, Some(heartbeat), now);
        }
        let has_left = self.has_left(&start);
        if has_left {
            self.name_start_of_leaving(&start);
        }
        if let Some(known) = self.recorded(&start) {
            if known.born_ms.is_some() && known.sequence >= heartbeat.sequence {
                return NoticeEffect::Outdated;
            }
            let keeps_leaving = has_left || known.is_leaving();
            *known = Process::of_heartbeat(heartbeat);
            if keeps_leaving {
                known.state = AnnouncedState::Draining;
            }
            return NoticeEffect::Taken { new_process: false };
        }
        if self.is_outdated(&start, heartbeat.sequence) {
            return NoticeEffect::Outdated;
        }
        let mut process = Process::of_heartbeat(heartbeat);
        if has_left {
            process.state = AnnouncedState::Draining;
            if self.process.is_none() {
                return self.record(process);
            }
        }
        self.hear_candidate(process, now);
        let is_heard_long = self.candidate.as_ref().is_some_and(|candidate| {
            now.saturating_duration_since(candidate.first_heard) >= UNCONFIRMED_SPAN
        });
        if is_heard_long {
            self.record_candidate().unwrap_or(NoticeEffect::Unconfirmed)
        } else {
            NoticeEffect::Unconfirmed
        }
    }

    /// Marks a process as leaving: it receives no new work but may finish what it has. A leaving process never becomes
    /// ready again, so this holds whatever the order of notices.
    fn apply_leaving(
        &mut self,
        start: &ProcessStart,
        heartbeat: Option<&Heartbeat>,
        now: Instant,
    ) -> NoticeEffect {
        self.keep_leaving(start);
        if let Some(known) = self.recorded(start) {
            let was_leaving = known.is_leaving();
            known.born_ms = known.born_ms.or(start.born_ms);
            known.state = AnnouncedState::Draining;
            let is_later = heartbeat.is_some_and(|heartbeat| heartbeat.sequence > known.sequence);
            if let Some(heartbeat) = heartbeat.filter(|_| is_later) {
                (known.slots, known.sequence) = (heartbeat.slots, heartbeat.sequence);
            }
            self.candidate.take_if(|other| other.process.id == start.id);
            return if was_leaving && heartbeat.is_some() && !is_later {
                NoticeEffect::Outdated
            } else {
                NoticeEffect::Taken { new_process: false }
            };
        }
        let leaving = heartbeat.map(|heartbeat| Process {
            state: AnnouncedState::Draining,
            ..Process::of_heartbeat(heartbeat)
        });
        let Some(known) = &self.process else {
            self.candidate.take_if(|other| other.process.id == start.id);
            return leaving.map_or(NoticeEffect::Kept, |leaving| self.record(leaving));
        };
        if known.id == start.id {
            return self.suspend_recorded(start, leaving, now);
        }
        match leaving {
            Some(leaving) if !self.is_outdated(start, leaving.sequence) => {
                self.hear_candidate(leaving, now);
                NoticeEffect::Unconfirmed
            }
            _ => {
                self.candidate
                    .take_if(|other| other.process.start().may_be(start));
                NoticeEffect::Kept
            }
        }
    }

    /// Takes the recorded process for leaving because another one with its id leaves: requests for the two cannot be
    /// told apart. A health check shows whether the recorded process is the one that runs.
    fn suspend_recorded(
        &mut self,
        leaving: &ProcessStart,
        heartbeat: Option<Process>,
        now: Instant,
    ) -> NoticeEffect {
        self.candidate = None;
        let Some(recorded) = self.process.take_if(|known| !known.is_leaving()) else {
            return NoticeEffect::Kept;
        };
        self.process = Some(heartbeat.unwrap_or_else(|| Process {
            id: leaving.id.clone(),
            slots: recorded.slots,
            state: AnnouncedState::Draining,
            born_ms: leaving.born_ms,
            sequence: 0,
        }));
        self.hear_candidate(recorded, now);
        NoticeEffect::Taken { new_process: false }
    }

    /// The recorded process, if it may be the one that started so.
    fn recorded(&mut self, start: &ProcessStart) -> Option<&mut Process> {
        self.process
            .as_mut()
            .filter(|known| known.start().may_be(start))
    }

    /// Whether a heartbeat of a process that is not recorded has the number of an earlier one.
    fn is_outdated(&self, start: &ProcessStart, sequence: u64) -> bool {
        let candidate = self.candidate.iter();
        let heard = candidate.map(|known| (known.process.start(), known.process.sequence));
        let mut known = heard.chain(self.former.iter().cloned());
        known.any(|(known, last)| known == *start && last >= sequence)
    }

    fn hear_candidate(&mut self, process: Process, now: Instant) {
        let known = self.candidate.take();
        let first_heard = known
            .filter(|known| known.process.start() == process.start())
            .map_or(now, |known| known.first_heard);
        self.candidate = Some(Candidate {
            process,
            first_heard,
            last_heard: now,
        });
    }

    fn record_candidate(&mut self) -> Option<NoticeEffect> {
        let candidate = self.candidate.take()?;
        Some(self.record(candidate.process))
    }

    fn record(&mut self, process: Process) -> NoticeEffect {
        if let Some(replaced) = self.process.replace(process) {
            self.former.retain(|(start, _)| *start != replaced.start());
            self.former.push_back((replaced.start(), replaced.sequence));
            if self.former.len() > MAX_KEPT_PROCESSES {
                self.former.pop_front();
            }
        }
        NoticeEffect::Taken { new_process: true }
    }

    fn has_left(&self, start: &ProcessStart) -> bool {
        self.leavings.iter().any(|leaving| leaving.may_be(start))
    }

    /// Keeps that a process leaves. A notice may not state the start of the process; then that of the recorded one holds.
    fn keep_leaving(&mut self, start: &ProcessStart) {
        let known = self.recorded(start).and_then(|known| known.born_ms);
        let start = ProcessStart {
            id: start.id.clone(),
            born_ms: start.born_ms.or(known),
        };
        self.name_start_of_leaving(&start);
        if self.leavings.contains(&start) {
            return;
        }
        self.leavings.push_back(start);
        if self.leavings.len() > MAX_KEPT_PROCESSES {
            self.leavings.pop_front();
        }
    }

    /// Sets the start of a leaving process that was kept without one.
    fn name_start_of_leaving(&mut self, start: &ProcessStart) {
        let unnamed = self
            .leavings
            .iter_mut()
            .find(|leaving| leaving.id == start.id && leaving.born_ms.is_none());
        if let Some(leaving) = unnamed {
            leaving.born_ms = start.born_ms;
        }
    }
}
