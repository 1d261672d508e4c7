//! Measurements and bounded experiments with real processes on loopback.

pub mod capacity;
pub mod command;
pub mod deployment;
pub mod experiment;
pub mod load;
pub mod overhead;
pub mod process;
pub mod soak;
