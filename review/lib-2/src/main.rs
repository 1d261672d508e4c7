//! Cases of the second review that cannot be put as a day of the bench. The only argument is the folder of the case.
//!
//! Exit codes: 1 when the rule was broken, 0 when it held, 2 when the case could not run.

mod cases;
mod deployment;
mod http;
mod json;
mod node;
mod proxy;
mod record;
mod server;
mod small_window;
mod store;

use {
    record::Record,
    std::{
        env,
        panic::{AssertUnwindSafe, catch_unwind},
        path::PathBuf,
        process::ExitCode,
        thread,
        time::Duration,
    },
};

/// Time after which a run ends as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(105);

fn main() -> ExitCode {
    let Some(folder) = env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: review-cases-2 FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("trouble: {has_trouble}"));
    let name = folder.file_name().unwrap_or_default().to_string_lossy();
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        // The nodes end with this process.
        std::process::exit(2);
    });
    let result = match cases::find(&name) {
        Some(case) => catch_unwind(AssertUnwindSafe(|| case(has_trouble, &record)))
            .unwrap_or_else(|_| Err(std::io::Error::other("the case panicked"))),
        None => Err(std::io::Error::other(format!("no case {name}"))),
    };
    match result {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN: {line}"));
                println!("broken: {line}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
