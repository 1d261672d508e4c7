//! Measurements and bounded experiments with real processes on loopback.

use {jujubeline_lab::command::command, std::process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    match command().run().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jujubeline-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
