//! In-memory stand-in for the platform's object API, with resource versions, conditional updates and watches.

mod answer;
mod counts;
mod faults;
mod server;
mod service;
mod store;
mod watch;

pub use {
    counts::Counts,
    faults::{Faults, Outage},
    server::PlatformStandin,
    store::{MAX_VALUE_BYTES, StoredObject},
};
