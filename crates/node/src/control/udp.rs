//! Datagrams between nodes.

use {
    super::{
        error::{ControlError, ControlResult, report},
        membership_actor::MembershipHandle,
        unreadable_members::UnreadableMembers,
    },
    crate::Allowances,
    jujubeline_coordination::membership::{Datagram, DatagramKind, MAX_DATAGRAM_BYTES},
    jujubeline_core::{Peer, Step},
    jujubeline_protocol::{decode_datagram, encode_datagram},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// Attempts to find a port that is free for TCP and UDP when the system chooses it.
const PORT_ATTEMPTS: usize = 16;

/// Pause after a socket error, so that a persistent error does not cause a busy loop.
const ERROR_BACK_OFF: Duration = Duration::from_millis(10);

/// Counters of lost datagrams since the start.
#[derive(Debug, Default)]
pub struct DatagramCounts {
    /// Not sent, because the socket buffer was full or the address unusable.
    pub unsent: AtomicU64,
    /// Dropped because they were not valid messages.
    pub malformed: AtomicU64,
    /// Dropped because the mailbox of the membership actor was full.
    pub overflowed: AtomicU64,
}

/// Sends datagrams without waiting.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    socket: Arc<UdpSocket>,
    counts: Arc<DatagramCounts>,
}

impl Sender {
    pub(super) const fn new(socket: Arc<UdpSocket>, counts: Arc<DatagramCounts>) -> Self {
        Self { socket, counts }
    }

    /// Sends a datagram. One that cannot be sent is counted; the protocol treats it as lost.
    pub(super) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let sent = encode_datagram(datagram)
            .is_ok_and(|bytes| self.socket.try_send_to(&bytes, to).is_ok());
        if !sent {
            self.counts.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Opens TCP and UDP on one port.
pub(super) async fn bind(
    address: SocketAddr,
) -> ControlResult<(std::net::TcpListener, UdpSocket, SocketAddr)> {
    let mut last = String::new();
    for _ in 0..PORT_ATTEMPTS {
        let opened = async {
            let listener = std::net::TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            let chosen = listener.local_addr()?;
            let socket = UdpSocket::bind(chosen).await?;
            Ok::<_, std::io::Error>((listener, socket, chosen))
        };
        match opened.await {
            Ok(opened) => return Ok(opened),
            Err(error) => last = error.to_string(),
        }
        if address.port() != 0 {
            break;
        }
    }
    Err(report(
        ControlError::Start,
        Step::Listen,
        Peer::Setting("--control-address".to_owned()),
        format!("{address}: {last}"),
    ))
}

/// Receives datagrams until the task is cancelled.
pub(super) async fn receive(
    socket: Arc<UdpSocket>,
    membership: MembershipHandle,
    counts: Arc<DatagramCounts>,
    unreadable: Arc<UnreadableMembers>,
    allowances: Arc<Allowances>,
) {
    // One byte more than allowed, so that a longer datagram is detected as too long.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            // For example, the system reports that the port of a peer is closed.
            tokio::time::sleep(ERROR_BACK_OFF).await;
            continue;
        };
        match decode_datagram(&buffer[..len]) {
            Ok(decoded) => {
                let datagram = unreadable.note(from, decoded);
                match datagram.kind {
                    DatagramKind::AllowanceAsk(ask) => allowances.handle_ask(from, &ask),
                    DatagramKind::AllowanceLoan(loan) => allowances.handle_loan(&loan),
                    _ if !membership.deliver_datagram(from, datagram) => {
                        counts.overflowed.fetch_add(1, Ordering::Relaxed);
                    }
                    _ => {}
                }
            }
            Err(error) => {
                counts.malformed.fetch_add(1, Ordering::Relaxed);
                log::debug!("invalid datagram from {from}: {error}");
            }
        }
    }
}
