//! Content of a line of the decision log about the process itself.

use serde::Serialize;

/// A change in the state of the process or of its view of the system: start, stop, reload, a dependency, a member, the
/// catalogue.
#[derive(Debug, Serialize)]
pub struct StateChange<'a> {
    /// Severity: `INFO`, `WARN` or `ERROR`.
    pub level: &'a str,
    /// Path of the module that logged the change.
    pub source: &'a str,
    /// Message that describes the change.
    pub change: &'a str,
}
