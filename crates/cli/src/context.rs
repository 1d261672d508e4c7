//! Context of a command: its settings, its output and its clients.

use {
    crate::{
        CatalogueLog, CliError,
        operators::NodeClient,
        settings::{Output, UncheckedSettings},
    },
    error_stack::Report,
    jujubeline_core::{Peer, Step},
    jujubeline_platform::{PlatformClient, PlatformSettings},
    serde_json::Value,
    std::{io::Write, time::Duration},
};

/// Call budget of one run of the tool: the burst covers a list, a snapshot and the removal of old changes.
const CALLS_PER_S: u32 = 50;
const BURST: u32 = 300;

/// An operator waits for the tool, so its backoff is shorter than that of a node.
const BACK_OFF_CAP: Duration = Duration::from_secs(1);

/// Settings of a command, with the output format already checked.
#[derive(Debug)]
pub(crate) struct Context {
    settings: UncheckedSettings,
    output: Output,
}

impl Context {
    pub(crate) fn new(settings: UncheckedSettings) -> Result<Self, Report<CliError>> {
        let output = settings.output()?;
        Ok(Self { settings, output })
    }

    /// Returns the log of catalogue changes at the configured platform address.
    pub(crate) fn log(&self) -> Result<CatalogueLog, Report<CliError>> {
        let address = self.settings.platform()?;
        let settings = PlatformSettings {
            calls_per_s: CALLS_PER_S,
            burst: BURST,
            back_off_cap: BACK_OFF_CAP,
            ..PlatformSettings::new(address)
        };
        Ok(CatalogueLog::new(PlatformClient::new(settings)))
    }

    /// Returns a client of the node at the configured operators' address.
    pub(crate) fn node(&self) -> Result<NodeClient, Report<CliError>> {
        Ok(NodeClient::new(self.settings.operators()?))
    }

    pub(crate) const fn wants_json(&self) -> bool {
        matches!(self.output, Output::Json)
    }

    /// Writes the result to standard output in the chosen format.
    pub(crate) fn print(&self, text: &str, json: &Value) -> Result<(), Report<CliError>> {
        let mut out = std::io::stdout().lock();
        let written = match self.output {
            Output::Text if text.is_empty() || text.ends_with('\n') => write!(out, "{text}"),
            Output::Text => writeln!(out, "{text}"),
            Output::Json => writeln!(out, "{json}"),
        };
        written
            .and_then(|()| out.flush())
            .map_err(|error| CliError::Failed.at(Step::Forward, Peer::Local, error.to_string()))
    }
}
