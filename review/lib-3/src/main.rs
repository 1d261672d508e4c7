//! Stand-ins and drivers for the scripts of the third review.

mod endless;
mod fleet;
mod http;
mod late_suspect;
mod record;
mod server;
mod stalled_log;
mod store;

use {
    record::Record,
    std::{env, process, process::ExitCode, thread, time::Duration},
};

/// Longest time of a case. The script then ends the processes that are left.
const TIME_LIMIT: Duration = Duration::from_secs(105);

/// Result of a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What a case gets from its script.
#[derive(Clone)]
pub struct Case {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Temporary folder for logs.
    pub logs: String,
}

fn main() -> ExitCode {
    // The driver ends with its script, and the nodes with the driver.
    let _ = fleet::end_with_parent();
    let arguments: Vec<String> = env::args().collect();
    let [_, name, record, logs] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD LOGS");
        return ExitCode::from(2);
    };
    let case = Case {
        record: Record::create(record),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        logs: logs.clone(),
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        process::exit(2);
    });
    let verdict = match name.as_str() {
        "endless" => endless::run(&case),
        "late-suspect" => late_suspect::run(&case),
        "stalled-log" => stalled_log::run(&case),
        _ => Verdict::NotRun,
    };
    let (code, word) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    case.record.line(word);
    println!("{word}");
    ExitCode::from(code)
}
