//! Reads the executions that the targets recorded in their journal files.

use {
    serde::Serialize,
    std::{collections::HashMap, fs, io, path::Path},
};

/// One execution of a request at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct JournalLine {
    /// Time at which the target recorded the execution, in milliseconds since the Unix epoch.
    pub(super) at_ms: u64,
    /// Idempotency key, or the path of a request without one.
    pub(super) key: String,
    /// Name of the target's instance.
    pub(super) instance: String,
}

/// Executions at all targets of a run.
#[derive(Debug, Default)]
pub(super) struct Journal {
    pub(super) lines: Vec<JournalLine>,
}

impl Journal {
    /// Adds the journal file of an instance. The file does not exist if its target was never started. Malformed
    /// lines are skipped.
    pub(super) fn read(&mut self, instance: &str, path: &Path) -> io::Result<()> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
            Err(error) => return Err(error),
        };
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        self.lines.extend(lines.filter_map(|(at_ms, key)| {
            Some(JournalLine {
                at_ms: at_ms.parse().ok()?,
                key: key.to_owned(),
                instance: instance.to_owned(),
            })
        }));
        Ok(())
    }

    /// Number of executions of each key.
    pub(super) fn by_key(&self) -> HashMap<&str, u64> {
        let mut counts = HashMap::new();
        for line in &self.lines {
            *counts.entry(line.key.as_str()).or_insert(0) += 1;
        }
        counts
    }
}
