//! Bounded pool of HTTP/1.1 connections to the local target.

use {
    super::OutgoingBody,
    derive_more::{Display, Error},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore, TryAcquireError},
        task::AbortHandle,
        time::{sleep, timeout_at},
    },
    tokio_util::task::TaskTracker,
};

/// Timeout for a new connection to the target. A target on the same instance accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest idle time of a connection that carries a request which must not be sent twice. The target may close one that
/// was idle for longer just as the request is sent, which leaves the outcome of the request unknown.
pub const MAX_FRESH_IDLE: Duration = Duration::from_secs(1);

/// Idle time after which a connection is closed. Each holds about 60 KB, and a target has several hundred.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Bound on the bytes that are read ahead on an HTTP/1.1 connection, and on a head. All of them are decoded in one turn of
/// the connection's task, in which its deadline and other tasks wait.
pub const MAX_BUFFER_BYTES: usize = 32 * 1_024;

/// Why no connection to the target is available. Nothing was sent.
#[derive(Debug, Display, Error)]
pub enum PoolError {
    /// No target has announced itself.
    #[display("the target has no address")]
    NoAddress,
    /// All connections that the target accepts are in use.
    #[display("all connections to the target are in use")]
    Exhausted,
    /// The target did not accept a connection.
    #[display("cannot connect to the target: {_0}")]
    Connect(#[error(not(source))] String),
    /// The deadline passed while waiting for a connection.
    #[display("the deadline passed while waiting for a connection")]
    Deadline,
}

/// An open connection with its permit. Dropping it closes the socket.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<OutgoingBody>,
    task: AbortHandle,
    generation: u64,
    opened: Instant,
    idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    fn is_worth_keeping(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() <= MAX_IDLE
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct State {
    address: Option<SocketAddr>,
    limit: u32,
    generation: u64,
    permits: Arc<Semaphore>,
    idle: Vec<Connection>,
}

/// Bounded pool of connections to the target. Only this node opens connections to the target.
#[derive(Debug)]
pub struct TargetPool {
    state: Mutex<State>,
    tasks: TaskTracker,
}

impl TargetPool {
    /// An empty pool for at most `limit` connections to `address`. `tasks` tracks the tasks that drive the connections.
    #[must_use]
    pub fn new(address: Option<SocketAddr>, limit: u32, tasks: TaskTracker) -> Self {
        Self {
            state: Mutex::new(State {
                address,
                limit,
                generation: 0,
                permits: Arc::new(Semaphore::new(limit as usize)),
                idle: Vec::new(),
            }),
            tasks,
        }
    }

    /// Replaces address and limit. Idle connections are closed at once, those in use when their exchange ends.
    pub fn retarget(&self, address: Option<SocketAddr>, limit: u32) {
        let mut state = self.state.lock();
        if state.address == address && state.limit == limit {
            return;
        }
        state.address = address;
        state.limit = limit;
        state.generation += 1;
        state.permits = Arc::new(Semaphore::new(limit as usize));
        state.idle.clear();
    }

    /// Takes a connection that was idle for at most `max_idle`, if given, or else opens one.
    ///
    /// # Errors
    ///
    /// When no connection is available before `deadline`. Nothing was sent to the target in that case.
    pub async fn lease(
        self: &Arc<Self>,
        max_idle: Option<Duration>,
        deadline: Instant,
    ) -> Result<Lease, PoolError> {
        if let Some(connection) = self.take_ready(max_idle) {
            return Ok(self.wrap(connection));
        }
        let connection = match self.reserve()? {
            Some((address, generation, permit)) => {
                self.open(address, generation, permit, deadline).await?
            }
            None => self.wait_for_idle(deadline).await?,
        };
        Ok(self.wrap(connection))
    }

    /// Opens a connection even when an idle one is ready.
    ///
    /// # Errors
    ///
    /// When no connection can be opened before `deadline`.
    pub async fn lease_new(self: &Arc<Self>, deadline: Instant) -> Result<Lease, PoolError> {
        let (address, generation, permit) = self.reserve()?.ok_or(PoolError::Exhausted)?;
        let connection = self.open(address, generation, permit, deadline).await?;
        Ok(self.wrap(connection))
    }

    fn wrap(self: &Arc<Self>, connection: Connection) -> Lease {
        Lease {
            pool: Arc::clone(self),
            connection,
        }
    }

    /// Takes the most recently used connection that is ready, so that surplus connections age and are evicted.
    fn take_ready(&self, max_idle: Option<Duration>) -> Option<Connection> {
        let mut state = self.state.lock();
        state
            .idle
            .retain(|connection| !connection.sender.is_closed());
        let position = state.idle.iter().rposition(|connection| {
            connection.sender.is_ready()
                && max_idle.is_none_or(|max_idle| connection.idle_since.elapsed() <= max_idle)
        })?;
        Some(state.idle.remove(position))
    }

    /// Reserves a permit for a new connection. At the limit, the oldest idle connection is evicted for it. None if that
    /// frees no permit and another idle connection is left to use.
    fn reserve(&self) -> Result<Option<(SocketAddr, u64, OwnedSemaphorePermit)>, PoolError> {
        let mut state = self.state.lock();
        let address = state.address.ok_or(PoolError::NoAddress)?;
        let mut acquired = Arc::clone(&state.permits).try_acquire_owned();
        if matches!(acquired, Err(TryAcquireError::NoPermits)) && !state.idle.is_empty() {
            // Evict the oldest idle connection, which has been idle too long for this request or is not ready.
            drop(state.idle.remove(0));
            acquired = Arc::clone(&state.permits).try_acquire_owned();
        }
        match acquired {
            Ok(permit) => Ok(Some((address, state.generation, permit))),
            Err(_) if state.idle.is_empty() => Err(PoolError::Exhausted),
            Err(_) => Ok(None),
        }
    }

    async fn wait_for_idle(&self, deadline: Instant) -> Result<Connection, PoolError> {
        let popped = self.state.lock().idle.pop();
        let mut connection = popped.ok_or(PoolError::Exhausted)?;
        match timeout_at(deadline.into(), connection.sender.ready()).await {
            Ok(Ok(())) => Ok(connection),
            Ok(Err(error)) => Err(PoolError::Connect(error.to_string())),
            Err(_) => Err(PoolError::Deadline),
        }
    }

    async fn open(
        &self,
        address: SocketAddr,
        generation: u64,
        permit: OwnedSemaphorePermit,
        deadline: Instant,
    ) -> Result<Connection, PoolError> {
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connecting = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(std::io::Error::other)
        };
        let (sender, connection) = timeout_at(until.into(), connecting)
            .await
            .map_err(|_| PoolError::Connect(format!("{address} did not accept in time")))?
            .map_err(|error| PoolError::Connect(format!("{address}: {error}")))?;
        // Connection errors are reported to the exchange that uses the connection.
        let task = self.tasks.spawn(async move { drop(connection.await) });
        let now = Instant::now();
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            generation,
            opened: now,
            idle_since: now,
            _permit: permit,
        })
    }

    /// Closes connections that have been idle for long, until the future is dropped.
    pub async fn evict_idle(&self) {
        loop {
            sleep(MAX_IDLE / 2).await;
            self.state.lock().idle.retain(Connection::is_worth_keeping);
        }
    }

    /// Closes idle connections and refuses new leases. Leased connections are closed when they are returned.
    pub fn close(&self) {
        self.retarget(None, 0);
    }

    fn put_back(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut state = self.state.lock();
        if connection.generation == state.generation {
            connection.idle_since = Instant::now();
            state.idle.push(connection);
        }
    }
}

/// A connection in use by one exchange. Dropping the lease closes the connection, so that a late response cannot reach
/// another request.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<TargetPool>,
    connection: Connection,
}

impl Lease {
    /// Request sender of the connection.
    pub const fn sender(&mut self) -> &mut SendRequest<OutgoingBody> {
        &mut self.connection.sender
    }

    /// Time at which the connection was opened.
    #[must_use]
    pub const fn opened(&self) -> Instant {
        self.connection.opened
    }

    /// Returns the connection to the pool. Must only be called after the response has been read to its end.
    pub fn release(self) {
        self.pool.put_back(self.connection);
    }
}
