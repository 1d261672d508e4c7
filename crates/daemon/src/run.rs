//! The `run` command.

use {
    crate::{
        error::{DaemonError, DaemonResult},
        options::RunOptions,
        settings,
    },
    error_stack::ResultExt,
    jujubeline_node::Node,
    std::{num::NonZero, thread::available_parallelism},
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// When the settings are invalid, or the node does not start or does not stop cleanly.
pub fn run(options: &RunOptions) -> DaemonResult<()> {
    let settings = settings::check(options)?;
    runtime()?.block_on(async {
        // The handlers are installed before the node starts, so that a stop signal during the start is not missed.
        let mut stop = StopSignals::listen()?;
        let node = Node::start(settings)
            .await
            .change_context(DaemonError::Start)?;
        stop.wait().await;
        node.stop().await.change_context(DaemonError::Stop)
    })
}

/// Maximum number of worker threads. The target beside the node needs the other cores. With four or ten threads, waking
/// them took more processor time per request than the requests themselves, without lower latency.
const MAX_THREADS: usize = 2;

/// Builds the Tokio runtime of the daemon, with one worker thread per core up to [`MAX_THREADS`].
///
/// # Errors
///
/// When its threads cannot be started.
pub fn runtime() -> DaemonResult<Runtime> {
    let cores = available_parallelism().map_or(1, NonZero::get);
    Builder::new_multi_thread()
        .worker_threads(cores.min(MAX_THREADS))
        .enable_all()
        .build()
        .change_context(DaemonError::Start)
}

/// Handlers for SIGTERM, SIGINT and SIGHUP. Without a handler, SIGHUP would end the process.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// When a handler cannot be installed.
    pub fn listen() -> DaemonResult<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).change_context(DaemonError::Start)?,
            interrupt: signal(SignalKind::interrupt()).change_context(DaemonError::Start)?,
            hang_up: signal(SignalKind::hangup()).change_context(DaemonError::Start)?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP is only logged: settings come from flags and environment variables, which
    /// cannot change during the life of a process.
    pub async fn wait(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                Some(()) = self.hang_up.recv() => {
                    log::info!("reload: settings take effect at the next start; nothing changes");
                }
            }
        }
    }
}
