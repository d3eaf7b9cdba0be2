//! Connections to targets that another daemon opens and forwards.
//!
//! The daemon that asks sends [`RELAY_MARK`], its request and then the bytes for the target. The other
//! one sends a [`RelayAnswer`] and then the bytes of the target in frames: their length in two bytes,
//! then the bytes. An empty frame and one more byte tell how the target ended the connection. A
//! connection that ends without them lost the daemon on the way, and not the target.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use compact_str::CompactString;
use lapismoor_core::ids::{DaemonId, TargetId};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use crate::counted::ByteCounter;

/// First bytes of a connection to be forwarded. No message of the RPC protocol begins with them.
pub(crate) const RELAY_MARK: [u8; 4] = *b"RLY1";
/// Bytes of one read.
const READ_BYTES: usize = 8 << 10;
/// Length of the head of a frame, in bytes.
const FRAME_HEAD_BYTES: usize = 2;
/// Time in which a daemon that asks sends its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which bytes that still arrive are read after the end of the target's connection, so that
/// closing the connection does not discard the last frames.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// End of a connection that the target closed.
const CLOSED: u8 = 0;
/// End of a connection that the target reset, or whose path was lost.
const BROKEN: u8 = 1;

/// A connection that another daemon is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayRequest {
    /// The daemon that asks.
    pub asker: DaemonId,
    /// Target of the connection, as the store names it.
    pub target: TargetId,
    /// Time in which the connection must be open; whole milliseconds, at most a minute.
    pub timeout: Duration,
}

/// What became of a request for a connection. In all cases but the first, nothing reached the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayAnswer {
    /// The connection is open.
    Connected = 1,
    /// The target refused the connection.
    Refused = 2,
    /// The target did not accept the connection in time.
    Unreachable = 3,
    /// The daemon has no path to the target itself.
    WithoutPath = 4,
    /// The daemon does not know the target, or sends it no requests any more.
    NotInUse = 5,
    /// The daemon forwards as many connections as it may.
    Busy = 6,
    /// The daemon is about to exit.
    Stopping = 7,
}

impl RelayAnswer {
    fn from_byte(byte: u8) -> Option<Self> {
        let all = [
            Self::Connected,
            Self::Refused,
            Self::Unreachable,
            Self::WithoutPath,
            Self::NotInUse,
            Self::Busy,
            Self::Stopping,
        ];
        all.into_iter().find(|answer| *answer as u8 == byte)
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::WithoutPath => "without_path",
            Self::NotInUse => "not_in_use",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
        }
    }
}

/// Why another daemon opened no connection. Nothing reached the target.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The daemon cannot be reached, or broke the connection.
    #[snafu(display("cannot reach the daemon: {source}; trying another one"))]
    Io {
        /// Error of the socket.
        source: io::Error,
    },
    /// The daemon did not answer in time.
    #[snafu(display("the daemon did not answer in time; trying another one"))]
    Timeout,
    /// The daemon declined, or could not connect.
    #[snafu(display("the daemon opened no connection ({}); trying another one", answer.name()))]
    Declined {
        /// Its answer.
        answer: RelayAnswer,
    },
}

/// The daemon on the way was lost: what became of the target's connection is not known.
#[derive(Debug, Snafu)]
#[snafu(display("the daemon that forwards the connection was lost"))]
pub struct RelayLost;

/// Asks the daemon at `address` for a connection to a target, and waits for it at most `timeout`.
///
/// # Errors
/// [`RelayError`] if there is none. Nothing has reached the target then.
pub async fn open_relayed(
    address: SocketAddr,
    request: &RelayRequest,
    timeout: Duration,
    counter: ByteCounter,
) -> Result<RelayedStream, RelayError> {
    let opening = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let bytes = request.to_bytes();
        stream.write_all(&bytes).await?;
        let answer = stream.read_u8().await?;
        counter.add(bytes.len() + 1);
        Ok((stream, answer))
    };
    let opened = tokio::time::timeout(timeout, opening).await;
    let (stream, answer) = opened.map_err(|_| RelayError::Timeout)?.context(IoSnafu)?;
    match RelayAnswer::from_byte(answer) {
        Some(RelayAnswer::Connected) => Ok(RelayedStream {
            stream,
            counter,
            position: FramePosition::Head,
        }),
        Some(answer) => DeclinedSnafu { answer }.fail(),
        None => Err(RelayError::Io {
            source: io::ErrorKind::InvalidData.into(),
        }),
    }
}

impl RelayRequest {
    fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = RELAY_MARK.to_vec();
        let timeout_ms = u16::try_from(self.timeout.as_millis()).unwrap_or(u16::MAX);
        bytes.extend_from_slice(&timeout_ms.to_le_bytes());
        for name in [&self.asker, &self.target] {
            let length = u16::try_from(name.len()).unwrap_or(u16::MAX);
            bytes.extend_from_slice(&length.to_le_bytes());
            bytes.extend_from_slice(&name.as_bytes()[..length.into()]);
        }
        bytes
    }

    /// Reads what follows the mark.
    async fn read(stream: &mut TcpStream) -> io::Result<Self> {
        let timeout_ms = stream.read_u16_le().await?;
        let asker = read_name(stream).await?;
        let target = read_name(stream).await?;
        Ok(Self {
            asker,
            target,
            timeout: Duration::from_millis(timeout_ms.into()),
        })
    }
}

async fn read_name(stream: &mut TcpStream) -> io::Result<CompactString> {
    let length = stream.read_u16_le().await?;
    let mut bytes = vec![0; length.into()];
    stream.read_exact(&mut bytes).await?;
    let name = CompactString::from_utf8(bytes);
    name.map_err(|_| io::ErrorKind::InvalidData.into())
}

/// A request of another daemon for a connection.
pub struct RelayCall {
    stream: TcpStream,
    counter: ByteCounter,
    /// What it asks for.
    pub request: RelayRequest,
}

impl RelayCall {
    /// Reads the request that follows the mark; `None` if it does not arrive, or cannot be read.
    pub(crate) async fn read(mut stream: TcpStream, counter: ByteCounter) -> Option<Self> {
        let reading = tokio::time::timeout(REQUEST_TIMEOUT, RelayRequest::read(&mut stream));
        let request = reading.await.ok()?.ok()?;
        Some(Self {
            stream,
            counter,
            request,
        })
    }

    /// Answers that there is no connection, for the reason in `answer`.
    pub async fn refuse(mut self, answer: RelayAnswer) {
        // The other daemon may have left.
        drop(self.stream.write_all(&[answer as u8]).await);
    }

    /// Answers that `target` is connected, and forwards bytes until one end closes its connection.
    pub async fn forward(mut self, mut target: TcpStream) {
        let answer = [RelayAnswer::Connected as u8];
        if self.stream.write_all(&answer).await.is_err() {
            return;
        }
        let is_ended_by_target = {
            let (asker_reader, asker_writer) = self.stream.split();
            let (target_reader, target_writer) = target.split();
            tokio::select! {
                () = copy(asker_reader, target_writer, &self.counter) => false,
                () = copy_framed(target_reader, asker_writer, &self.counter) => true,
            }
        };
        drop(target);
        if is_ended_by_target {
            drop(self.stream.shutdown().await);
            let draining = async {
                let mut bytes = [0; 256];
                while matches!(self.stream.read(&mut bytes).await, Ok(1..)) {}
            };
            drop(tokio::time::timeout(CLOSE_TIME, draining).await);
        }
    }
}

/// Copies until one end closes its connection.
async fn copy(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    counter: &ByteCounter,
) {
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        counter.add(count);
        if writer.write_all(&buffer[..count]).await.is_err() {
            // The reason arrives with what the target sent last.
            std::future::pending::<()>().await;
        }
    }
}

/// Copies in frames until the reader ends, and then tells how.
async fn copy_framed(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    counter: &ByteCounter,
) {
    let mut buffer = vec![0; FRAME_HEAD_BYTES + READ_BYTES];
    loop {
        let end = match reader.read(&mut buffer[FRAME_HEAD_BYTES..]).await {
            Ok(0) => CLOSED,
            Err(_) => BROKEN,
            Ok(count) => {
                let length = u16::try_from(count).unwrap_or(u16::MAX);
                buffer[..FRAME_HEAD_BYTES].copy_from_slice(&length.to_le_bytes());
                let frame = &buffer[..FRAME_HEAD_BYTES + count];
                counter.add(frame.len());
                if writer.write_all(frame).await.is_err() {
                    return;
                }
                continue;
            }
        };
        // The other daemon may have left.
        drop(writer.write_all(&[0, 0, end]).await);
        return;
    }
}

/// Where the next byte of a forwarded connection belongs.
#[derive(Debug, Clone, Copy)]
enum FramePosition {
    /// It is the low byte of a frame's length.
    Head,
    /// It is the high byte of the length, whose low byte is this one.
    HeadEnd(u8),
    /// To the data of a frame, of which so many bytes are left.
    Data(u16),
    /// It tells how the target ended the connection.
    End,
    /// The target ended the connection.
    Closed,
}

/// A connection to a target that another daemon forwards.
#[derive(Debug)]
pub struct RelayedStream {
    stream: TcpStream,
    counter: ByteCounter,
    position: FramePosition,
}

impl RelayedStream {
    /// The socket to the other daemon.
    #[must_use]
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads one byte; an error if the connection ended.
    fn poll_byte(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<u8>> {
        let mut byte = [0];
        let mut buffer = ReadBuf::new(&mut byte);
        match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(())) if buffer.filled().is_empty() => Poll::Ready(Err(lost())),
            Poll::Ready(Ok(())) => Poll::Ready(Ok(byte[0])),
            Poll::Ready(Err(_)) => Poll::Ready(Err(lost())),
        }
    }
}

fn lost() -> io::Error {
    io::Error::other(RelayLost)
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.position {
                FramePosition::Head => {
                    let low = std::task::ready!(self.poll_byte(cx))?;
                    self.position = FramePosition::HeadEnd(low);
                }
                FramePosition::HeadEnd(low) => {
                    let high = std::task::ready!(self.poll_byte(cx))?;
                    self.position = match u16::from_le_bytes([low, high]) {
                        0 => FramePosition::End,
                        length => FramePosition::Data(length),
                    };
                }
                FramePosition::Data(left) => {
                    let wanted = usize::from(left).min(buffer.remaining());
                    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
                    let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
                    let count = part.filled().len();
                    if std::task::ready!(read).is_err() || (count == 0 && wanted > 0) {
                        return Poll::Ready(Err(lost()));
                    }
                    buffer.advance(count);
                    self.counter.add(count);
                    let read = u16::try_from(count).unwrap_or(left);
                    self.position = match left - read {
                        0 => FramePosition::Head,
                        left => FramePosition::Data(left),
                    };
                    return Poll::Ready(Ok(()));
                }
                FramePosition::End => {
                    let end = std::task::ready!(self.poll_byte(cx))?;
                    self.position = FramePosition::Closed;
                    if end != CLOSED {
                        return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                    }
                }
                FramePosition::Closed => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.counter.add(*count);
        }
        written.map_err(|_| lost())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream)
            .poll_flush(cx)
            .map_err(|_| lost())
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream)
            .poll_shutdown(cx)
            .map_err(|_| lost())
    }
}
