//! The operators' command-line tool: its commands, the log of catalogue changes and the requests to nodes.

mod apply;
mod catalogue_file;
mod change_text;
mod commands;
mod context;
mod error;
mod log;
mod operators;
mod run;
mod settings;
mod snapshot;
mod wait;

pub use {
    apply::{Accepted, ApplyOptions, Rejected, append},
    commands::{COMMANDS, Command},
    error::{CliError, EXIT_CODES},
    log::{CatalogueLog, LogContents},
    run::run,
    snapshot::maintain,
};
