//! An HTTP/1.1 connection to a target.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHead, RequestHeadType, ResponseHead};
use bytes::Bytes;
use lapismoor_mirror::RelayedStream;
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::answer::AnswerBody;
use super::error::{ConnectSnafu, EncodeSnafu, ExchangeError};
use super::transport::Transport;

/// Time for which sent bytes may stay unacknowledged before the connection is closed, so that a
/// network path that drops packets silently is detected.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Size of the system's receive buffer, in bytes. It bounds what targets send that is not read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Answers to earlier requests that are skipped before the exchange fails.
const MAX_SKIPPED_ANSWERS: u32 = 3;

/// Bytes of such answers that are skipped before the exchange fails.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Time in which a proxy closes a connection for which it cannot reach the target.
const PROXY_CLOSE_TIME: Duration = Duration::from_millis(50);

/// A connection on which no request is in flight.
pub struct Connection {
    framed: Box<Framed<Transport, ClientCodec>>,
}

impl Connection {
    /// Opens a connection to `address` within `timeout`.
    ///
    /// # Errors
    /// [`ExchangeError`] for which [`ExchangeError::is_not_sent`] holds.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let Ok(connected) = connecting.await else {
            return Err(ExchangeError::ConnectTimeout);
        };
        let stream = connected.context(ConnectSnafu)?;
        Self::over(Transport::Direct(stream)).context(ConnectSnafu)
    }

    /// A connection that another daemon has opened and forwards.
    ///
    /// # Errors
    /// The error of the operating system if the options of the socket cannot be set.
    pub fn relayed(stream: RelayedStream) -> io::Result<Self> {
        Self::over(Transport::Relayed(stream))
    }

    fn over(transport: Transport) -> io::Result<Self> {
        configure_socket(transport.socket())?;
        SockRef::from(transport.socket()).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        Ok(Self {
            framed: Box::new(Framed::new(transport, ClientCodec::default())),
        })
    }

    /// Whether another daemon forwards the connection.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        matches!(self.framed.io_ref(), Transport::Relayed(_))
    }

    /// Waits until the other end would have closed the connection if it were a proxy that cannot reach
    /// the target; a proxy accepts connections also for one that is gone. Returns whether it is open.
    pub async fn lasts(&mut self) -> bool {
        tokio::time::sleep(PROXY_CLOSE_TIME).await;
        self.is_reusable()
    }

    pub(super) fn from_framed(framed: Box<Framed<Transport, ClientCodec>>) -> Self {
        Self { framed }
    }

    /// Whether the connection can carry another request: it is open, and no bytes arrived since the
    /// last answer.
    pub fn is_reusable(&mut self) -> bool {
        if !self.framed.is_read_buf_empty() {
            return false;
        }
        let mut context = Context::from_waker(Waker::noop());
        Pin::new(&mut *self.framed)
            .next_item(&mut context)
            .is_pending()
    }

    /// Sends a request and waits for the head of its answer. Late answers to earlier requests, for
    /// which `answers_request` is false, are skipped.
    ///
    /// # Errors
    /// [`ExchangeError`]. Unless [`ExchangeError::is_not_sent`] holds, the target may have run the
    /// request.
    pub async fn exchange(
        mut self,
        head: RequestHead,
        body: Bytes,
        answers_request: impl Fn(&ResponseHead) -> bool,
    ) -> Result<(ResponseHead, AnswerBody), ExchangeError> {
        self.write(head, body)?;
        let mut skipped_bytes = 0;
        for _ in 0..=MAX_SKIPPED_ANSWERS {
            let head = self.read_head().await?;
            if head.status.is_informational() {
                continue;
            }
            let is_wanted = answers_request(&head);
            let mut body = AnswerBody::new(&head, self.framed);
            if is_wanted {
                return Ok((head, body));
            }
            while let Some(bytes) = body.next().await? {
                skipped_bytes += bytes.len();
                if skipped_bytes > MAX_SKIPPED_BYTES {
                    return Err(ExchangeError::WrongRequest);
                }
            }
            self = body.into_connection().ok_or(ExchangeError::CutOff)?;
        }
        Err(ExchangeError::WrongRequest)
    }

    fn write(&mut self, head: RequestHead, body: Bytes) -> Result<(), ExchangeError> {
        let has_no_body = body.is_empty() && head.method == actix_http::Method::GET;
        let size = if has_no_body {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        let head = RequestHeadType::Owned(head);
        let mut framed = Pin::new(&mut *self.framed);
        framed
            .as_mut()
            .write(Message::Item((head, size)))
            .context(EncodeSnafu)?;
        if !body.is_empty() {
            let chunk = Message::Chunk(Some(body));
            framed.as_mut().write(chunk).context(EncodeSnafu)?;
        }
        Ok(())
    }

    /// Reads the head while writing the request, as a target may answer before it has read the
    /// whole body. The rest of the request is still written.
    async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut is_flushed = false;
        let head = poll_fn(|cx| {
            if !is_flushed {
                is_flushed = self.poll_flush(cx)?.is_ready();
            }
            match Pin::new(&mut *self.framed).next_item(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => Poll::Ready(Err(ExchangeError::CutOff)),
                Poll::Ready(Some(item)) => Poll::Ready(item.map_err(parse_error)),
            }
        })
        .await?;
        if !is_flushed {
            poll_fn(|cx| self.poll_flush(cx)).await?;
        }
        Ok(head)
    }

    fn poll_flush(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ExchangeError>> {
        type Outgoing = Message<(RequestHeadType, BodySize)>;
        let framed = Pin::new(&mut *self.framed);
        match framed.flush::<Outgoing>(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(())) => Poll::Ready(Ok(())),
            Poll::Ready(Err(source)) => Poll::Ready(Err(ExchangeError::Broken { source })),
        }
    }
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Connection({:?})",
            self.framed.io_ref().socket().peer_addr()
        )
    }
}

fn parse_error(error: ParseError) -> ExchangeError {
    match error {
        ParseError::Io(source) => ExchangeError::Broken { source },
        other => ExchangeError::Malformed {
            reason: other.to_string(),
        },
    }
}

/// Disables Nagle's algorithm and enables TCP timeouts and keepalive, so that a dead network path
/// is reported as an error.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
