//! Log lines: text on standard error, and the same changes of state as JSON lines on standard output.

use {
    jujubeline_node::decisions::{DecisionLog, StateChange},
    log::{Log, Metadata, Record},
    simplelog::{
        ColorChoice, CombinedLogger, Config, ConfigBuilder, LevelFilter, SharedLogger, TermLogger,
        TerminalMode,
    },
    std::{sync::Arc, time::Instant},
};

/// Only changes of state are logged, so the level is fixed.
const LEVEL: LevelFilter = LevelFilter::Info;

/// JSON lines about changes of state in a second. A node that joins 5,000 others logs a line for each; the lines beyond
/// this are counted in the next one.
const MAX_STATE_LINES_PER_S: u32 = 500;

/// The JSON lines of this process about itself.
#[derive(Debug, Clone)]
pub struct StateLog {
    lines: Arc<DecisionLog>,
}

impl StateLog {
    /// Starts logging. With `json`, each change of state is written to standard output as well.
    pub fn start(json: bool) -> Self {
        let lines_per_s = if json { MAX_STATE_LINES_PER_S } else { 0 };
        let log = Self {
            lines: Arc::new(DecisionLog::new(lines_per_s, Instant::now())),
        };
        let config = ConfigBuilder::new().set_time_format_rfc3339().build();
        let text = TermLogger::new(LEVEL, config, TerminalMode::Stderr, ColorChoice::Never);
        // A second logger in the same process is refused, and the first one stays in effect.
        let _ = CombinedLogger::init(vec![text, Box::new(log.clone())]);
        log
    }

    /// Writes that the process ends with an error.
    pub fn failed(&self, why: &str) {
        self.write("ERROR", module_path!(), why);
    }

    /// Writes the lines that wait.
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
