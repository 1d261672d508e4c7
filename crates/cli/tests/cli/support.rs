//! Runs the tool as a process, against a stand-in of the platform in the test process.

use {
    jujubeline_catalogue::{Change, Edit, Entry, LoggedChange},
    jujubeline_cli::{ApplyOptions, CatalogueLog, LogContents},
    jujubeline_platform::{Kind, PlatformClient, PlatformSettings},
    jujubeline_standin::platform::{Faults, PlatformStandin},
    std::{fmt::Write, net::SocketAddr, path::PathBuf, process::Stdio, time::Duration},
    tempfile::TempDir,
    tokio::process::Command,
};

pub struct Fixture {
    pub platform: PlatformStandin,
    directory: TempDir,
}

/// Exit code, standard output and standard error of one run of the tool.
pub struct RunResult {
    pub code: Option<i32>,
    pub out: String,
    pub error: String,
}

impl Fixture {
    pub async fn start() -> Self {
        Self {
            platform: PlatformStandin::start_local().await.expect("a free port"),
            directory: TempDir::new().expect("a directory"),
        }
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }

    /// Writes a catalogue file with entries of these names and deadlines in milliseconds.
    pub fn catalogue(&self, entries: &[(&str, u64)]) -> String {
        let (mut text, mut file) = (String::new(), String::new());
        for (name, deadline_ms) in entries {
            let _ = write!(
                text,
                "[[entry]]\nname = \"{name}\"\nowner = \"dispatch\"\nmethod = \"GET\"\n\
                 path_prefix = \"/{name}/\"\nservice = \"schedules\"\nclass = \"normal\"\n\
                 deadline_ms = {deadline_ms}\nretry_bound = 3\nconcurrency = 80\n"
            );
            let _ = write!(file, "{name}{deadline_ms}");
        }
        self.file(&format!("{file}.toml"), &text)
    }

    pub async fn run(&self, arguments: &[&str]) -> RunResult {
        run(Some(self.platform.address()), arguments).await
    }

    pub fn faults(&self, faults: Faults) {
        self.platform.set_faults(faults);
    }

    pub fn log(&self) -> CatalogueLog {
        CatalogueLog::new(client(self.platform.address()))
    }

    /// Changes stored at the platform, read directly so that no injected fault applies.
    pub fn changes(&self) -> Vec<Change> {
        let objects = self.platform.objects(Kind::CatalogueChanges.label());
        objects
            .iter()
            .filter_map(|object| LoggedChange::read(&object.name, &object.value))
            .map(|logged| logged.change.expect("a valid change"))
            .collect()
    }
}

pub async fn run(platform: Option<SocketAddr>, arguments: &[&str]) -> RunResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubeline"));
    command
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true);
    command
        .env_remove("JUJUBELINE_OPERATORS_ADDRESS")
        .env_remove("JUJUBELINE_OUTPUT");
    match platform {
        Some(address) => command.env("JUJUBELINE_PLATFORM_ADDRESS", address.to_string()),
        None => command.env_remove("JUJUBELINE_PLATFORM_ADDRESS"),
    };
    let output = command.output().await.expect("the tool runs");
    RunResult {
        code: output.status.code(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        error: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

pub fn client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(PlatformSettings {
        calls_per_s: 100_000,
        burst: 100_000,
        back_off_base: Duration::from_millis(1),
        back_off_cap: Duration::from_millis(4),
        ..PlatformSettings::new(address)
    })
}

pub fn options(author: &str) -> ApplyOptions {
    ApplyOptions {
        author: author.to_owned(),
        based_on: None,
        resolve_timeout: Duration::from_secs(20),
    }
}

/// Sets entry `name`. Edits with different deadlines differ.
pub fn edit(name: &str, deadline_ms: u64) -> Vec<Edit> {
    let json = serde_json::json!({
        "name": name, "owner": "dispatch", "method": "GET", "path_prefix": format!("/{name}/"),
        "service": "schedules", "class": "normal", "deadline_ms": deadline_ms, "retry_bound": 3,
        "concurrency": 80,
    });
    vec![Edit::Set(
        serde_json::from_value::<Entry>(json).expect("an entry"),
    )]
}

/// Reads the log, appends one change and maintains the log, as `catalogue apply` does. Returns `None` after a conflict.
pub async fn append_one(log: &CatalogueLog, author: &str, number: u64) -> Option<Change> {
    let contents: LogContents = log.read().await.expect("a log");
    let appended =
        jujubeline_cli::append(log, &contents, edit("a", number), &options(author)).await;
    let accepted = match appended {
        Ok(accepted) => accepted,
        Err(rejected) => {
            let error = *rejected.report.current_context();
            assert_eq!(
                error,
                jujubeline_cli::CliError::Conflict,
                "{:?}",
                rejected.report
            );
            return None;
        }
    };
    jujubeline_cli::maintain(log, &contents, &accepted.state)
        .await
        .expect("maintained");
    Some(accepted.change)
}
