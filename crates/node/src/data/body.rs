//! Request and response bodies that pass through a node.

use {
    super::{entry_exchange::EntryExchange, gate::GateExchange},
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::time::Sleep,
    tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned},
};

/// Why a response body ended before its last byte. The server then resets the stream or closes the connection.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// The connection failed or ended before the declared length.
    #[display("the body was cut short: {_0}")]
    CutShort(hyper::Error),
    /// The deadline passed before the last byte arrived.
    #[display("the deadline passed before the end of the body")]
    Deadline,
    /// The inbound exchange on whose behalf the call was made ended.
    #[display("the exchange that the call belongs to ended")]
    Cancelled,
}

/// Body of a request to a gate or target.
#[derive(Debug)]
pub enum OutgoingBody {
    /// Buffered in full, so that it can be sent again.
    Whole(Bytes),
    /// Forwarded as it arrives, so that it can be sent only once.
    Streamed {
        /// Bytes at the start that have been read already.
        start: Bytes,
        /// What follows them.
        rest: Incoming,
    },
}

impl OutgoingBody {
    /// Bytes at the start of the body, or all of it.
    #[must_use]
    pub fn start(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Streamed { start, .. } => start,
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed { start, rest } if start.is_empty() => Pin::new(rest).poll_frame(cx),
            Self::Streamed { start, .. } => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(start)))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Streamed { start, rest } => start.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed { start, rest } => {
                let mut hint = rest.size_hint();
                let read = start.len() as u64;
                if let Some(upper) = hint.upper() {
                    hint.set_upper(upper + read);
                }
                hint.set_lower(hint.lower() + read);
                hint
            }
        }
    }
}

/// Origin of the bytes of a response body.
#[derive(Debug)]
enum Source {
    Whole(Bytes),
    Streamed(Incoming),
}

/// Body of a response, with the exchanges that end with it.
///
/// Dropping it early abandons the exchanges: the connection to the target is closed, and the stream to a gate is reset.
#[derive(Debug)]
pub struct ResponseBody {
    source: Source,
    deadline: Option<Pin<Box<Sleep>>>,
    ended: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    gate: Option<Box<GateExchange>>,
    entry: Option<Box<EntryExchange>>,
}

impl ResponseBody {
    /// An empty body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// A body that is buffered in full.
    #[must_use]
    pub const fn full(bytes: Bytes) -> Self {
        Self {
            source: Source::Whole(bytes),
            deadline: None,
            ended: None,
            gate: None,
            entry: None,
        }
    }

    /// A body that is forwarded from a target or gate and fails at the deadline.
    #[must_use]
    pub const fn streamed(incoming: Incoming, deadline: Pin<Box<Sleep>>) -> Self {
        Self {
            source: Source::Streamed(incoming),
            deadline: Some(deadline),
            ended: None,
            gate: None,
            entry: None,
        }
    }

    /// Attaches the exchange with the target, which completes or fails with this body.
    pub(super) fn attach_gate(&mut self, exchange: Box<GateExchange>) {
        self.gate = Some(exchange);
        if self.is_end_stream() {
            self.complete();
        }
    }

    /// Fails the body when `ended` is cancelled, that is, when the inbound exchange of the calling target ends.
    pub(super) fn end_with(&mut self, ended: CancellationToken) {
        self.ended = Some(Box::pin(ended.cancelled_owned()));
    }

    /// Attaches the exchange with the caller, which completes or fails with this body.
    pub(super) fn attach_entry(&mut self, exchange: Box<EntryExchange>) {
        self.entry = Some(exchange);
        if self.is_end_stream() {
            self.complete();
        }
    }

    fn complete(&mut self) {
        self.deadline = None;
        if let Some(gate) = self.gate.take() {
            gate.complete();
        }
        if let Some(entry) = self.entry.take() {
            entry.complete();
        }
    }

    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.deadline = None;
        if let Some(gate) = self.gate.take() {
            gate.fail(&error);
        }
        if let Some(entry) = self.entry.take() {
            entry.fail(&error);
        }
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = match &mut this.source {
            Source::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Source::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Source::Streamed(incoming) => Pin::new(incoming).poll_frame(cx),
        };
        match polled {
            Poll::Ready(None) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => this.fail(BodyError::CutShort(error)),
            Poll::Ready(Some(Ok(frame))) => {
                // The server does not poll again after the last frame of a body of known length, so complete it here.
                if this.is_end_stream() {
                    this.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => {
                if is_ready(this.deadline.as_mut(), cx) {
                    this.fail(BodyError::Deadline)
                } else if is_ready(this.ended.as_mut(), cx) {
                    this.fail(BodyError::Cancelled)
                } else {
                    Poll::Pending
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(bytes) => bytes.is_empty(),
            Source::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Source::Streamed(incoming) => incoming.size_hint(),
        }
    }
}

fn is_ready<F: Future<Output = ()>>(
    future: Option<&mut Pin<Box<F>>>,
    cx: &mut Context<'_>,
) -> bool {
    future.is_some_and(|future| future.as_mut().poll(cx).is_ready())
}
