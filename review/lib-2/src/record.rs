//! The record of a run: what was sent, answered and run.

use std::{
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
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            shared: Arc::new((Instant::now(), Mutex::new(file))),
        })
    }

    pub fn line(&self, text: &str) {
        let (started, file) = &*self.shared;
        let seconds = started.elapsed().as_secs_f64();
        // The record is evidence only; a full disk must not change the verdict.
        let _ = writeln!(file.lock().unwrap(), "{seconds:8.3} s  {text}");
    }
}
