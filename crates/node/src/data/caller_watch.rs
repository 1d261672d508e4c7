//! Notices that a caller has left while nothing is read from its connection.

use {
    futures::FutureExt,
    parking_lot::Mutex,
    std::{
        future::{Future, poll_fn},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::{
        io::{Interest, Ready},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Time between two checks of a connection from which nothing is read. A request of a caller that has left must not reach
/// a target half a second later; the rest is for the abort to reach the gate.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Time after the last write in which an answer may not have reached its caller. A connection that was idle for longer is
/// closed at once, so that a request which crosses the close stays unread and its caller may send it again.
const DELIVERY_TIME: Duration = Duration::from_secs(2);

/// The connection of a caller, shared by the HTTP server that reads from it, the checks of its end and its close.
///
/// The server sees the end of the connection only when it reads. It does not read while a request is served if it holds
/// further bytes of the caller, such as the next request, or if the request's body is not forwarded at present.
#[derive(Debug, Clone)]
pub struct CallerWatch {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Whether the last read found no bytes, so that the reader is woken by the next ones and by the end.
    is_awaited: AtomicBool,
    /// Whether the end of the connection was read, so that nothing of the caller is unread.
    is_end_read: AtomicBool,
    last_write: Mutex<Option<Instant>>,
}

impl CallerWatch {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            shared: Arc::new(Shared {
                stream,
                is_awaited: AtomicBool::new(false),
                is_end_read: AtomicBool::new(false),
                last_write: Mutex::default(),
            }),
        }
    }

    pub(super) fn stream(&self) -> &TcpStream {
        &self.shared.stream
    }

    pub(super) fn set_awaited(&self, is_awaited: bool) {
        self.shared.is_awaited.store(is_awaited, Ordering::Relaxed);
    }

    pub(super) fn set_end_read(&self) {
        self.shared.is_end_read.store(true, Ordering::Relaxed);
    }

    pub(super) fn set_written(&self, now: Instant) {
        *self.shared.last_write.lock() = Some(now);
    }

    /// Whether a close now could reset the connection before the caller has got an answer.
    pub(super) fn may_lose_answer(&self, now: Instant) -> bool {
        let is_end_read = self.shared.is_end_read.load(Ordering::Relaxed);
        let last_write = *self.shared.last_write.lock();
        !is_end_read
            && last_write.is_some_and(|at| now.saturating_duration_since(at) < DELIVERY_TIME)
    }

    /// Whether the caller has closed or reset the connection, also if bytes before the end are unread.
    pub fn has_left(&self) -> bool {
        let ready = self.shared.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
    }

    /// Runs the HTTP server of the connection. Returns whether the caller left before the server noticed it; the server
    /// must then be dropped.
    pub async fn serve<F: Future>(&self, mut server: Pin<&mut F>) -> bool {
        let mut timer: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| {
            if server.as_mut().poll(cx).is_ready() {
                return Poll::Ready(false);
            }
            if self.shared.is_awaited.load(Ordering::Relaxed) {
                timer = None;
                return Poll::Pending;
            }
            let timer = timer.get_or_insert_with(|| Box::pin(sleep(CHECK_PERIOD)));
            while timer.as_mut().poll(cx).is_ready() {
                if self.has_left() {
                    return Poll::Ready(true);
                }
                timer.as_mut().reset((Instant::now() + CHECK_PERIOD).into());
            }
            Poll::Pending
        })
        .await
    }
}
