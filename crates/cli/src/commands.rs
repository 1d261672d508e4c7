//! Table of all commands, from which the parser, the help texts and the dispatch are built.

use {
    crate::{
        CliError,
        apply::{self, ApplyOptions},
        catalogue_file, change_text,
        context::Context,
        operators,
        settings::{self, UncheckedSettings},
    },
    bpaf::{Parser, ShellComp, choice, construct, long, positional, pure},
    error_stack::Report,
    jujubeline_core::Revision,
    std::{path::PathBuf, pin::Pin, time::Duration},
};

/// Default of `apply --resolve-s`, in seconds.
const DEFAULT_RESOLVE_S: u64 = 20;

/// Default of `apply --wait-s`, in seconds. It is above 11 s, the target for a change to be in effect everywhere.
const DEFAULT_WAIT_S: u64 = 15;

type CommandFuture = Pin<Box<dyn Future<Output = Result<(), Report<CliError>>>>>;
type Action = Box<dyn FnOnce(Context) -> CommandFuture>;

/// A command of the tool, with its help text and its parser.
#[derive(Debug)]
pub struct Command {
    /// Group whose name precedes the command, such as `catalogue`; `None` for a top-level command.
    pub group: Option<&'static str>,
    /// Name of the command within its group.
    pub name: &'static str,
    /// Help text: one sentence that says what the command does.
    pub help: &'static str,
    arguments: fn() -> Box<dyn Parser<Action>>,
}

/// Name and help text of each group.
const GROUPS: [(&str, &str); 1] = [("catalogue", "Checks, reads and changes the catalogue")];

/// All commands, in the order in which the help lists them.
pub const COMMANDS: [Command; 7] = [
    Command {
        group: Some("catalogue"),
        name: "check",
        help: "Checks a catalogue file and lists every problem",
        arguments: check,
    },
    Command {
        group: Some("catalogue"),
        name: "get",
        help: "Prints the catalogue in effect as a file",
        arguments: get,
    },
    Command {
        group: Some("catalogue"),
        name: "diff",
        help: "Shows what `apply` would change",
        arguments: diff,
    },
    Command {
        group: Some("catalogue"),
        name: "apply",
        help: "Makes the catalogue equal to a file",
        arguments: apply,
    },
    Command {
        group: Some("catalogue"),
        name: "history",
        help: "Lists the changes that the platform stores",
        arguments: history,
    },
    Command {
        group: None,
        name: "status",
        help: "Shows the state of a node and its view of the members",
        arguments: status,
    },
    Command {
        group: None,
        name: "explain",
        help: "Shows how a node would route a request",
        arguments: explain,
    },
];

/// A parsed command line: the settings, and the command with its arguments.
pub(crate) struct Invocation {
    pub(crate) settings: UncheckedSettings,
    pub(crate) action: Action,
}

/// Parser of all commands in [`COMMANDS`].
pub(crate) fn parser() -> impl Parser<Invocation> {
    let grouped = GROUPS.iter().map(|(group, help)| {
        choice(in_group(Some(group)))
            .to_options()
            .descr(*help)
            .command(group)
            .help(*help)
            .boxed()
    });
    choice(grouped.chain(in_group(None)).collect::<Vec<_>>())
}

fn in_group(group: Option<&str>) -> Vec<Box<dyn Parser<Invocation>>> {
    COMMANDS
        .iter()
        .filter(|command| command.group == group)
        .map(command_parser)
        .collect()
}

fn command_parser(command: &'static Command) -> Box<dyn Parser<Invocation>> {
    let settings = settings::flags();
    let action = (command.arguments)();
    construct!(Invocation { settings, action })
        .to_options()
        .descr(command.help)
        .command(command.name)
        .help(command.help)
        .boxed()
}

fn action<F>(run: impl FnOnce(Context) -> F + 'static) -> Action
where
    F: Future<Output = Result<(), Report<CliError>>> + 'static,
{
    Box::new(|context| Box::pin(run(context)))
}

fn check() -> Box<dyn Parser<Action>> {
    file()
        .map(|file| action(|context| async move { catalogue_file::check(&context, &file) }))
        .boxed()
}

fn get() -> Box<dyn Parser<Action>> {
    pure(())
        .map(|()| action(|context| async move { catalogue_file::get(&context).await }))
        .boxed()
}

fn diff() -> Box<dyn Parser<Action>> {
    file()
        .map(|file| action(|context| async move { catalogue_file::diff(&context, &file).await }))
        .boxed()
}

fn apply() -> Box<dyn Parser<Action>> {
    let wait = long("wait")
        .help("Waits until every live member reports the revision")
        .switch();
    let wait_s = long("wait-s")
        .help("Longest time for --wait, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_WAIT_S)
        .display_fallback();
    let resolve_s = long("resolve-s")
        .help("Longest time to determine whether a change was accepted after an answer was lost, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_RESOLVE_S)
        .display_fallback();
    let author = long("author")
        .env("JUJUBELINE_AUTHOR")
        .help("Author recorded in the change; the login name by default")
        .argument::<String>("NAME")
        .fallback_with(|| Ok::<_, std::convert::Infallible>(login_name()));
    let based_on = long("based-on")
        .help(
            "Revision that the file is based on; it is a conflict if another revision is in effect",
        )
        .argument::<Revision>("REVISION")
        .optional();
    let file = file();
    construct!(wait, wait_s, resolve_s, author, based_on, file)
        .map(|(wait, wait_s, resolve_s, author, based_on, file)| {
            let options = ApplyOptions {
                author,
                based_on,
                resolve_timeout: Duration::from_secs(resolve_s),
            };
            let wait = wait.then(|| Duration::from_secs(wait_s));
            action(
                move |context| async move { apply::apply(&context, &file, &options, wait).await },
            )
        })
        .boxed()
}

fn history() -> Box<dyn Parser<Action>> {
    pure(())
        .map(|()| action(|context| async move { change_text::history(&context).await }))
        .boxed()
}

fn status() -> Box<dyn Parser<Action>> {
    pure(())
        .map(|()| action(|context| async move { operators::status(&context).await }))
        .boxed()
}

fn explain() -> Box<dyn Parser<Action>> {
    let method = positional::<String>("METHOD").help("HTTP method, such as GET");
    let path = positional::<String>("PATH").help("Path, such as /schedules/7");
    let host = long("host")
        .help("Host that the request names")
        .argument::<String>("HOST")
        .optional();
    let workspace = long("workspace")
        .help("Workspace to which the request belongs")
        .argument::<String>("NAME")
        .optional();
    construct!(host, workspace, method, path)
        .map(|(host, workspace, method, path)| {
            action(move |context| async move {
                let (host, workspace) = (host.as_deref(), workspace.as_deref());
                operators::explain(&context, &method, &path, host, workspace).await
            })
        })
        .boxed()
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE")
        .help("Catalogue file")
        .complete_shell(ShellComp::File {
            mask: Some("*.toml"),
        })
}

fn login_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}
