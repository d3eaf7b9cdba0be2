//! The byte stream of a connection to a target: direct, or forwarded by another daemon.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use lapismoor_mirror::RelayedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte stream to a target.
#[derive(Debug)]
pub(super) enum Transport {
    /// The daemon's own connection.
    Direct(TcpStream),
    /// A connection that another daemon forwards.
    Relayed(RelayedStream),
}

impl Transport {
    /// The socket to the next hop.
    pub(super) fn socket(&self) -> &TcpStream {
        match self {
            Self::Direct(stream) => stream,
            Self::Relayed(stream) => stream.socket(),
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(cx, buffer),
            Self::Relayed(stream) => Pin::new(stream).poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(cx, bytes),
            Self::Relayed(stream) => Pin::new(stream).poll_write(cx, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Self::Relayed(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Relayed(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
