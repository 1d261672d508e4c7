//! Settings from flags and environment variables.

use {
    crate::CliError,
    bpaf::{Parser, construct, long},
    error_stack::Report,
    jujubeline_core::{Peer, Step},
    std::net::SocketAddr,
};

const PLATFORM: (&str, &str) = ("platform-address", "JUJUBELINE_PLATFORM_ADDRESS");
const OPERATORS: (&str, &str) = ("operators-address", "JUJUBELINE_OPERATORS_ADDRESS");
const OUTPUT: (&str, &str) = ("output", "JUJUBELINE_OUTPUT");

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Output {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON value on a line.
    Json,
}

/// Settings as texts from the flags or the environment; each is checked when it is used.
#[derive(Debug, Clone, Default)]
pub(crate) struct UncheckedSettings {
    platform: Option<String>,
    operators: Option<String>,
    output: Option<String>,
}

impl UncheckedSettings {
    /// Takes each missing setting from `other`.
    pub(crate) fn or(self, other: Self) -> Self {
        Self {
            platform: self.platform.or(other.platform),
            operators: self.operators.or(other.operators),
            output: self.output.or(other.output),
        }
    }

    pub(crate) fn platform(&self) -> Result<SocketAddr, Report<CliError>> {
        address(PLATFORM, self.platform.as_deref())
    }

    pub(crate) fn operators(&self) -> Result<SocketAddr, Report<CliError>> {
        address(OPERATORS, self.operators.as_deref())
    }

    pub(crate) fn output(&self) -> Result<Output, Report<CliError>> {
        match self.output.as_deref() {
            None | Some("text") => Ok(Output::Text),
            Some("json") => Ok(Output::Json),
            Some(other) => Err(usage_error(
                OUTPUT,
                &format!("{other:?} is neither text nor json"),
            )),
        }
    }
}

/// Parser of the flags, which may stand before or after a command. Those after the command take precedence.
pub(crate) fn flags() -> impl Parser<UncheckedSettings> {
    let platform = long(PLATFORM.0)
        .help("Address of the platform's object API; also JUJUBELINE_PLATFORM_ADDRESS")
        .argument::<String>("ADDRESS")
        .optional();
    let operators = long(OPERATORS.0)
        .help("Operators' address of a node; also JUJUBELINE_OPERATORS_ADDRESS")
        .argument::<String>("ADDRESS")
        .optional();
    let output = long(OUTPUT.0)
        .help("Output format, text or json; also JUJUBELINE_OUTPUT")
        .argument::<String>("FORM")
        .complete(|given: &String| output_formats(given))
        .optional();
    construct!(UncheckedSettings {
        platform,
        operators,
        output
    })
}

/// Settings from environment variables, which apply where no flag is given.
pub(crate) fn environment() -> UncheckedSettings {
    let read = |(_, variable): (&str, &str)| std::env::var(variable).ok();
    UncheckedSettings {
        platform: read(PLATFORM),
        operators: read(OPERATORS),
        output: read(OUTPUT),
    }
}

fn output_formats(given: &str) -> Vec<(&'static str, Option<&'static str>)> {
    ["text", "json"]
        .into_iter()
        .filter(|form| form.starts_with(given))
        .map(|form| (form, None))
        .collect()
}

fn address(setting: (&str, &str), given: Option<&str>) -> Result<SocketAddr, Report<CliError>> {
    let Some(text) = given else {
        return Err(usage_error(setting, "is not given"));
    };
    text.parse().map_err(|_| {
        usage_error(
            setting,
            &format!("{text:?} is not an IP address with a port"),
        )
    })
}

fn usage_error((flag, variable): (&str, &str), detail: &str) -> Report<CliError> {
    let peer = Peer::Setting(format!("--{flag} ({variable})"));
    CliError::Usage.at(Step::Settings, peer, detail)
}
