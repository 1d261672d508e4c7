//! Close of a connection in stages, so that its caller gets the last answer whole (RFC 9112, section 9.6).
//!
//! A socket that is closed while bytes of the caller are unread resets the connection, and the system then drops what
//! it has not yet delivered. So the node ends its own side, reads on and discards until the caller closes too. What is
//! discarded is never parsed, so none of it reaches a target.

use {
    rustix::net::Shutdown,
    std::{
        io::{self, ErrorKind},
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{net::TcpStream, sync::Semaphore, task::coop::consume_budget, time::timeout},
    tokio_util::sync::CancellationToken,
};

/// Time for which the node reads on; longer than callers usually wait for an answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that are discarded per connection: a large request body that was on its way.
const MAX_DISCARDED_BYTES: usize = 8 * 1_024 * 1_024;

/// Connections of a node that may linger at the same time, a quarter of what one listener accepts.
const MAX_LINGERING: usize = 1_024;

/// Bytes discarded by one read.
const READ_BYTES: usize = 8 * 1_024;

/// Why the node stopped reading from a connection after its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LingerEnd {
    /// The caller closed or reset the connection.
    CallerClosed,
    /// The caller was still there at the end of the time limit.
    TimeLimit,
    /// The caller sent more than is discarded from one connection.
    ByteLimit,
    /// As many connections as may linger did so already.
    ConnectionLimit,
    /// The grace time of the node's stop ended.
    StopEnded,
}

impl LingerEnd {
    /// All ends, in the order of their counters.
    pub const ALL: [Self; 5] = [
        Self::CallerClosed,
        Self::TimeLimit,
        Self::ByteLimit,
        Self::ConnectionLimit,
        Self::StopEnded,
    ];

    /// Label in the metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller_closed",
            Self::TimeLimit => "time_limit",
            Self::ByteLimit => "byte_limit",
            Self::ConnectionLimit => "connection_limit",
            Self::StopEnded => "stop_ended",
        }
    }
}

/// Closes the connections of all listeners of a node, within bounds on time, bytes and connections.
#[derive(Debug)]
pub struct LingeringCloses {
    room: Semaphore,
    counts: [AtomicU64; LingerEnd::ALL.len()],
}

impl Default for LingeringCloses {
    fn default() -> Self {
        Self {
            room: Semaphore::new(MAX_LINGERING),
            counts: Default::default(),
        }
    }
}

impl LingeringCloses {
    /// Connections whose close ended in this way.
    #[must_use]
    pub fn count(&self, end: LingerEnd) -> u64 {
        self.counts[end as usize].load(Ordering::Relaxed)
    }

    /// Ends the node's side of a connection and reads on until the caller closes, a bound is reached or `stop_ended` is
    /// cancelled. The caller of this function drops the stream afterwards, which closes it.
    pub async fn close(&self, stream: &TcpStream, stop_ended: &CancellationToken) {
        let end = self.read_to_end(stream, stop_ended).await;
        self.counts[end as usize].fetch_add(1, Ordering::Relaxed);
    }

    async fn read_to_end(&self, stream: &TcpStream, stop_ended: &CancellationToken) -> LingerEnd {
        let Ok(_room) = self.room.try_acquire() else {
            return LingerEnd::ConnectionLimit;
        };
        // Fails if the caller has reset the connection.
        if rustix::net::shutdown(stream, Shutdown::Write).is_err() {
            return LingerEnd::CallerClosed;
        }
        tokio::select! {
            biased;
            discarded = timeout(LINGER_TIMEOUT, discard(stream)) => {
                discarded.unwrap_or(LingerEnd::TimeLimit)
            }
            () = stop_ended.cancelled() => LingerEnd::StopEnded,
        }
    }
}

/// Reads and discards until the connection ends or the limit on bytes is reached.
async fn discard(stream: &TcpStream) -> LingerEnd {
    let mut discarded = 0;
    while stream.readable().await.is_ok() {
        match discard_available(stream) {
            Ok(0) => break,
            Ok(count) => discarded += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        if discarded > MAX_DISCARDED_BYTES {
            return LingerEnd::ByteLimit;
        }
        // A caller that sends without pause must not keep the thread from other connections.
        consume_budget().await;
    }
    LingerEnd::CallerClosed
}

/// Reads once. The buffer is not part of the future, for which each open connection keeps room.
fn discard_available(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; READ_BYTES])
}
