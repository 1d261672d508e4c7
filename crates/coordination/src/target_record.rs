//! What the node beside a target knows about the target's process.

use {
    jujubeline_core::{AnnouncedState, Heartbeat, ProcessId, ServiceName, TargetNotice},
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Leavings of processes without a heartbeat that are remembered. A node that has just started meets one as a rule; more
/// come only where processes start and leave within a heartbeat.
const MAX_LEFT: usize = 8;

/// The target that belongs to a node, from the node's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnTarget {
    /// Service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// It is taken over. `new_process` tells whether it comes from a process that was not known.
    Taken {
        /// Whether the process replaces another one.
        new_process: bool,
    },
    /// It was delayed: a later notice or a later process is known.
    Outdated,
    /// It names another service or address than the target beside this node.
    Foreign,
}

/// State of the target's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// Id of the process.
    pub id: ProcessId,
    /// Requests that it can run together.
    pub slots: u32,
    /// Its state. A process that has begun to drain stays so.
    pub state: AnnouncedState,
    /// Start of the process; unknown until its first heartbeat if the process answered a question before.
    born_ms: Option<u64>,
    sequence: u64,
}

/// The last known process of a target.
///
/// Notices can be delayed by a partition and arrive after their sender has ended and another process has started at the
/// same address, so the start of the process and the number of the notice decide, not the order of arrival.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetRecord {
    process: Option<Process>,
    /// Processes that left before a heartbeat of them arrived. A heartbeat that was delayed may follow, also at a node
    /// that started after the heartbeats before.
    left: VecDeque<Left>,
}

/// A process that left before a heartbeat of it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Left {
    process: ProcessId,
    /// Start of the process; of the first process with this id that is heard, if the leaving did not state it.
    born_ms: Option<u64>,
}

impl TargetRecord {
    /// The process that may get work or still finishes some.
    #[must_use]
    pub const fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Takes over a notice.
    pub fn note(&mut self, notice: &TargetNotice, own: &OwnTarget) -> Noted {
        match notice {
            TargetNotice::Heartbeat(heartbeat) => self.note_heartbeat(heartbeat, own),
            TargetNotice::Leave { process, born_ms } => self.note_leave(process, *born_ms),
        }
    }

    fn note_heartbeat(&mut self, heartbeat: &Heartbeat, own: &OwnTarget) -> Noted {
        if heartbeat.service != own.service || heartbeat.address != own.address {
            return Noted::Foreign;
        }
        let known = self.process.as_ref();
        let is_known = known.is_some_and(|known| {
            let is_same_start = known
                .born_ms
                .is_none_or(|born_ms| born_ms == heartbeat.born_ms);
            is_same_start && known.id == heartbeat.process
        });
        let is_outdated = known.is_some_and(|known| {
            let is_numbered = is_known && known.born_ms.is_some();
            known.born_ms > Some(heartbeat.born_ms)
                || (is_numbered && known.sequence >= heartbeat.sequence)
        });
        if is_outdated {
            return Noted::Outdated;
        }
        let is_draining =
            is_known && known.is_some_and(|known| known.state == AnnouncedState::Draining);
        let keeps_draining = is_draining || self.has_left(heartbeat);
        self.process = Some(Process {
            id: heartbeat.process.clone(),
            slots: heartbeat.slots,
            state: if keeps_draining {
                AnnouncedState::Draining
            } else {
                heartbeat.state
            },
            born_ms: Some(heartbeat.born_ms),
            sequence: heartbeat.sequence,
        });
        Noted::Taken {
            new_process: !is_known,
        }
    }

    /// Takes over a process that answered that it is healthy, if none is known yet and it has not left. Returns whether it
    /// was taken over.
    pub fn note_answer(&mut self, process: &ProcessId, slots: u32) -> bool {
        let has_left = self.left.iter().any(|left| left.process == *process);
        if self.process.is_some() || has_left {
            return false;
        }
        self.process = Some(Process {
            id: process.clone(),
            slots,
            state: AnnouncedState::Ready(Duration::ZERO),
            born_ms: None,
            sequence: 0,
        });
        true
    }

    /// Whether the process of a heartbeat left before any heartbeat of it arrived.
    fn has_left(&mut self, heartbeat: &Heartbeat) -> bool {
        let mut same_id = self
            .left
            .iter_mut()
            .filter(|left| left.process == heartbeat.process);
        same_id.any(|left| *left.born_ms.get_or_insert(heartbeat.born_ms) == heartbeat.born_ms)
    }

    /// A process that leaves gets no new work but may finish what it has.
    fn note_leave(&mut self, process: &ProcessId, born_ms: Option<u64>) -> Noted {
        let known = self.process.as_mut().filter(|known| {
            let is_same_start = match (born_ms, known.born_ms) {
                (Some(born_ms), Some(known_ms)) => born_ms == known_ms,
                (None, _) | (_, None) => true,
            };
            known.id == *process && is_same_start
        });
        let Some(known) = known else {
            self.left.push_back(Left {
                process: process.clone(),
                born_ms,
            });
            if self.left.len() > MAX_LEFT {
                self.left.pop_front();
            }
            return Noted::Outdated;
        };
        known.born_ms = known.born_ms.or(born_ms);
        known.state = AnnouncedState::Draining;
        Noted::Taken { new_process: false }
    }
}
