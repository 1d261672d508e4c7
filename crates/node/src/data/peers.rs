//! HTTP/2 connections to the gates of other nodes.

use {
    super::{
        ExchangeContext, OutgoingBody, ResponseBody, final_status::is_final,
        forward_headers::write_context, gate::GateRefusal, listener::TrackedExecutor,
        load_report::read_load, target_report_header::read_report,
    },
    http::{HeaderMap, Request, Response, Uri, request, uri::Authority},
    hyper::{
        body::Incoming,
        client::conn::http2::{self, SendRequest},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    jujubeline_core::{NotRunProof, Outcome, Refusal, RefusalReason, header_names as names},
    jujubeline_overload::Level,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::SocketAddr,
        str::FromStr,
        sync::{Arc, Weak},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::Semaphore,
        time::{sleep_until, timeout, timeout_at},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Timeout for a new connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame on a connection with open streams after which a PING is sent (section 6.5 of the design).
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for the acknowledgement of the PING, after which the connection is replaced.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Flow-control window of a stream, the most that a node holds of a body that is not read. It covers the bandwidth-delay
/// product between data centres, 1 Gbit/s times 1 ms.
pub const STREAM_WINDOW_BYTES: u32 = 1 << 17;
/// Flow-control window of a connection, the largest of the protocol. Only the windows of the streams limit what is sent:
/// bodies that are not read would otherwise use up the window of all others on the connection.
pub const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Bound on the fields of a head over HTTP/2, each counted with 32 bytes more (RFC 9113, section 6.5.2). It fits any head
/// that is accepted over HTTP/1.1, with the fields that nodes add. The default of 16 KB does not.
pub const MAX_HEADER_LIST_BYTES: u32 = 64 * 1_024;

/// Another node with the HTTP/2 connection to its gate.
#[derive(Debug)]
pub struct Peer {
    address: SocketAddr,
    authority: Authority,
    connection: Mutex<Option<SendRequest<OutgoingBody>>>,
    connecting: Semaphore,
}

/// Connections to other nodes, one per data address, opened on demand.
#[derive(Debug)]
pub struct Peers {
    by_address: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    tasks: TaskTracker,
    closing: CancellationToken,
}

impl Peers {
    /// An empty set. `tasks` tracks the tasks that drive the connections; they end when `closing` is cancelled.
    #[must_use]
    pub fn new(tasks: TaskTracker, closing: CancellationToken) -> Self {
        Self {
            by_address: Mutex::default(),
            tasks,
            closing,
        }
    }

    /// The node with this data address, added without a connection if it is new.
    #[must_use]
    pub fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut by_address = self.by_address.lock();
        let peer = by_address.entry(address).or_insert_with(|| {
            Arc::new(Peer {
                address,
                // A socket address is always a valid authority, so the fallback is not used.
                authority: Authority::from_str(&address.to_string())
                    .unwrap_or(Authority::from_static("node")),
                connection: Mutex::new(None),
                connecting: Semaphore::new(1),
            })
        });
        Arc::clone(peer)
    }

    /// Drops the connections to nodes that are no longer members.
    pub fn retain(&self, mut is_member: impl FnMut(&SocketAddr) -> bool) {
        self.by_address
            .lock()
            .retain(|address, _| is_member(address));
    }

    /// Sends a request to the gate of another node.
    ///
    /// # Errors
    ///
    /// The refusal by the gate, or a refusal with the outcome as far as it is known after a failure.
    pub async fn send(
        &self,
        peer: &Arc<Peer>,
        head: &request::Parts,
        body: OutgoingBody,
        context: &ExchangeContext,
    ) -> Result<Response<ResponseBody>, GateRefusal> {
        let never_sent = |reason| {
            GateRefusal::new(
                Refusal::not_run(NotRunProof::NeverSent, reason),
                context.retries,
            )
        };
        let mut sender = self
            .sender(peer, context.deadline)
            .await
            .map_err(|_| never_sent(RefusalReason::TargetUnreachable))?;
        let request = peer_request(peer, head, body, context)
            .map_err(|_| never_sent(RefusalReason::BadRequest))?;
        let sending = sender.try_send_request(request);
        match timeout_at(context.deadline.into(), sending).await {
            Ok(Ok(response)) => read_response(response, context),
            Ok(Err(mut error)) => {
                peer.drop_closed();
                if error.take_message().is_some() {
                    return Err(never_sent(RefusalReason::TargetUnreachable));
                }
                Err(lost(&error.into_error(), context.retries))
            }
            Err(_) => Err(GateRefusal::new(
                Refusal::unknown(RefusalReason::Deadline),
                0,
            )),
        }
    }

    async fn sender(
        &self,
        peer: &Arc<Peer>,
        deadline: Instant,
    ) -> Result<SendRequest<OutgoingBody>, std::io::Error> {
        if let Some(sender) = peer.open_sender() {
            return Ok(sender);
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connecting = connect_once(peer, &self.tasks);
        let (sender, connection) = timeout_at(until.into(), connecting).await??;
        if let Some(connection) = connection {
            let closing = self.closing.clone();
            let driving = drive(Arc::downgrade(peer), connection, self.tasks.clone());
            self.tasks.spawn(async move {
                closing.run_until_cancelled(driving).await;
            });
        }
        Ok(sender)
    }
}

/// HTTP/2 connection to a peer, which makes progress only while it is polled.
type PeerConnection = http2::Connection<TokioIo<TcpStream>, OutgoingBody, TrackedExecutor>;

/// Opens the connection to a peer unless another task has done so meanwhile; the connection returned is to be driven.
/// One task opens the connection; the others wait for it instead of opening more.
async fn connect_once(
    peer: &Peer,
    tasks: &TaskTracker,
) -> Result<(SendRequest<OutgoingBody>, Option<PeerConnection>), std::io::Error> {
    let _turn = peer
        .connecting
        .acquire()
        .await
        .map_err(std::io::Error::other)?;
    if let Some(sender) = peer.open_sender() {
        return Ok((sender, None));
    }
    let (sender, connection) = handshake(peer.address, tasks).await?;
    *peer.connection.lock() = Some(sender.clone());
    Ok((sender, Some(connection)))
}

/// Drives a connection until it ends. One that has stalled is replaced at once: its requests have failed, so the router
/// seldom chooses the peer at first, and its next request would otherwise wait for the connection.
async fn drive(peer: Weak<Peer>, mut connection: PeerConnection, tasks: TaskTracker) {
    loop {
        // Connection errors are reported to the exchanges that use the connection.
        if !connection.await.is_err_and(|error| error.is_timeout()) {
            return;
        }
        let Some(peer) = peer.upgrade() else {
            return;
        };
        peer.drop_closed();
        match timeout(CONNECT_TIMEOUT, connect_once(&peer, &tasks)).await {
            Ok(Ok((_, Some(replacement)))) => connection = replacement,
            // After a failure, the next request to the peer connects.
            Ok(Ok((_, None)) | Err(_)) | Err(_) => return,
        }
    }
}

async fn handshake(
    address: SocketAddr,
    tasks: &TaskTracker,
) -> Result<(SendRequest<OutgoingBody>, PeerConnection), std::io::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    http2::Builder::new(TrackedExecutor(tasks.clone()))
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)
}

impl Peer {
    /// Data address of the node.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn open_sender(&self) -> Option<SendRequest<OutgoingBody>> {
        let connection = self.connection.lock();
        connection
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    fn drop_closed(&self) {
        let mut connection = self.connection.lock();
        if connection.as_ref().is_some_and(SendRequest::is_closed) {
            *connection = None;
        }
    }
}

fn peer_request(
    peer: &Peer,
    head: &request::Parts,
    body: OutgoingBody,
    context: &ExchangeContext,
) -> Result<Request<OutgoingBody>, http::Error> {
    let mut uri = Uri::builder()
        .scheme(http::uri::Scheme::HTTP)
        .authority(peer.authority.clone());
    uri = match head.uri.path_and_query() {
        Some(path) => uri.path_and_query(path.clone()),
        None => uri.path_and_query("/"),
    };
    let mut request = Request::new(body);
    *request.version_mut() = http::Version::HTTP_2;
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri.build()?;
    *request.headers_mut() = head.headers.clone();
    write_context(request.headers_mut(), context, Instant::now());
    Ok(request)
}

fn read_response(
    response: Response<Incoming>,
    context: &ExchangeContext,
) -> Result<Response<ResponseBody>, GateRefusal> {
    let (head, incoming) = response.into_parts();
    if head.headers.contains_key(names::REASON) {
        return Err(read_refusal(&head.headers));
    }
    if !is_final(head.status) {
        let refusal = Refusal::unknown(RefusalReason::AnswerInvalid);
        return Err(GateRefusal::new(refusal, 0));
    }
    let deadline = Box::pin(sleep_until(context.deadline.into()));
    Ok(Response::from_parts(
        head,
        ResponseBody::streamed(incoming, deadline),
    ))
}

/// Part of the granted retry allowance that a response returned; none when it is missing or malformed.
pub fn retries_unused(headers: &HeaderMap) -> Option<u32> {
    text(headers, names::RETRIES_UNUSED)?.parse().ok()
}

/// Admission level that a response carried; none when it is missing or malformed.
pub fn read_level(headers: &HeaderMap) -> Option<Level> {
    text(headers, names::LEVEL)?.parse().ok().map(Level::new)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_refusal(headers: &HeaderMap) -> GateRefusal {
    let reason = text(headers, names::REASON)
        .and_then(RefusalReason::from_label)
        .unwrap_or(RefusalReason::Internal);
    let outcome = text(headers, names::OUTCOME)
        .and_then(Outcome::from_label)
        .unwrap_or(Outcome::Unknown);
    let refusal = match outcome {
        Outcome::NotRun if reason == RefusalReason::TargetShed => {
            Refusal::not_run(NotRunProof::RefusedByTarget, reason)
        }
        Outcome::NotRun => Refusal::not_run(NotRunProof::RefusedByGate, reason),
        Outcome::Ran => Refusal::ran(reason),
        Outcome::Unknown => Refusal::unknown(reason),
    };
    let retry_after = text(headers, "retry-after").and_then(|text| text.parse().ok());
    GateRefusal {
        refusal: match retry_after {
            Some(seconds) => refusal.with_retry_after(Duration::from_secs(seconds)),
            None => refusal,
        },
        retries_unused: retries_unused(headers).unwrap_or(0),
        level: read_level(headers),
        load: read_load(headers).map(Box::new),
        report: read_report(headers),
    }
}

/// Refusal after a failure of an exchange whose head was already passed to the connection.
fn lost(error: &hyper::Error, retries: u32) -> GateRefusal {
    if is_refused_stream(error) {
        let refusal = Refusal::not_run(NotRunProof::NeverSent, RefusalReason::Draining);
        return GateRefusal::new(refusal, retries);
    }
    let reason = if error.is_timeout() {
        RefusalReason::ConnectionStalled
    } else {
        RefusalReason::OutcomeLost
    };
    GateRefusal::new(Refusal::unknown(reason), 0)
}

/// Whether the peer states that it did not process the stream (RFC 9113, sections 6.8 and 8.7): the stream was reset
/// with `REFUSED_STREAM`, or its id is above the last one of a graceful GOAWAY.
fn is_refused_stream(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|source| source.downcast_ref());
    let Some(error): Option<&h2::Error> = source else {
        return false;
    };
    error.is_remote()
        && match error.reason() {
            Some(h2::Reason::REFUSED_STREAM) => error.is_reset(),
            Some(h2::Reason::NO_ERROR) => error.is_go_away(),
            _ => false,
        }
}
