//! Counts the bytes exchanged with other daemons.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};

/// Shared count of bytes sent and received; clones add to the same count.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Rc<Cell<u64>>);

impl ByteCounter {
    /// Bytes sent and received so far.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes as u64);
    }
}

/// Adds the bytes read from and written to `inner` to a counter.
pub(crate) struct CountedStream<S> {
    inner: S,
    counter: ByteCounter,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, counter: ByteCounter) -> Self {
        Self { inner, counter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.counter.add(*bytes);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.counter.add(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
