//! Counts the bytes that daemons exchange.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};

/// Bytes sent and received so far.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Rc<Cell<u64>>);

impl ByteCounter {
    /// Bytes sent and received so far.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes as u64);
    }
}

/// A stream whose bytes are counted.
pub(crate) struct Counted<S> {
    inner: S,
    count: ByteCounter,
}

impl<S> Counted<S> {
    pub(crate) fn new(inner: S, count: ByteCounter) -> Self {
        Self { inner, count }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.count.add(*bytes);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.count.add(*bytes);
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
