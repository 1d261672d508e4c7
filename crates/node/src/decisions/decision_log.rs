//! The decision log and its writer thread.

use {
    super::{Decision, LineBudget, StateChange},
    parking_lot::Mutex,
    serde::Serialize,
    std::{
        io::{self, Write},
        sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
        thread::{self, JoinHandle},
        time::Instant,
    },
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Capacity of the queue to the writer. When it is full, lines are dropped and counted.
const MAX_WAITING_LINES: usize = 1_024;

/// Writes decisions and state changes to standard output. A separate thread does the writing, so that a stalled reader
/// delays no request.
#[derive(Debug)]
pub struct DecisionLog {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: LineBudget,
    sender: Option<SyncSender<String>>,
    writer: Option<JoinHandle<()>>,
}

#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    time: String,
    /// Lines dropped since the preceding line.
    #[serde(skip_serializing_if = "is_zero")]
    dropped_lines: u64,
    #[serde(flatten)]
    event: &'a T,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl DecisionLog {
    /// Starts a log that writes at most `lines_per_s` lines per second; 0 turns it off.
    #[must_use]
    pub fn new(lines_per_s: u32, now: Instant) -> Self {
        let (sender, lines) = sync_channel(MAX_WAITING_LINES);
        let writer = (lines_per_s > 0).then(|| {
            let builder = thread::Builder::new().name("decisions".to_owned());
            builder.spawn(move || write(&lines)).ok()
        });
        let writer = writer.flatten();
        Self {
            state: Mutex::new(State {
                budget: LineBudget::new(lines_per_s, now),
                sender: writer.is_some().then_some(sender),
                writer,
            }),
        }
    }

    /// Logs a decision. The line is dropped and counted beyond the limit of lines per second.
    pub fn record(&self, decision: &Decision<'_>, now: Instant) {
        self.write(decision, now);
    }

    /// Logs a state change. The line is dropped and counted beyond the limit of lines per second.
    pub fn record_state(&self, change: &StateChange<'_>, now: Instant) {
        self.write(change, now);
    }

    fn write<T: Serialize>(&self, event: &T, now: Instant) {
        let mut state = self.state.lock();
        let State { budget, sender, .. } = &mut *state;
        let Some(sender) = sender else {
            return;
        };
        if !budget.take(now) {
            return;
        }
        let dropped_lines = budget.take_dropped();
        let line = Line {
            time: OffsetDateTime::now_utc()
                .format(&Rfc3339)
                .unwrap_or_default(),
            dropped_lines,
            event,
        };
        let Ok(mut text) = serde_json::to_string(&line) else {
            budget.record_unwritten();
            return;
        };
        text.push('\n');
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = sender.try_send(text) {
            for _ in 0..=dropped_lines {
                budget.record_unwritten();
            }
        }
    }

    /// Writes the queued lines and joins the writer thread. Later lines are discarded.
    pub fn stop(&self) {
        let writer = {
            let mut state = self.state.lock();
            state.sender = None;
            state.writer.take()
        };
        // The writer handles its own errors, so it ends without a panic.
        let _ = writer.map(JoinHandle::join);
    }
}

/// Writes lines until the log stops. Write errors are ignored, because a failing log must not stop the node.
fn write(lines: &Receiver<String>) {
    let mut output = io::stdout();
    while let Ok(line) = lines.recv() {
        let _ = output.write_all(line.as_bytes());
        for line in lines.try_iter() {
            let _ = output.write_all(line.as_bytes());
        }
        let _ = output.flush();
    }
}
