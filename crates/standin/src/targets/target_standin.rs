//! Target stand-in: an HTTP/1.1 server with a fixed number of slots.

use {
    super::{Announcement, Behaviour, Executions, Fault, executions::ExecutionLog},
    bytes::Bytes,
    futures::{StreamExt, stream},
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::BoxBody},
    hyper::{
        body::{Frame, Incoming},
        client::conn::http1 as client,
        server::conn::http1 as server,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        future::pending,
        net::SocketAddr,
        path::PathBuf,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Headers that a target copies from a request to its outgoing calls.
const PROPAGATED_HEADERS: [&str; 3] = [
    "jujubeline-deadline-ms",
    "jujubeline-root",
    "jujubeline-hop",
];

type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Settings of a target stand-in.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target announces. The stand-in does not enforce it.
    pub connections: u32,
    /// Time that a request occupies a slot, unless its query states another.
    pub service: Duration,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Addresses for outgoing calls, used in turn: the callers' address of the node beside the target, or other
    /// targets.
    pub call_addresses: Vec<SocketAddr>,
    /// Paths that the target calls for each request, after those that the request names. `CLASS` is replaced by the
    /// first segment of the request's path and `ID` by its last.
    pub calls: Vec<String>,
    /// Retries of a failed outgoing call.
    pub call_retries: u32,
    /// File to which each execution is appended at its start, so that executions of killed targets count too.
    pub journal: Option<PathBuf>,
}

/// A running target stand-in.
#[derive(Debug)]
pub struct TargetStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    stopping: CancellationToken,
    tasks: TaskTracker,
}

#[derive(Debug)]
struct Shared {
    settings: TargetSettings,
    slots: Semaphore,
    /// Requests that wait for a slot.
    waiting: AtomicU64,
    /// Time added to each execution, in microseconds; it can change while the target runs.
    extra_service_us: AtomicU64,
    /// Number of outgoing calls so far, which selects the address of the next one.
    next_call: AtomicUsize,
    log: ExecutionLog,
    stopping: CancellationToken,
}

impl TargetStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// When the stand-in cannot listen on the address or cannot open the journal.
    pub async fn start(settings: TargetSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let journal = settings.journal.clone();
        let stopping = CancellationToken::new();
        let tasks = TaskTracker::new();
        let shared = Arc::new(Shared {
            slots: Semaphore::new(settings.slots as usize),
            settings,
            waiting: AtomicU64::new(0),
            extra_service_us: AtomicU64::new(0),
            next_call: AtomicUsize::new(0),
            log: ExecutionLog::open(journal.as_deref())?,
            stopping: stopping.clone(),
        });
        tasks.spawn(accept(listener, Arc::clone(&shared), tasks.clone()));
        Ok(Self {
            address,
            shared,
            stopping,
            tasks,
        })
    }

    /// Address on which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Execution counters since the start of the stand-in.
    #[must_use]
    pub fn executions(&self) -> Executions {
        self.shared.log.snapshot()
    }

    /// Sets the time that is added to each execution from now on; zero turns it off.
    pub fn set_extra_service_time(&self, extra: Duration) {
        let extra_us = u64::try_from(extra.as_micros()).unwrap_or(u64::MAX);
        self.shared
            .extra_service_us
            .store(extra_us, Ordering::Relaxed);
    }

    /// Builds the announcement of this target in a state.
    #[must_use]
    pub fn announcement(&self, state: &'static str) -> Announcement {
        Announcement {
            address: self.address,
            state,
            slots: self.shared.settings.slots,
            connections: self.shared.settings.connections,
        }
    }

    /// Closes the listener and all connections, and waits for all tasks.
    pub async fn stop(self) {
        self.stopping.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, tasks: TaskTracker) {
    let stopping = shared.stopping.clone();
    while let Some(accepted) = stopping.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        let stopping = stopping.clone();
        tasks.spawn(async move {
            let service = service_fn(move |request| {
                let shared = Arc::clone(&shared);
                async move { shared.respond(request).await }
            });
            let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(stopping.run_until_cancelled(connection).await);
        });
    }
}

impl Shared {
    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let (head, body) = request.into_parts();
        match head.uri.path() {
            "/standin/executions" => return self.executions_response(),
            "/standin/slow" => return Ok(self.set_extra_time(head.uri.query().unwrap_or_default())),
            _ => {}
        }
        let query = head.uri.query().unwrap_or_default();
        let mut behaviour = Behaviour::from_query(query, self.settings.service);
        behaviour.calls.extend(self.own_calls(head.uri.path()));
        // A real target reads the body before it executes the request, so a truncated request is not executed.
        body.collect().await.map_err(std::io::Error::other)?;
        if behaviour.fault == Some(Fault::Shed) || !self.has_capacity() {
            self.log.shed();
            return Ok(shed());
        }
        let key = head.headers.get("idempotency-key");
        let key = key.and_then(|key| key.to_str().ok());
        self.execute(key.unwrap_or(head.uri.path()), &behaviour, &head.headers)
            .await
    }

    /// Outgoing calls that the settings ask for, with the placeholders filled in from the request's path.
    fn own_calls(&self, path: &str) -> impl Iterator<Item = String> {
        let class = path.split('/').nth(1).unwrap_or_default();
        let id = path.rsplit('/').next().unwrap_or_default();
        let calls = self.settings.calls.iter();
        calls.map(move |call| call.replace("CLASS", class).replace("ID", id))
    }

    /// Whether a slot is free or the queue has room.
    fn has_capacity(&self) -> bool {
        self.slots.available_permits() > 0
            || self.waiting.load(Ordering::Relaxed) < u64::from(self.settings.queue)
    }

    async fn execute(
        &self,
        key: &str,
        behaviour: &Behaviour,
        headers: &HeaderMap,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let waiting = Waiting::new(&self.waiting);
        let slot = self.slots.acquire().await.map_err(std::io::Error::other)?;
        drop(waiting);
        let execution = self.log.start(key);
        if behaviour.fault == Some(Fault::Crash) {
            std::process::exit(70);
        }
        for path in &behaviour.calls {
            let status = self.call_with_retries(path, headers).await?;
            if !status.is_success() {
                execution.finish();
                return Ok(reply(status, Bytes::from_static(b"a call failed")));
            }
        }
        let extra = Duration::from_micros(self.extra_service_us.load(Ordering::Relaxed));
        let service = behaviour.service + extra;
        // A sleep takes at least a millisecond, so it is skipped for a zero service time.
        if !service.is_zero() {
            tokio::time::sleep(service).await;
        }
        let response = self.finish(behaviour).await;
        execution.finish();
        drop(slot);
        response
    }

    /// Builds the response of an execution, including its fault.
    async fn finish(
        &self,
        behaviour: &Behaviour,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let body = Bytes::from(vec![b'x'; behaviour.body_bytes]);
        let mut response = match behaviour.fault {
            Some(Fault::Silent) => pending().await,
            Some(Fault::CutLength) => {
                let mut response = Response::new(truncated_body(body.slice(..body.len() / 2)));
                response
                    .headers_mut()
                    .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
                response
            }
            Some(Fault::CutChunked) => Response::new(truncated_body(body.slice(..body.len() / 2))),
            Some(Fault::Undeclared) => {
                let mut response =
                    Response::new(BoxBody::new(StreamBody::new(stream::iter([Ok(
                        Frame::data(body),
                    )]))));
                *response.version_mut() = http::Version::HTTP_10;
                response
            }
            _ => reply(StatusCode::OK, body),
        };
        response
            .headers_mut()
            .insert("endpoint-load-metrics", self.load_report());
        // Distinguishes the responses of two executions of one key.
        response.headers_mut().insert(
            "standin-execution",
            HeaderValue::from(rand::random::<u64>()),
        );
        Ok(response)
    }

    /// Load report in the text format of ORCA (Open Request Cost Aggregation).
    fn load_report(&self) -> HeaderValue {
        let slots = self.settings.slots.max(1);
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(slots);
        let utilisation = f64::from(slots.saturating_sub(free)) / f64::from(slots);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let text = format!(
            "TEXT application_utilization={utilisation:.3},named_metrics.waiting={waiting}"
        );
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("TEXT"))
    }

    async fn call_with_retries(
        &self,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<StatusCode, std::io::Error> {
        let mut result = self.call(path, headers).await;
        for _ in 0..self.settings.call_retries {
            if result.as_ref().is_ok_and(StatusCode::is_success) {
                break;
            }
            result = self.call(path, headers).await;
        }
        result
    }

    /// Sends one call to the next address in turn, with the propagated headers of the request, and returns its status.
    async fn call(&self, path: &str, headers: &HeaderMap) -> Result<StatusCode, std::io::Error> {
        let addresses = &self.settings.call_addresses;
        if addresses.is_empty() {
            return Err(std::io::Error::other(
                "no address is configured for outgoing calls of the stand-in",
            ));
        }
        let turn = self.next_call.fetch_add(1, Ordering::Relaxed);
        let node = addresses[turn % addresses.len()];
        let stream = TcpStream::connect(node).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = client::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let mut request = Request::get(path).header(header::HOST, node.to_string());
        for name in PROPAGATED_HEADERS {
            if let Some(value) = headers.get(name) {
                request = request.header(name, value);
            }
        }
        let request = request
            .body(Empty::<Bytes>::new())
            .map_err(std::io::Error::other)?;
        let exchange = async move {
            let response = sender.send_request(request).await?;
            let status = response.status();
            response.into_body().collect().await?;
            Ok::<_, hyper::Error>(status)
        };
        let (mut connection, mut exchange) = (pin!(connection), pin!(exchange));
        let status = tokio::select! {
            status = exchange.as_mut() => status,
            // A node that stops closes the connection after a complete response, which the exchange still returns.
            _ = connection.as_mut() => exchange.await,
        };
        status.map_err(std::io::Error::other)
    }

    fn executions_response(&self) -> Result<Response<ResponseBody>, std::io::Error> {
        let json = serde_json::to_vec(&self.log.snapshot())?;
        Ok(reply(StatusCode::OK, Bytes::from(json)))
    }

    fn set_extra_time(&self, query: &str) -> Response<ResponseBody> {
        let extra_ms = query
            .strip_prefix("extra_ms=")
            .and_then(|text| text.parse::<u64>().ok());
        match extra_ms {
            Some(extra_ms) => {
                self.extra_service_us
                    .store(extra_ms.saturating_mul(1_000), Ordering::Relaxed);
                reply(StatusCode::OK, Bytes::new())
            }
            None => reply(
                StatusCode::BAD_REQUEST,
                Bytes::from_static(b"extra_ms is missing"),
            ),
        }
    }
}

/// Guard that counts a request as waiting for a slot until it is dropped.
struct Waiting<'a>(&'a AtomicU64);

impl<'a> Waiting<'a> {
    fn new(waiting: &'a AtomicU64) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn reply(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

fn shed() -> Response<ResponseBody> {
    let mut response = reply(
        StatusCode::SERVICE_UNAVAILABLE,
        Bytes::from_static(b"all slots are in use"),
    );
    response
        .headers_mut()
        .insert("jujubeline-outcome", HeaderValue::from_static("not_run"));
    response
}

/// Builds a body that sends the given bytes and then fails, which closes the connection.
fn truncated_body(bytes: Bytes) -> ResponseBody {
    let sent = stream::iter([Ok(Frame::data(bytes))]);
    let cut = stream::once(async {
        // Lets the server send the first part before the body fails.
        tokio::task::yield_now().await;
        Err(std::io::Error::other("cut on request"))
    });
    BoxBody::new(StreamBody::new(sent.chain(cut)))
}
