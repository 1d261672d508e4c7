//! Processor time and memory of a process.

use {procfs::process::Process, serde::Serialize, std::time::Duration};

/// Size of a memory page on the machines that the lab runs on.
const PAGE_BYTES: u64 = 4_096;

/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_S: u64 = 100;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Processor time in user and kernel mode since the start, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory now, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process from `/proc`; none when there is no such process.
    #[must_use]
    pub fn of(pid: i32) -> Option<Self> {
        let stat = Process::new(pid).ok()?.stat().ok()?;
        Some(Self {
            cpu_ms: (stat.utime + stat.stime) * 1_000 / TICKS_PER_S,
            resident_bytes: stat.rss * PAGE_BYTES,
        })
    }

    /// Processor time since an earlier reading of the same process.
    #[must_use]
    pub const fn cpu_since(&self, earlier: &Self) -> Duration {
        Duration::from_millis(self.cpu_ms.saturating_sub(earlier.cpu_ms))
    }
}
