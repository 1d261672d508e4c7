//! Load generation with bounded rate, connections and time.

mod call;
mod generator;
mod summary;

pub use {
    call::{Call, Connection, Reply},
    generator::{LoadPlan, run},
    summary::{Latencies, LoadSummary},
};
