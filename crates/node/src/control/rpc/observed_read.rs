//! Read half of a connection that records when bytes arrive.

use {
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::tcp::OwnedReadHalf,
    },
};

/// Time at which bytes last arrived on a connection; none before the first ones.
#[derive(Debug, Clone, Default)]
pub(super) struct LastReceived(Rc<Cell<Option<Instant>>>);

impl LastReceived {
    pub(super) fn get(&self) -> Option<Instant> {
        self.0.get()
    }

    pub(super) fn is_none(&self) -> bool {
        self.0.get().is_none()
    }
}

/// Read half of a connection.
#[derive(Debug)]
pub(super) struct ObservedRead {
    half: OwnedReadHalf,
    received: LastReceived,
}

impl ObservedRead {
    pub(super) fn new(half: OwnedReadHalf, received: &LastReceived) -> Self {
        Self {
            half,
            received: received.clone(),
        }
    }
}

impl AsyncRead for ObservedRead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.half).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.received.0.set(Some(Instant::now()));
        }
        polled
    }
}
