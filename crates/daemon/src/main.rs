//! The daemon; one runs beside each target instance.

mod dev;
mod error;
mod logging;
mod options;
mod run;
mod settings;

use {logging::StateLog, mimalloc::MiMalloc, options::Command, std::process::ExitCode};

/// Returns unused memory to the system. The allocator of the C library kept the peak of each load for good.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

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
