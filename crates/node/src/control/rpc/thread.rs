//! The thread that runs all calls between nodes.

use {
    super::{
        call::{CallFailure, Command},
        connections::{CallCounts, Connections, system},
        observed_read::LastReceived,
        peers::Peers,
        server::{self, NodeServer, Services},
    },
    crate::control::{
        error::{ControlError, ControlResult, report},
        unreadable_members::UnreadableMembers,
    },
    capnp_rpc::rpc_twoparty_capnp::Side,
    jujubeline_core::{Peer, Step},
    jujubeline_protocol::node_capnp::node,
    std::{
        cell::Cell,
        rc::Rc,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc},
        task::{JoinSet, LocalSet},
        time::interval,
    },
    tokio_util::sync::CancellationToken,
};

/// Maximum number of calls that wait for the thread.
const MAX_WAITING_COMMANDS: usize = 256;

/// Maximum number of calls to other nodes in flight.
const MAX_CALLS: usize = 1_024;

/// Maximum number of connections from other nodes.
const MAX_INBOUND_CONNECTIONS: usize = 1_024;

/// Time without calls after which a connection from another node is closed, twice the time after which the node that
/// opened it closes it. A peer that was cut off never closes its end, and would otherwise occupy one of the connections
/// permanently.
const INBOUND_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Time between two checks for idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Pause after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(100);

/// Handle of the running thread.
#[derive(Debug)]
pub(in crate::control) struct RpcThread {
    thread: JoinHandle<()>,
}

impl RpcThread {
    /// Waits for the end of the thread, which follows the cancellation of its token.
    pub(in crate::control) async fn join(self) {
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("the thread for calls between nodes ended with a panic");
        }
    }
}

/// Starts the thread on an open listener.
pub(in crate::control) fn start(
    listener: std::net::TcpListener,
    services: Services,
    unreadable: Arc<UnreadableMembers>,
    stopping: CancellationToken,
) -> ControlResult<(RpcThread, Peers)> {
    let (sender, commands) = mpsc::channel(MAX_WAITING_COMMANDS);
    let counts = Arc::<CallCounts>::default();
    let counted = Arc::clone(&counts);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| failed(&error))?;
    let thread = std::thread::Builder::new()
        .name("jujubeline-rpc".to_owned())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(
                &runtime,
                run(listener, services, commands, counted, stopping),
            );
        })
        .map_err(|error| failed(&error))?;
    Ok((RpcThread { thread }, Peers::new(sender, counts, unreadable)))
}

async fn run(
    listener: std::net::TcpListener,
    services: Services,
    mut commands: mpsc::Receiver<Command>,
    counts: Arc<CallCounts>,
    stopping: CancellationToken,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("calls from other nodes cannot be accepted: {error}");
            return;
        }
    };
    let inbound_calls = Rc::new(Semaphore::new(server::MAX_CALLS));
    let connections = Rc::new(Connections::new(counts));
    let mut calls = JoinSet::new();
    let mut inbound = JoinSet::new();
    let mut sweep = interval(SWEEP_PERIOD);
    loop {
        tokio::select! {
            () = stopping.cancelled() => break,
            Some(command) = commands.recv() => {
                if calls.len() >= MAX_CALLS {
                    refuse(command);
                } else {
                    calls.spawn_local(serve(Rc::clone(&connections), command));
                }
            }
            accepted = listener.accept(), if inbound.len() < MAX_INBOUND_CONNECTIONS => match accepted {
                Ok((stream, _)) => {
                    // If this fails, replies may be delayed, but they are still correct.
                    let _ = stream.set_nodelay(true);
                    let calls = Rc::clone(&inbound_calls);
                    inbound.spawn_local(serve_peer(stream, services.clone(), calls));
                }
                Err(error) => {
                    log::debug!("cannot accept a connection from another node: {error}");
                    tokio::time::sleep(ACCEPT_BACK_OFF).await;
                }
            },
            Some(_) = calls.join_next() => {}
            Some(_) = inbound.join_next() => {}
            _ = sweep.tick() => connections.sweep(Instant::now()),
        }
    }
    calls.shutdown().await;
    connections.close().await;
    inbound.shutdown().await;
}

/// Serves one connection from another node until it ends or is idle for too long.
async fn serve_peer(stream: TcpStream, services: Services, calls: Rc<Semaphore>) {
    let last_used = Rc::new(Cell::new(tokio::time::Instant::now()));
    let server = NodeServer::new(services, calls, Rc::clone(&last_used));
    let client: node::Client = capnp_rpc::new_client(server);
    let received = LastReceived::default();
    let system = system(stream, Side::Server, Some(client.client), &received);
    let idle = async {
        while last_used.get().elapsed() < INBOUND_IDLE_TIMEOUT {
            tokio::time::sleep_until(last_used.get() + INBOUND_IDLE_TIMEOUT).await;
        }
    };
    tokio::select! {
        // The end of a connection by the peer is not an error.
        _ = system => {}
        () = idle => {}
    }
}

async fn serve(connections: Rc<Connections>, command: Command) {
    let deadline = Instant::now() + command.deadline;
    let replied = connections
        .call(command.to, command.request, deadline)
        .await;
    // The caller may have stopped waiting.
    let _ = command.reply.send(replied);
}

fn refuse(command: Command) {
    let failure = CallFailure::NotSent {
        detail: format!("the limit of {MAX_CALLS} calls in flight is reached"),
    };
    let _ = command.reply.send(Err(failure));
}

fn failed(error: &std::io::Error) -> error_stack::Report<ControlError> {
    report(
        ControlError::Start,
        Step::Listen,
        Peer::Local,
        format!("cannot start the thread for calls between nodes: {error}"),
    )
}
