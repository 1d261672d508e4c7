//! Listening sockets and the connections that they accept.

use {
    super::{
        LingeringCloses, ResponseBody,
        accepted_stream::{AcceptedStream, Protocol},
        caller_watch::CallerWatch,
        peers::{CONNECTION_WINDOW_BYTES, MAX_HEADER_LIST_BYTES, STREAM_WINDOW_BYTES},
        target_pool::MAX_BUFFER_BYTES,
    },
    crate::error::{NodeError, NodeResult, report},
    futures::{FutureExt, future::BoxFuture},
    http::{Request, Response},
    hyper::{
        body::Incoming,
        rt::Executor,
        server::conn::{http1, http2},
        service::{HttpService, service_fn},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    jujubeline_core::{Peer, Step},
    std::{
        convert::Infallible,
        future::Future,
        net::SocketAddr,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::timeout,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 2_048;
/// Streams reset by the peer whose reset may be pending. The default of 20 closes the connection when many callers
/// disconnect at once, which would cut off the others.
const MAX_PENDING_RESETS: usize = 4_096;
/// Bound on open connections of a listener: twice the connections of the largest target in the design.
const MAX_CONNECTIONS: usize = 4_096;
/// Timeout for the head of an HTTP/1.1 request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Future of one request. The server keeps room for it for as long as the connection is open, so it is boxed.
type Served = BoxFuture<'static, Result<Response<ResponseBody>, Infallible>>;

/// Executor that spawns the tasks of HTTP/2 streams on a tracker, so that the node can wait for them.
#[derive(Debug, Clone)]
pub struct TrackedExecutor(pub TaskTracker);

impl<F> Executor<F> for TrackedExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future);
    }
}

/// Protocols that a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// HTTP/1.1 and cleartext HTTP/2.
    Any,
    /// HTTP/2 only, as used between nodes.
    Http2,
}

/// Signals for the steps of a stop, in the order in which they are cancelled. All listeners of a node share them.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// The node reports that it is not ready, but still serves requests.
    pub not_ready: CancellationToken,
    /// This node passes no new work to the target.
    pub target_withheld: CancellationToken,
    /// New exchanges are refused, and HTTP/2 connections are sent GOAWAY.
    pub drain: CancellationToken,
    /// Calls on behalf of exchanges in flight are refused as well.
    pub calls_refused: CancellationToken,
    /// The drain has ended. Listeners stop accepting, and connections are closed gracefully.
    pub close: CancellationToken,
    /// Connections that are still open are aborted.
    pub cut: CancellationToken,
}

/// What the listeners of a node share.
#[derive(Debug, Clone, Default)]
pub struct ListenerContext {
    /// Steps of a stop.
    pub signals: StopSignals,
    /// Tracks the tasks of all connections.
    pub tasks: TaskTracker,
    /// Connections that are being closed.
    pub closes: Arc<LingeringCloses>,
}

/// A bound socket that accepts connections of one kind.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    kind: ListenerKind,
    callers_left: Arc<AtomicU64>,
}

impl Listener {
    /// Binds a listening socket to `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr, kind: ListenerKind) -> NodeResult<Self> {
        let socket = TcpListener::bind(address).await.map_err(|error| {
            report(
                NodeError::Start,
                Step::Listen,
                Peer::Local,
                format!("cannot listen on {address}: {error}"),
            )
        })?;
        Ok(Self {
            socket,
            kind,
            callers_left: Arc::default(),
        })
    }

    /// Counter of the callers that left while bytes that they had sent were unread.
    #[must_use]
    pub fn callers_left(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.callers_left)
    }

    /// Bound address, with the port that the system chose.
    ///
    /// # Errors
    ///
    /// When the socket has no local address.
    pub fn local_address(&self) -> NodeResult<SocketAddr> {
        self.socket.local_addr().map_err(|error| {
            report(
                NodeError::Start,
                Step::Listen,
                Peer::Local,
                error.to_string(),
            )
        })
    }

    /// Accepts connections until `close` is cancelled. A draining node still accepts, so that callers get a refusal.
    pub async fn run<S, F>(self, serve: S, context: ListenerContext)
    where
        S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                biased;
                () = context.signals.close.cancelled() => return,
                accepted = self.accept(&connections) => accepted,
            };
            let Some((stream, peer, permit)) = accepted else {
                continue;
            };
            let connection = serve_connection(
                stream,
                self.kind,
                peer,
                serve.clone(),
                self.callers_left(),
                context.clone(),
            );
            context.tasks.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }

    async fn accept(
        &self,
        connections: &Arc<Semaphore>,
    ) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
        let permit = Arc::clone(connections).acquire_owned().await.ok()?;
        if let Ok((stream, peer)) = self.socket.accept().await {
            return Some((stream, peer, permit));
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
        None
    }
}

/// Serves one connection until it ends or the stop signals close it.
async fn serve_connection<S, F>(
    stream: TcpStream,
    kind: ListenerKind,
    peer: SocketAddr,
    serve: S,
    callers_left: Arc<AtomicU64>,
    context: ListenerContext,
) where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let ListenerContext {
        signals,
        tasks,
        closes,
    } = context;
    // Without this option, small writes wait for acknowledgements. The connection also works if it cannot be set.
    let _ = stream.set_nodelay(true);
    let serve = move |request| -> Served { serve(peer, request).map(Ok).boxed() };
    let accepted = match kind {
        ListenerKind::Http2 => Some((AcceptedStream::new(stream), Protocol::Http2)),
        ListenerKind::Any => detect_protocol(stream, &signals).await,
    };
    let Some((stream, protocol)) = accepted else {
        return;
    };
    let caller = stream.caller();
    match protocol {
        Protocol::Http1 => {
            let watched = caller.clone();
            let service = service_fn(move |request| {
                if watched.has_left() {
                    // The server drops the request as soon as it reads the end of the connection.
                    std::future::pending().boxed()
                } else {
                    serve(request)
                }
            });
            let connection = http1_builder().serve_connection(TokioIo::new(stream), service);
            if serve_http1(connection, &caller, &signals).await {
                callers_left.fetch_add(1, Ordering::Relaxed);
            }
        }
        Protocol::Http2 => {
            let connection =
                http2_builder(tasks).serve_connection(TokioIo::new(stream), service_fn(serve));
            Box::pin(serve_http2(connection, &signals)).await;
        }
    }
    if caller.may_lose_answer(Instant::now()) {
        closes.close(caller.stream(), &signals.cut).await;
    }
}

/// Waits for the first bytes of a connection. Returns nothing if they do not come.
async fn detect_protocol(
    stream: TcpStream,
    signals: &StopSignals,
) -> Option<(AcceptedStream, Protocol)> {
    tokio::select! {
        detected = timeout(HEAD_TIMEOUT, AcceptedStream::detect(stream)) => detected.ok()?.ok(),
        () = signals.close.cancelled() => None,
    }
}

/// Serves requests until the connection ends. Returns whether the caller left while bytes that it had sent were unread.
///
/// An idle connection is not closed while the node drains, because a request may already be on its way and would be cut
/// off. That request gets a refusal with `connection: close`.
async fn serve_http1<T, S>(
    connection: http1::Connection<T, S>,
    caller: &CallerWatch,
    signals: &StopSignals,
) -> bool
where
    T: hyper::rt::Read + hyper::rt::Write + Unpin,
    S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible, Future = Served>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        has_left = caller.serve(connection.as_mut()) => return has_left,
        () = signals.close.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        has_left = caller.serve(connection) => has_left,
        () = signals.cut.cancelled() => false,
    }
}

/// When the node drains, GOAWAY states which requests were accepted.
async fn serve_http2<T, S>(
    connection: http2::Connection<T, S, TrackedExecutor>,
    signals: &StopSignals,
) where
    T: hyper::rt::Read + hyper::rt::Write + Unpin,
    S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible, Future = Served>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = signals.drain.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = signals.cut.cancelled() => {}
    }
}

fn http1_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(MAX_BUFFER_BYTES)
        .header_read_timeout(HEAD_TIMEOUT);
    builder
}

fn http2_builder(tasks: TaskTracker) -> http2::Builder<TrackedExecutor> {
    let mut builder = http2::Builder::new(TrackedExecutor(tasks));
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    builder
}
