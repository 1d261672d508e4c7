//! Child processes. Some of them print the addresses that they listen on as their first line of output.

use {
    super::Usage,
    derive_more::{Display, Error},
    rustix::process::{Pid, Signal, kill_process},
    serde_json::{Value, json},
    std::{io, net::SocketAddr, path::PathBuf, process::Stdio, time::Duration},
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        process::{Child, ChildStdout, Command},
        time::timeout,
    },
};

/// Maximum time from the start of a process until it prints its first line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process failed to start, to stop or to reach the expected state.
#[derive(Debug, Display, Error)]
#[display("process {name}: {detail}")]
pub struct ProcessError {
    /// Binary, instance or other part of the deployment that failed.
    pub name: String,
    /// Cause of the failure, without the name.
    pub detail: String,
}

/// A running process. It is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    first_line: Value,
    // Kept open so that later writes of the process to its standard output do not fail.
    _output: Option<BufReader<ChildStdout>>,
}

/// Path of a binary of this workspace, in the folder of the running program or, for tests, in the folder above. If
/// neither has it, returns the bare name, which is looked up in `PATH`.
#[must_use]
pub fn binary_path(name: &str) -> PathBuf {
    let program = std::env::current_exe().unwrap_or_default();
    program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.exists())
        .unwrap_or_else(|| PathBuf::from(name))
}

fn spawn(name: &str, arguments: &[String], output: Stdio) -> io::Result<Child> {
    Command::new(binary_path(name))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(output)
        .kill_on_drop(true)
        .spawn()
}

fn parse_first_line(line: &str) -> Option<Value> {
    if let Ok(address) = line.parse::<SocketAddr>() {
        return Some(json!({ "address": address.to_string() }));
    }
    serde_json::from_str(line).ok()
}

impl Process {
    /// Starts a binary and waits for its first line of output: a JSON object of named addresses, or one address, which
    /// gets the name `address`.
    ///
    /// # Errors
    ///
    /// When the binary does not start, or prints no first line in time or one that is neither JSON nor an address.
    pub async fn start(name: &str, arguments: &[String]) -> Result<Self, ProcessError> {
        let fail = |detail: String| ProcessError {
            name: name.to_owned(),
            detail,
        };
        let mut child =
            spawn(name, arguments, Stdio::piped()).map_err(|error| fail(error.to_string()))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| fail("standard output was not captured".to_owned()))?;
        let mut output = BufReader::new(stdout);
        let mut line = String::new();
        timeout(START_TIMEOUT, output.read_line(&mut line))
            .await
            .map_err(|_| fail("timed out waiting for the first line of output".to_owned()))?
            .map_err(|error| fail(error.to_string()))?;
        let first_line = parse_first_line(line.trim())
            .ok_or_else(|| fail(format!("first line {line:?} is neither JSON nor address")))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            first_line,
            _output: Some(output),
        })
    }

    /// Starts a binary that prints no addresses; its standard output is discarded.
    ///
    /// # Errors
    ///
    /// When the binary does not start.
    pub fn start_without_address(name: &str, arguments: &[String]) -> Result<Self, ProcessError> {
        let child = spawn(name, arguments, Stdio::null()).map_err(|error| ProcessError {
            name: name.to_owned(),
            detail: error.to_string(),
        })?;
        Ok(Self {
            name: name.to_owned(),
            child,
            first_line: Value::Null,
            _output: None,
        })
    }

    /// The address that the first line of output has under this name.
    ///
    /// # Errors
    ///
    /// When the line has no valid address of this name.
    pub fn address(&self, field: &str) -> Result<SocketAddr, ProcessError> {
        self.first_line[field]
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| self.fail(format!("first line has no valid address {field:?}")))
    }

    /// Reads the processor time used since the start and the resident memory.
    ///
    /// # Errors
    ///
    /// When the exit of the process was observed before, for example by [`Self::has_exited`], or its statistics cannot
    /// be read.
    pub fn usage(&self) -> Result<Usage, ProcessError> {
        Usage::of(self.pid()?.as_raw_nonzero().get())
            .ok_or_else(|| self.fail("cannot read the process statistics".to_owned()))
    }

    /// Suspends the process with SIGSTOP, to simulate a paused instance.
    ///
    /// # Errors
    ///
    /// When the exit of the process was observed before, for example by [`Self::has_exited`].
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    ///
    /// # Errors
    ///
    /// When the exit of the process was observed before, for example by [`Self::has_exited`].
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Whether the process has exited, or its state cannot be read.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Requests a planned stop with SIGTERM and waits for the exit; returns whether the exit status was success.
    ///
    /// # Errors
    ///
    /// When the exit of the process was observed before, or the process does not exit in time.
    pub async fn terminate(mut self, within: Duration) -> Result<bool, ProcessError> {
        self.signal(Signal::TERM)?;
        let status = timeout(within, self.child.wait())
            .await
            .map_err(|_| self.fail(format!("did not exit within {within:?} after SIGTERM")))?
            .map_err(|error| self.fail(error.to_string()))?;
        Ok(status.success())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        kill_process(self.pid()?, signal).map_err(|error| self.fail(error.to_string()))
    }

    fn pid(&self) -> Result<Pid, ProcessError> {
        self.child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw)
            .ok_or_else(|| self.fail("has already exited".to_owned()))
    }

    fn fail(&self, detail: String) -> ProcessError {
        ProcessError {
            name: self.name.clone(),
            detail,
        }
    }
}
