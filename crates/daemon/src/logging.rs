//! Logging: text lines on standard error, and the same state changes as JSON lines on standard output.

use {
    jujubeline_node::decisions::{DecisionLog, StateChange},
    log::{Log, Metadata, Record},
    simplelog::{
        ColorChoice, CombinedLogger, Config, ConfigBuilder, LevelFilter, SharedLogger, TermLogger,
        TerminalMode,
    },
    std::{sync::Arc, time::Instant},
};

/// Log level. It is fixed because only state changes are logged.
const LEVEL: LevelFilter = LevelFilter::Info;

/// Maximum number of JSON lines about state changes per second. A node that joins 5,000 others logs a line for each of
/// them; lines over the limit are dropped, and the next line states how many.
const MAX_STATE_LINES_PER_S: u32 = 500;

/// Logger that writes state changes of this process as JSON lines to standard output.
#[derive(Debug, Clone)]
pub struct StateLog {
    lines: Arc<DecisionLog>,
}

impl StateLog {
    /// Installs the loggers of the process. With `json`, state changes are also written to standard output as JSON
    /// lines.
    pub fn start(json: bool) -> Self {
        let lines_per_s = if json { MAX_STATE_LINES_PER_S } else { 0 };
        let log = Self {
            lines: Arc::new(DecisionLog::new(lines_per_s, Instant::now())),
        };
        let config = ConfigBuilder::new().set_time_format_rfc3339().build();
        let text = TermLogger::new(LEVEL, config, TerminalMode::Stderr, ColorChoice::Never);
        // Fails if a logger is already installed in this process; that logger then stays in effect.
        let _ = CombinedLogger::init(vec![text, Box::new(log.clone())]);
        log
    }

    /// Writes a line of level `ERROR` that explains why the process exits with a failure.
    pub fn record_failure(&self, explanation: &str) {
        self.write("ERROR", module_path!(), explanation);
    }

    /// Flushes the queued lines and stops the writer.
    pub fn stop(&self) {
        self.lines.stop();
    }

    fn write(&self, level: &str, source: &str, change: &str) {
        let change = StateChange {
            level,
            source,
            change,
        };
        self.lines.record_state(&change, Instant::now());
    }
}

impl Log for StateLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= LEVEL
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let change = record.args().to_string();
            self.write(record.level().as_str(), record.target(), &change);
        }
    }

    fn flush(&self) {}
}

impl SharedLogger for StateLog {
    fn level(&self) -> LevelFilter {
        LEVEL
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        Box::new(*self)
    }
}
