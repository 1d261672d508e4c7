//! The cases by the names of their folders.

mod silent_store;
mod stop_pipelined;
mod stop_slow_readers;

use {crate::record::Record, std::io};

/// Runs a case with or without its disruption, and returns what broke the rule.
pub type Case = fn(bool, &Record) -> io::Result<Vec<String>>;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "6" => Some(stop_pipelined::run),
        "7" => Some(silent_store::run),
        "8" => Some(stop_slow_readers::run),
        _ => None,
    }
}
