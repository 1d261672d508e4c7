//! An accepted connection, whose protocol may be detected by its first bytes.

use {
    super::caller_watch::CallerWatch,
    bytes::{Buf, BytesMut},
    futures::ready,
    rustix::net::Shutdown,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// First bytes of an HTTP/2 connection with prior knowledge (RFC 9113, section 3.4). No HTTP/1.1 method starts so.
const HTTP2_PREFACE_START: &[u8] = b"PRI ";

/// Room for the first bytes; most request heads fit.
const FIRST_BYTES: usize = 1_024;

/// Protocol of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 or HTTP/1.0.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// An accepted connection that first returns the bytes that were read for the detection of its protocol.
///
/// The detection of `hyper_util` passes on the first 24 bytes alone, after which the server doubles the read buffer of
/// the connection to 16 KB.
#[derive(Debug)]
pub struct AcceptedStream {
    caller: CallerWatch,
    first: Option<BytesMut>,
}

impl AcceptedStream {
    /// A connection whose protocol is known.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            caller: CallerWatch::new(stream),
            first: None,
        }
    }

    /// Reads until the protocol is known.
    ///
    /// # Errors
    ///
    /// When the connection fails or ends first.
    pub async fn detect(mut stream: TcpStream) -> io::Result<(Self, Protocol)> {
        let mut first = BytesMut::with_capacity(FIRST_BYTES);
        let protocol = loop {
            if stream.read_buf(&mut first).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let compared = first.len().min(HTTP2_PREFACE_START.len());
            if first[..compared] != HTTP2_PREFACE_START[..compared] {
                break Protocol::Http1;
            }
            if compared == HTTP2_PREFACE_START.len() {
                break Protocol::Http2;
            }
        };
        let detected = Self {
            caller: CallerWatch::new(stream),
            first: Some(first),
        };
        Ok((detected, protocol))
    }

    /// Watch that notices the end of this connection while nothing is read from it.
    pub fn caller(&self) -> CallerWatch {
        self.caller.clone()
    }

    fn stream(&self) -> &TcpStream {
        self.caller.stream()
    }
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(first) = &mut self.first {
            let count = first.len().min(buffer.remaining());
            buffer.put_slice(&first[..count]);
            first.advance(count);
            if first.is_empty() {
                self.first = None;
            }
            return Poll::Ready(Ok(()));
        }
        let polled = poll_io(
            cx,
            |cx| self.stream().poll_read_ready(cx),
            || self.stream().try_read_buf(buffer),
        );
        self.caller.set_awaited(polled.is_pending());
        if matches!(polled, Poll::Ready(Ok(0))) && buffer.remaining() > 0 {
            self.caller.set_end_read();
        }
        polled.map_ok(|_| ())
    }
}

impl AsyncWrite for AcceptedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.caller.set_written(Instant::now());
        poll_io(
            cx,
            |cx| self.stream().poll_write_ready(cx),
            || self.stream().try_write(bytes),
        )
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.caller.set_written(Instant::now());
        poll_io(
            cx,
            |cx| self.stream().poll_write_ready(cx),
            || self.stream().try_write_vectored(slices),
        )
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(rustix::net::shutdown(self.stream(), Shutdown::Write).map_err(Into::into))
    }
}

/// Repeats an operation of a socket until it does not block.
fn poll_io<T>(
    cx: &mut Context<'_>,
    poll_ready: impl Fn(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut operate: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready(cx))?;
        match operate() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}
