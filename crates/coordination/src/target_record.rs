//! What the node beside a target knows about the target's process.

use {
    jujubeline_core::{AnnouncedState, Heartbeat, ProcessId, ServiceName, TargetNotice},
    std::net::SocketAddr,
};

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
    born_ms: u64,
    sequence: u64,
}

/// The last known process of a target.
///
/// Notices can be delayed by a partition and arrive after their sender has ended and another process has started at the
/// same address, so the start of the process and the number of the notice decide, not the order of arrival.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetRecord {
    process: Option<Process>,
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
            known.born_ms == heartbeat.born_ms && known.id == heartbeat.process
        });
        let is_outdated = known.is_some_and(|known| {
            known.born_ms > heartbeat.born_ms || (is_known && known.sequence >= heartbeat.sequence)
        });
        if is_outdated {
            return Noted::Outdated;
        }
        let keeps_draining =
            is_known && known.is_some_and(|known| known.state == AnnouncedState::Draining);
        self.process = Some(Process {
            id: heartbeat.process.clone(),
            slots: heartbeat.slots,
            state: if keeps_draining {
                AnnouncedState::Draining
            } else {
                heartbeat.state
            },
            born_ms: heartbeat.born_ms,
            sequence: heartbeat.sequence,
        });
        Noted::Taken {
            new_process: !is_known,
        }
    }

    /// A process that leaves gets no new work but may finish what it has.
    fn note_leave(&mut self, process: &ProcessId, born_ms: Option<u64>) -> Noted {
        let Some(known) = &mut self.process else {
            return Noted::Outdated;
        };
        let is_other = born_ms.is_some_and(|born_ms| born_ms != known.born_ms);
        if known.id != *process || is_other {
            return Noted::Outdated;
        }
        known.state = AnnouncedState::Draining;
        Noted::Taken { new_process: false }
    }
}
