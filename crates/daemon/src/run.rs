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
        // The signals are taken before the start, so that a stop during the start is not missed.
        let mut stop = StopSignals::listen()?;
        let node = Node::start(settings)
            .await
            .change_context(DaemonError::Start)?;
        stop.wait().await;
        node.stop().await.change_context(DaemonError::Stop)
    })
}

/// Threads of the node. The target beside it needs the other cores. With four or ten threads, waking them took more
/// processor time per request than the requests themselves, at no gain in latency.
const MAX_THREADS: usize = 2;

/// The runtime of the daemon.
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

/// SIGTERM and SIGINT, and SIGHUP, which would otherwise end the process.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Takes the signals from now on.
    ///
    /// # Errors
    ///
    /// When the signals cannot be taken.
    pub fn listen() -> DaemonResult<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).change_context(DaemonError::Start)?,
            interrupt: signal(SignalKind::interrupt()).change_context(DaemonError::Start)?,
            hang_up: signal(SignalKind::hangup()).change_context(DaemonError::Start)?,
        })
    }

    /// Waits for SIGTERM or SIGINT. Settings come from flags and environment variables, which stay the same for the
    /// life of a process, so SIGHUP changes nothing.
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
