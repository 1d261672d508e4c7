//! A new connection whose protocol is detected by its first bytes.

use {
    bytes::{Buf, BytesMut},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
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

/// A connection that first returns the bytes that were read for the detection.
///
/// The detection of `hyper_util` passes on the first 24 bytes alone, after which the server doubles the read buffer of
/// the connection to 16 KB.
#[derive(Debug)]
pub struct DetectedStream {
    stream: TcpStream,
    first: Option<BytesMut>,
}

impl DetectedStream {
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
        let first = Some(first);
        Ok((Self { stream, first }, protocol))
    }
}

impl AsyncRead for DetectedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(first) = &mut self.first else {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        };
        let count = first.len().min(buffer.remaining());
        buffer.put_slice(&first[..count]);
        first.advance(count);
        if first.is_empty() {
            self.first = None;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for DetectedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
