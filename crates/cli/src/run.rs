//! Parses the command line and runs the command.

use {
    crate::{
        CliError, EXIT_CODES,
        commands::{self, Invocation},
        context::Context,
        error::one_line,
        settings,
    },
    bpaf::{Args, Doc, OptionParser, ParseFailure, Parser, construct},
    error_stack::Report,
    jujubeline_core::{Peer, Step},
    std::process::ExitCode,
};

const HELP_WIDTH: usize = 100;

/// Runs the tool with the arguments of this process and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let invocation = match parser().run_inner(Args::current_args()) {
        Ok(invocation) => invocation,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => CliError::Usage.exit_code().into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match execute(invocation) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("jujubeline: {}", one_line(&report));
            report.current_context().exit_code().into()
        }
    }
}

fn parser() -> OptionParser<Invocation> {
    let before = settings::flags();
    let command = commands::parser();
    construct!(before, command)
        .map(|(before, invocation): (_, Invocation)| Invocation {
            settings: invocation.settings.or(before),
            ..invocation
        })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates jujubeline, the overload control layer for service call graphs.")
        .footer(footer())
}

fn footer() -> Doc {
    let mut footer = Doc::default();
    footer.text("Exit codes:");
    for (code, meaning) in EXIT_CODES {
        footer.text(&format!("\n  {code}  {meaning}"));
    }
    footer
}

fn execute(invocation: Invocation) -> Result<(), Report<CliError>> {
    let context = Context::new(invocation.settings.or(settings::environment()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed.at(Step::Settings, Peer::Local, error.to_string()))?;
    runtime.block_on((invocation.action)(context))
}
