//! Forwarding of TCP connections.

use {
    super::fault_relay::{Counts, Setting},
    std::{
        future::pending,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinSet,
        time::sleep,
    },
};

/// Maximum number of bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Accepts and forwards connections until the future is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    upstream: SocketAddr,
    setting: watch::Receiver<Setting>,
    counts: Arc<Counts>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client_stream, _)) = accepted else { continue };
                if setting.borrow().faults.cut {
                    continue;
                }
                counts.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(forward(client_stream, upstream, setting.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(
    client_stream: TcpStream,
    upstream: SocketAddr,
    setting: watch::Receiver<Setting>,
) {
    let Ok(server_stream) = TcpStream::connect(upstream).await else {
        return;
    };
    // The relay adds no delay besides the injected one, so small writes are sent at once.
    let _ = client_stream.set_nodelay(true);
    let _ = server_stream.set_nodelay(true);
    let setting_at_open = setting.borrow().number;
    let cut_after_bytes = setting.borrow().faults.cut_after_bytes;
    let (client_read, client_write) = client_stream.into_split();
    let (server_read, server_write) = server_stream.into_split();
    let up = Direction {
        setting: setting.clone(),
        setting_at_open,
        bytes_left: None,
    };
    let down = Direction {
        setting: setting.clone(),
        setting_at_open,
        bytes_left: cut_after_bytes,
    };
    tokio::select! {
        () = async {
            tokio::join!(up.copy_chunks(client_read, server_write), down.copy_chunks(server_read, client_write));
        } => {}
        () = closed_by_fault(setting, setting_at_open) => {}
    }
}

/// Returns when faults that were set after the connection opened require it to be closed.
async fn closed_by_fault(mut setting: watch::Receiver<Setting>, setting_at_open: u64) {
    let ends = |setting: &Setting| {
        setting.number > setting_at_open && (setting.faults.reset_open || setting.faults.cut)
    };
    if setting.wait_for(ends).await.is_err() {
        pending::<()>().await;
    }
}

/// State of one direction of a connection.
struct Direction {
    setting: watch::Receiver<Setting>,
    /// Sequence number of the faults that were in force when the connection opened.
    setting_at_open: u64,
    /// Bytes that may still be forwarded; `None` for no limit.
    bytes_left: Option<u64>,
}

impl Direction {
    async fn copy_chunks(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let Ok(count @ 1..) = from.read(&mut chunk).await else {
                let _ = to.shutdown().await;
                return;
            };
            let delay = self.setting.borrow().faults.delay();
            if !delay.is_zero() {
                sleep(delay).await;
            }
            if self.is_silent() {
                pending::<()>().await;
            }
            let allowed = self.allowed(count);
            if to.write_all(&chunk[..allowed]).await.is_err() || allowed < count {
                return;
            }
        }
    }

    fn is_silent(&self) -> bool {
        let setting = self.setting.borrow();
        setting.faults.silence_open && setting.number > self.setting_at_open
    }

    fn allowed(&mut self, count: usize) -> usize {
        let Some(left) = &mut self.bytes_left else {
            return count;
        };
        let allowed = count.min(usize::try_from(*left).unwrap_or(usize::MAX));
        *left -= allowed as u64;
        allowed
    }
}
