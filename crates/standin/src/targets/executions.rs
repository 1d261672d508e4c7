//! Counters and journal of the executions of a target.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fs::{File, OpenOptions},
        io::{self, Write},
        path::Path,
        sync::{Mutex, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Maximum number of keys that are counted separately; executions of further keys only add to the total.
const MAX_KEYS: usize = 1_000_000;

/// Execution counters of a target. Served as JSON at `/standin/executions`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions by idempotency key, or by path without the query for requests that have no key.
    pub by_key: BTreeMap<String, u64>,
    /// Executions that were started, over all keys.
    pub total: u64,
    /// Executions that were cancelled before their end.
    pub cancelled: u64,
    /// Requests that were shed and not executed.
    pub shed: u64,
    /// Executions in progress.
    pub running: u64,
    /// Highest number of executions in progress at once.
    pub most_running: u64,
}

/// Execution counters of one target, shared by its connections, and the journal.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    counts: Mutex<Executions>,
    journal: Option<File>,
}

impl ExecutionLog {
    /// Creates an empty log. If a journal is given, each execution appends a line to it: time in milliseconds since the
    /// Unix epoch and key.
    ///
    /// # Errors
    ///
    /// When the journal cannot be opened.
    pub fn open(journal: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self {
            counts: Mutex::default(),
            journal: journal.map(open).transpose()?,
        })
    }

    /// Returns a copy of the counters.
    pub fn snapshot(&self) -> Executions {
        self.with(|counts| counts.clone())
    }

    /// Counts a request that was shed.
    pub fn shed(&self) {
        self.with(|counts| counts.shed += 1);
    }

    /// Starts an execution. It counts as cancelled if the guard is dropped before [`Execution::finish`].
    pub fn start(&self, key: &str) -> Execution<'_> {
        if let Some(mut journal) = self.journal.as_ref() {
            let at = SystemTime::now().duration_since(UNIX_EPOCH);
            // A single write, so that lines of several targets do not interleave. It must not fail: a lost line would
            // hide an execution.
            journal
                .write_all(format!("{} {key}\n", at.unwrap_or_default().as_millis()).as_bytes())
                .expect("the journal can be written");
        }
        self.with(|counts| {
            counts.total += 1;
            counts.running += 1;
            counts.most_running = counts.most_running.max(counts.running);
            if counts.by_key.len() < MAX_KEYS || counts.by_key.contains_key(key) {
                *counts.by_key.entry(key.to_owned()).or_default() += 1;
            }
        });
        Execution {
            log: self,
            finished: false,
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Executions) -> T) -> T {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// An execution in progress.
#[derive(Debug)]
pub struct Execution<'a> {
    log: &'a ExecutionLog,
    finished: bool,
}

impl Execution<'_> {
    /// Marks the execution as completed, so that it does not count as cancelled.
    pub fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        self.log.with(|counts| {
            counts.running -= 1;
            if !self.finished {
                counts.cancelled += 1;
            }
        });
    }
}
