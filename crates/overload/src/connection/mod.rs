//! Detection of stalled connections.

mod connection_watch;

pub use connection_watch::{ConnectionWatch, ProbeKind, WatchAction};
