//! Connections to other nodes, opened on demand.

use {
    super::{
        call::{CallFailure, ClaimsReply, Reply, Request},
        observed_read::{LastReceived, ObservedRead},
    },
    capnp::message::ReaderOptions,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::{
        future::{Either, select},
        io::{BufReader, BufWriter},
    },
    jujubeline_coordination::claims::ResolveReply,
    jujubeline_protocol::{
        MAX_RPC_WORDS,
        claims::{
            ClaimCall, ClaimRequest, read_adopt_reply, read_claim_answer, read_fence_reply,
            read_resolve_result, write_adopt, write_claim, write_completed, write_fence,
            write_hand_over, write_resolve,
        },
        node_capnp::node,
        read_difference, read_members,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        task::{AbortHandle, JoinSet},
        time::{sleep_until, timeout_at},
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Maximum number of open connections to other nodes.
const MAX_CONNECTIONS: usize = 1_024;

/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time without a byte from the peer after which a call on a kept connection counts as unanswered. A change of the
/// configuration must be pulled within a second, also if all kept connections have gone silent.
const SILENCE: Duration = Duration::from_millis(300);

/// Limits for messages from another node.
pub(super) const READER_OPTIONS: ReaderOptions = ReaderOptions {
    traversal_limit_in_words: Some(MAX_RPC_WORDS),
    nesting_limit: 16,
};

/// The RPC system of one connection.
pub(super) fn system(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
    received: &LastReceived,
) -> RpcSystem<Side> {
    let (read, write) = stream.into_split();
    let network = VatNetwork::new(
        BufReader::new(ObservedRead::new(read, received).compat()),
        BufWriter::new(write.compat_write()),
        side,
        READER_OPTIONS,
    );
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    system.set_background_error_handler(|error| log::debug!("RPC background error: {error}"));
    system
}

/// One connection; its task ends when the last user drops it.
struct Connection {
    client: node::Client,
    last_used: Cell<Instant>,
    last_received: LastReceived,
    task: AbortHandle,
}

impl Connection {
    /// Returns when the peer has sent nothing for [`SILENCE`] after a call was sent.
    async fn falls_silent(&self, sent: Instant) {
        loop {
            let last = self.last_received.get().map_or(sent, |last| last.max(sent));
            let silent_at = last + SILENCE;
            if Instant::now() >= silent_at {
                return;
            }
            sleep_until(silent_at.into()).await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Open connections by control address, and the tasks that drive them.
#[derive(Default)]
pub(super) struct Connections {
    open: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
    tasks: RefCell<JoinSet<()>>,
    counts: Arc<CallCounts>,
}

/// Counters of calls to other nodes.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Calls on kept connections that got no byte from the peer in time. The connection is not used again.
    pub silent: AtomicU64,
    /// Calls among them that were repeated on a new connection.
    pub repeated: AtomicU64,
    /// Repeated calls that were answered on the new connection first.
    pub answered_anew: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Connections {
    /// No connections, with counters that outlive them.
    pub(super) fn new(counts: Arc<CallCounts>) -> Self {
        Self {
            counts,
            ..Self::default()
        }
    }

    /// Makes one call. A connection that is closed, or on which a call gets no reply in time, is not used again, since
    /// it may never answer.
    pub(super) async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Reply, CallFailure> {
        let connection = match timeout_at(deadline.into(), self.connection(to)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(_) => return Err(not_sent(&"no connection before the deadline")),
        };
        let replied = self.send_watched(to, &connection, request);
        match timeout_at(deadline.into(), replied).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    self.remove_connection(to, &connection);
                }
                Err(lost(&error))
            }
            Err(_) => {
                self.remove_connection(to, &connection);
                Err(lost(&"no reply before the deadline"))
            }
        }
    }

    /// Sends a request. If the peer then sends nothing, the connection may have gone silent for good, which no error
    /// shows: it is not used for other calls, and a read is repeated on a new connection, whichever answers first. A slow
    /// peer sends some bytes; its reply is waited for.
    async fn send_watched(
        &self,
        to: SocketAddr,
        connection: &Rc<Connection>,
        request: Request,
    ) -> Result<Reply, capnp::Error> {
        let sent = Instant::now();
        let is_new = connection.last_received.is_none();
        connection.last_used.set(sent);
        let repeated = request.is_read().then(|| request.clone());
        let mut first = pin!(send(&connection.client, request));
        if !is_new {
            tokio::select! {
                replied = &mut first => {
                    connection.last_used.set(Instant::now());
                    return replied;
                }
                () = connection.falls_silent(sent) => {
                    count(&self.counts.silent);
                    self.remove_connection(to, connection);
                }
            }
        }
        let Some(repeated) = repeated.filter(|_| !is_new) else {
            let replied = first.await;
            connection.last_used.set(Instant::now());
            return replied;
        };
        count(&self.counts.repeated);
        let second = pin!(async {
            let connection = self.connection(to).await.map_err(capnp::Error::failed)?;
            connection.last_used.set(Instant::now());
            send(&connection.client, repeated).await
        });
        match select(first, second).await {
            Either::Left((Ok(reply), _)) => Ok(reply),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Ok(reply), _)) => {
                count(&self.counts.answered_anew);
                Ok(reply)
            }
            Either::Right((Err(_), first)) => first.await,
        }
    }

    /// Closes idle connections, and joins tasks that have ended.
    pub(super) fn sweep(&self, now: Instant) {
        self.open.borrow_mut().retain(|_, connection| {
            let busy = Rc::strong_count(connection) > 1;
            let idle = now.saturating_duration_since(connection.last_used.get()) >= IDLE_TIMEOUT;
            !connection.task.is_finished() && (busy || !idle)
        });
        while self.tasks.borrow_mut().try_join_next().is_some() {}
    }

    /// Closes all connections and joins their tasks.
    pub(super) async fn close(&self) {
        self.open.borrow_mut().clear();
        let mut tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        tasks.shutdown().await;
    }

    async fn connection(&self, to: SocketAddr) -> Result<Rc<Connection>, String> {
        if let Some(connection) = self.present(to) {
            return Ok(connection);
        }
        if self.open.borrow().len() >= MAX_CONNECTIONS {
            return Err(format!(
                "the limit of {MAX_CONNECTIONS} open connections is reached"
            ));
        }
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| error.to_string())?;
        // Two calls may have connected at the same time; the first connection is kept.
        if let Some(connection) = self.present(to) {
            return Ok(connection);
        }
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let last_received = LastReceived::default();
        let mut system = system(stream, Side::Client, None, &last_received);
        let client: node::Client = system.bootstrap(Side::Server);
        let task = self.tasks.borrow_mut().spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("connection to node {to} failed: {error}");
            }
        });
        let connection = Rc::new(Connection {
            client,
            last_used: Cell::new(Instant::now()),
            last_received,
            task,
        });
        self.open.borrow_mut().insert(to, Rc::clone(&connection));
        Ok(connection)
    }

    fn present(&self, to: SocketAddr) -> Option<Rc<Connection>> {
        let open = self.open.borrow();
        let connection = open.get(&to)?;
        (!connection.task.is_finished()).then(|| Rc::clone(connection))
    }

    fn remove_connection(&self, to: SocketAddr, connection: &Rc<Connection>) {
        let mut open = self.open.borrow_mut();
        if open
            .get(&to)
            .is_some_and(|present| Rc::ptr_eq(present, connection))
        {
            open.remove(&to);
        }
    }
}

async fn send(client: &node::Client, request: Request) -> Result<Reply, capnp::Error> {
    match request {
        Request::Members(digest) => {
            let mut call = client.members_request();
            call.get().set_digest(&digest[..])?;
            let response = call.send().promise.await?;
            Ok(Reply::Members(read_members(
                response.get()?.get_members()?,
            )?))
        }
        Request::CatalogueSince(revision) => {
            let mut call = client.catalogue_since_request();
            call.get().set_revision(revision);
            let response = call.send().promise.await?;
            let difference = read_difference(response.get()?.get_difference()?)?;
            Ok(Reply::Difference(difference))
        }
        Request::Claims(call) => send_claims(client, call).await.map(Reply::Claims),
    }
}

async fn send_claims(client: &node::Client, call: ClaimCall) -> Result<ClaimsReply, capnp::Error> {
    let service = &*call.service;
    match call.request {
        ClaimRequest::Claim(claim) => {
            let mut call = client.claim_request();
            call.get().set_service(service);
            write_claim(call.get().init_claim(), &claim);
            let response = call.send().promise.await?;
            let reply = read_claim_answer(response.get()?.get_answer()?)?;
            Ok(ClaimsReply::Claim(reply))
        }
        ClaimRequest::Completed(completed) => {
            let mut call = client.completed_request();
            call.get().set_service(service);
            write_completed(call.get().init_completed(), &completed);
            call.send().promise.await?;
            Ok(ClaimsReply::Done)
        }
        ClaimRequest::Resolve(ask) => {
            let mut call = client.resolve_request();
            call.get().set_service(service);
            write_resolve(call.get().init_ask(), &ask);
            let response = call.send().promise.await?;
            let result = read_resolve_result(response.get()?.get_result()?)?;
            Ok(ClaimsReply::Resolved(ResolveReply { ask, result }))
        }
        ClaimRequest::Fence(fence) => {
            let mut call = client.fence_request();
            call.get().set_service(service);
            write_fence(call.get().init_fence(), &fence);
            let response = call.send().promise.await?;
            let reply = read_fence_reply(response.get()?.get_reply()?)?;
            Ok(ClaimsReply::Fenced(reply))
        }
        ClaimRequest::Adopt(adopt) => {
            let mut call = client.adopt_request();
            call.get().set_service(service);
            write_adopt(call.get().init_adopt(), &adopt)?;
            let response = call.send().promise.await?;
            let reply = read_adopt_reply(response.get()?.get_reply()?)?;
            Ok(ClaimsReply::Adopted(reply))
        }
        ClaimRequest::HandOver(hand_over) => {
            let mut call = client.hand_over_request();
            call.get().set_service(service);
            write_hand_over(call.get().init_hand_over(), &hand_over);
            let response = call.send().promise.await?;
            Ok(ClaimsReply::HandOver(response.get()?.get_accepted()))
        }
    }
}

fn not_sent(detail: &impl ToString) -> CallFailure {
    CallFailure::NotSent {
        detail: detail.to_string(),
    }
}

fn lost(detail: &impl ToString) -> CallFailure {
    CallFailure::Lost {
        detail: detail.to_string(),
    }
}
