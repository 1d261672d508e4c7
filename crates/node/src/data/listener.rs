//! Listening sockets and their connections.

use {
    super::{
        ResponseBody,
        peers::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES},
    },
    crate::error::{NodeError, NodeResult, report},
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

/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 2_048;
/// Resets by the peer that may wait to be processed. The default of 20 closes the connection when many callers leave at
/// once, which would cut off the others.
const MAX_PENDING_RESETS: usize = 4_096;
/// Open connections of a listener: twice the connections of the largest target in the design.
const MAX_CONNECTIONS: usize = 4_096;
/// Time within which the head of an HTTP/1.1 request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, usually for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Runs the tasks of HTTP/2 streams on the tracker that the node joins.
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

/// What a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// HTTP/1.1 and cleartext HTTP/2.
    Any,
    /// HTTP/2 only, between nodes.
    Http2,
}

/// Steps of a stop, shared by all listeners of a node.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// The node is not ready any more, and still serves.
    pub leaving: CancellationToken,
    /// The target gets no new work through this node.
    pub withhold: CancellationToken,
    /// New exchanges are refused, and HTTP/2 connections get GOAWAY.
    pub drain: CancellationToken,
    /// No exchange is in flight any more; connections end.
    pub close: CancellationToken,
    /// Connections that are still open are cut.
    pub cut: CancellationToken,
}

/// A listening socket.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    kind: ListenerKind,
}

impl Listener {
    /// Opens a listening socket.
    ///
    /// # Errors
    ///
    /// When the address cannot be used.
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

    /// Address of the socket.
    ///
    /// # Errors
    ///
    /// When the socket has no address.
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

    /// Accepts connections until `close`. A draining node still accepts, so that its callers read a refusal.
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
    // Without it, small writes wait for acknowledgements. A socket without the option still works.
    let _ = stream.set_nodelay(true);
    let is_http2 = Arc::new(AtomicBool::new(kind == ListenerKind::Http2));
    let seen_http2 = Arc::clone(&is_http2);
    let service = service_fn(move |request: Request<Incoming>| {
        if request.version() == Version::HTTP_2 {
            seen_http2.store(true, Ordering::Relaxed);
        }
        let response = serve(peer, request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let builder = connection_builder(kind, tasks);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        () = signals.drain.cancelled() => {}
    }
    // An idle HTTP/1.1 connection is not closed at once: a request may be on its way and would be cut off. It gets a
    // refusal with `connection: close` instead. HTTP/2 says with GOAWAY which requests were taken.
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
