//! Listening sockets and the connections that they accept.

use {
    super::{
        ResponseBody,
        peers::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES},
    },
    crate::error::{NodeError, NodeResult, report},
    futures::FutureExt,
    http::{Request, Response, Version},
    hyper::{body::Incoming, rt::Executor, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::conn::auto,
    },
    jujubeline_core::{Peer, Step},
    std::{
        convert::Infallible,
        future::Future,
        net::SocketAddr,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
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
    /// The drain has ended. Listeners stop accepting, and connections are closed gracefully.
    pub close: CancellationToken,
    /// Connections that are still open are aborted.
    pub cut: CancellationToken,
}

/// A bound socket that accepts connections of one kind.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    kind: ListenerKind,
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
        Ok(Self { socket, kind })
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
    pub async fn run<S, F>(self, serve: S, signals: StopSignals, tasks: TaskTracker)
    where
        S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                biased;
                () = signals.close.cancelled() => return,
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
                signals.clone(),
                tasks.clone(),
            );
            tasks.spawn(async move {
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

async fn serve_connection<S, F>(
    stream: TcpStream,
    kind: ListenerKind,
    peer: SocketAddr,
    serve: S,
    signals: StopSignals,
    tasks: TaskTracker,
) where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    // Without this option, small writes wait for acknowledgements. The connection also works if it cannot be set.
    let _ = stream.set_nodelay(true);
    let is_http2 = Arc::new(AtomicBool::new(kind == ListenerKind::Http2));
    let seen_http2 = Arc::clone(&is_http2);
    // The server keeps room for the future of the service for as long as the connection is open, so the future is boxed.
    let service = service_fn(move |request: Request<Incoming>| {
        if request.version() == Version::HTTP_2 {
            seen_http2.store(true, Ordering::Relaxed);
        }
        serve(peer, request).map(Ok::<_, Infallible>).boxed()
    });
    let builder = connection_builder(kind, tasks);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        () = signals.drain.cancelled() => {}
    }
    // An idle HTTP/1.1 connection is not closed yet, because a request may already be on its way and would be cut off.
    // That request gets a refusal with `connection: close`. With HTTP/2, GOAWAY states which requests were accepted.
    if is_http2.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
    }
    tokio::select! {
        _ = connection.as_mut() => return,
        () = signals.close.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        () = signals.cut.cancelled() => {}
    }
}

fn connection_builder(kind: ListenerKind, tasks: TaskTracker) -> auto::Builder<TrackedExecutor> {
    let mut builder = auto::Builder::new(TrackedExecutor(tasks));
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    match kind {
        ListenerKind::Any => builder,
        ListenerKind::Http2 => builder.http2_only(),
    }
}
