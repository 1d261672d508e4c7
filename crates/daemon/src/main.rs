//! The daemon; one runs beside each target instance.

mod dev;
mod error;
mod logging;
mod options;
mod run;
mod settings;

use {logging::StateLog, options::Command, std::process::ExitCode, tikv_jemallocator::Jemalloc};

/// Returns memory to the system when a peak of load is over; the allocator of the C library kept it for good. Its options
/// stand in `.cargo/config.toml`.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

fn main() -> ExitCode {
    let command = options::command().run();
    let log = StateLog::start(matches!(command, Command::Run(_)));
    let result = match command {
        Command::Run(run) => run::run(&run),
        Command::Dev(dev) => dev::run(&dev),
    };
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let explanation = format!("{report:#}");
            eprintln!("jujubelined: {explanation}");
            log.record_failure(&explanation);
            ExitCode::FAILURE
        }
    };
    log.stop();
    code
}
