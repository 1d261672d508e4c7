//! What a line about the process itself says.

use serde::Serialize;

/// A change of the process's state or of what it believes: start, stop, reload, a dependency, a member, the catalogue.
#[derive(Debug, Serialize)]
pub struct StateChange<'a> {
    /// `INFO`, `WARN` or `ERROR`.
    pub level: &'a str,
    /// Module that noticed the change.
    pub source: &'a str,
    /// The change, with its inputs.
    pub change: &'a str,
}
