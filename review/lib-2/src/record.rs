//! The record of a run: what was sent, answered and run.

use std::{
    collections::HashSet,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start of the run to `record.txt`.
#[derive(Debug, Clone)]
pub struct Record {
    shared: Arc<(Instant, Mutex<File>)>,
    /// Attempts whose whole answer a server has written.
    answered: Arc<Mutex<HashSet<String>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            shared: Arc::new((Instant::now(), Mutex::new(file))),
            answered: Arc::default(),
        })
    }

    /// Notes that a server has written its whole answer to an attempt.
    pub fn note_answered(&self, attempt: &str) {
        self.answered.lock().unwrap().insert(attempt.to_owned());
    }

    pub fn is_answered(&self, attempt: &str) -> bool {
        self.answered.lock().unwrap().contains(attempt)
    }

    pub fn line(&self, text: &str) {
        let (started, file) = &*self.shared;
        let seconds = started.elapsed().as_secs_f64();
        // The record is evidence only; a full disk must not change the verdict.
        let _ = writeln!(file.lock().unwrap(), "{seconds:8.3} s  {text}");
    }
}
