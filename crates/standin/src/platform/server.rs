//! Listener and shared state of the platform stand-in.

use {
    super::{
        counts::{Counters, Counts},
        faults::Faults,
        service,
        store::{Store, StoredObject},
    },
    hyper::service::service_fn,
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// A running platform stand-in. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<State>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

#[derive(Debug)]
pub(super) struct State {
    inner: Mutex<Inner>,
    pub(super) counters: Counters,
    /// Wakes watches when objects or faults change; the value has no meaning.
    pub(super) changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) store: Store,
    /// Copy of the store that a restore returns to.
    pub(super) copy: Store,
    /// Number of restores so far.
    pub(super) restores: u64,
    pub(super) faults: Faults,
    /// Writes that reached the store; `lose_every` suppresses the response of every n-th of them.
    pub(super) writes: u64,
    /// Increased by the fault `end_watches`; watches that started in an earlier generation are closed.
    pub(super) watch_generation: u64,
    pub(super) stopping: bool,
}

impl PlatformStandin {
    /// Listens on an address; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be used.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            inner: Mutex::default(),
            counters: Counters::default(),
            changed: watch::Sender::new(0),
        });
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(accept(
            listener,
            Arc::clone(&state),
            stop.clone(),
            tasks.clone(),
        ));
        Ok(Self {
            address,
            state,
            stop,
            tasks,
        })
    }

    /// Listens on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// When no port can be used.
    pub async fn start_local() -> io::Result<Self> {
        Self::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Address of the object API.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Faults in force. Counters such as `lose_next` decrease with each use.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    /// Calls since the start of the stand-in and watches in progress.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counters.snapshot()
    }

    /// Current objects of a kind, regardless of the faults in force.
    #[must_use]
    pub fn objects(&self, kind: &str) -> Vec<StoredObject> {
        let inner = self.state.lock();
        inner.store.list(kind, inner.store.version())
    }

    /// Keeps a copy of all objects for [`Self::restore_copy`].
    pub fn keep_copy(&self) {
        let mut inner = self.state.lock();
        inner.copy = inner.store.clone();
    }

    /// Returns to the last copy: later changes are lost, their versions are assigned again, and answers state the next
    /// era. Watches in progress go on.
    pub fn restore_copy(&self) {
        let mut inner = self.state.lock();
        inner.store = inner.copy.clone();
        inner.restores += 1;
        drop(inner);
        self.state.changed.send_modify(|changes| *changes += 1);
    }

    /// Closes the listener and all connections, and waits for all tasks. Later connections are refused.
    pub async fn stop(self) {
        self.state.lock().stopping = true;
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl State {
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, mut faults: Faults) {
        let mut inner = self.lock();
        if std::mem::take(&mut faults.end_watches) {
            inner.watch_generation += 1;
        }
        if std::mem::take(&mut faults.forget_history) {
            inner.store.forget_history();
        }
        inner.faults = faults;
        drop(inner);
        self.changed.send_modify(|changes| *changes += 1);
    }
}

async fn accept(
    listener: TcpListener,
    state: Arc<State>,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        // `accept` fails because of a single connection, or while the process has too many open files; neither is
        // permanent.
        let Ok((stream, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        tasks.spawn(serve(stream, Arc::clone(&state), stop.clone()));
    }
}

async fn serve(stream: TcpStream, state: Arc<State>, stop: CancellationToken) {
    let service = service_fn(move |request| service::answer(Arc::clone(&state), request));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ended = connection => {}
        () = stop.cancelled() => {}
    }
}
