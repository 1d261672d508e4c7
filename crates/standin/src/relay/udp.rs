//! Forwarding of UDP datagrams.

use {
    super::fault_relay::{Counts, Setting},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
    },
    tokio::{net::UdpSocket, sync::watch, task::JoinSet, time::sleep},
};

/// Maximum size of a forwarded datagram; longer ones are truncated.
const DATAGRAM_BYTES: usize = 2_048;

/// Maximum number of datagrams that wait for their delay; further ones are dropped.
const MAX_DELAYED: usize = 1_024;

/// Forwards datagrams to `upstream` until the future is dropped.
///
/// Only this direction is needed: nodes reply to the control address that the sender declares, not to the source
/// address of a datagram.
pub(super) async fn serve(
    socket: UdpSocket,
    upstream: SocketAddr,
    setting: watch::Receiver<Setting>,
    counts: Arc<Counts>,
) {
    let socket = Arc::new(socket);
    let mut delayed = JoinSet::new();
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let mut received = 0_u64;
    loop {
        let Ok((count, _)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        while delayed.try_join_next().is_some() {}
        received += 1;
        let faults = setting.borrow().faults.clone();
        let dropped = faults
            .drop_every
            .is_some_and(|every| received.is_multiple_of(every));
        if faults.cut || dropped || delayed.len() >= MAX_DELAYED {
            counts.dropped_datagrams.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        counts.datagrams.fetch_add(1, Ordering::Relaxed);
        let bytes = datagram[..count].to_vec();
        let out = socket.clone();
        delayed.spawn(async move {
            sleep(faults.delay()).await;
            let _ = out.send_to(&bytes, upstream).await;
        });
    }
}
