//! A target with a fixed number of slots.

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

/// Headers that a target copies from a request to its own calls.
const PROPAGATED: [&str; 3] = [
    "jujubeline-deadline-ms",
    "jujubeline-root",
    "jujubeline-hop",
];

type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Settings of the stand-in.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// Requests that run together.
    pub slots: u32,
    /// Connections that are announced.
    pub connections: u32,
    /// Time that a request holds a slot, unless its query says otherwise.
    pub service: Duration,
    /// Requests that wait for a slot before further ones are shed.
    pub queue: u32,
    /// Where the target sends calls of its own, in turn: the callers' address of the node beside it, or other targets.
    pub call_addresses: Vec<SocketAddr>,
    /// Paths that the target calls for each request, after those that the request names. `CLASS` stands for the first
    /// segment of the request's path and `ID` for its last.
    pub calls: Vec<String>,
    /// Times that the target sends a failed call again.
    pub call_retries: u32,
    /// File to which each execution is appended at its start, so that executions of killed targets count too.
    pub journal: Option<PathBuf>,
}

/// A running stand-in.
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
    waiting: AtomicU64,
    /// Time added to each execution, to make the target slow while it runs.
    extra_service_us: AtomicU64,
    next_call: AtomicUsize,
    log: ExecutionLog,
    stopping: CancellationToken,
}

impl TargetStandin {
    /// Starts listening.
    ///
    /// # Errors
    ///
    /// When the address cannot be used.
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

    /// Where the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What was executed so far.
    #[must_use]
    pub fn executions(&self) -> Executions {
        self.shared.log.snapshot()
    }

    /// Adds this time to each execution from now on.
    pub fn slow_down(&self, extra: Duration) {
        let extra_us = u64::try_from(extra.as_micros()).unwrap_or(u64::MAX);
        self.shared
            .extra_service_us
            .store(extra_us, Ordering::Relaxed);
    }

    /// The announcement of the stand-in in a state.
    #[must_use]
    pub fn announcement(&self, state: &'static str) -> Announcement {
        Announcement {
            address: self.address,
            state,
            slots: self.shared.settings.slots,
            connections: self.shared.settings.connections,
        }
    }

    /// Closes the socket and all connections.
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
            "/standin/executions" => return self.show_executions(),
            "/standin/slow" => return Ok(self.set_slow(head.uri.query().unwrap_or_default())),
            _ => {}
        }
        let query = head.uri.query().unwrap_or_default();
        let mut behaviour = Behaviour::from_query(query, self.settings.service);
        behaviour.calls.extend(self.own_calls(head.uri.path()));
        // A real target reads the body before it does the work; a cut request is not executed.
        body.collect().await.map_err(std::io::Error::other)?;
        if behaviour.fault == Some(Fault::Shed) || !self.may_wait() {
            self.log.shed();
            return Ok(shed());
        }
        let key = head.headers.get("idempotency-key");
        let key = key.and_then(|key| key.to_str().ok());
        self.execute(key.unwrap_or(head.uri.path()), &behaviour, &head.headers)
            .await
    }

    fn own_calls(&self, path: &str) -> impl Iterator<Item = String> {
        let class = path.split('/').nth(1).unwrap_or_default();
        let id = path.rsplit('/').next().unwrap_or_default();
        let calls = self.settings.calls.iter();
        calls.map(move |call| call.replace("CLASS", class).replace("ID", id))
    }

    fn may_wait(&self) -> bool {
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
        // Even the shortest sleep takes a millisecond.
        if !service.is_zero() {
            tokio::time::sleep(service).await;
        }
        let response = self.finish(behaviour).await;
        execution.finish();
        drop(slot);
        response
    }

    async fn finish(
        &self,
        behaviour: &Behaviour,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let body = Bytes::from(vec![b'x'; behaviour.body_bytes]);
        let mut response = match behaviour.fault {
            Some(Fault::Silent) => pending().await,
            Some(Fault::CutLength) => {
                let mut response = Response::new(cut_body(body.slice(..body.len() / 2)));
                response
                    .headers_mut()
                    .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
                response
            }
            Some(Fault::CutChunked) => Response::new(cut_body(body.slice(..body.len() / 2))),
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
        // Tells the responses of two executions of one key apart.
        response.headers_mut().insert(
            "standin-execution",
            HeaderValue::from(rand::random::<u64>()),
        );
        Ok(response)
    }

    /// Load report in the text form of ORCA.
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

    /// Makes a call through the node beside the target, as a well-behaved target does.
    async fn call(&self, path: &str, headers: &HeaderMap) -> Result<StatusCode, std::io::Error> {
        let addresses = &self.settings.call_addresses;
        if addresses.is_empty() {
            return Err(std::io::Error::other(
                "the stand-in knows no node for its calls",
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
        for name in PROPAGATED {
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
            // A node that stops closes the connection after a whole response.
            _ = connection.as_mut() => exchange.await,
        };
        status.map_err(std::io::Error::other)
    }

    fn show_executions(&self) -> Result<Response<ResponseBody>, std::io::Error> {
        let json = serde_json::to_vec(&self.log.snapshot())?;
        Ok(reply(StatusCode::OK, Bytes::from(json)))
    }

    fn set_slow(&self, query: &str) -> Response<ResponseBody> {
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

/// Counts a request that waits for a slot.
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

/// A body that sends some bytes and then fails, which closes the connection.
fn cut_body(bytes: Bytes) -> ResponseBody {
    let sent = stream::iter([Ok(Frame::data(bytes))]);
    let cut = stream::once(async {
        // Gives the server the chance to send the first part.
        tokio::task::yield_now().await;
        Err(std::io::Error::other("cut on request"))
    });
    BoxBody::new(StreamBody::new(sent.chain(cut)))
}
