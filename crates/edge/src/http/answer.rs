//! Answers of targets, read as they arrive.

use std::future::poll_fn;
use std::pin::Pin;

use actix_codec::{Decoder, Framed};
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_http::{ResponseHead, StatusCode, header};
use bytes::{Bytes, BytesMut};
use snafu::ResultExt;
use tokio::io::AsyncReadExt;

use super::connection::Connection;
use super::error::{BrokenSnafu, ExchangeError};
use super::transport::Transport;

/// Buffer size for one read of a body that ends when the connection closes, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Work after which other tasks get a turn, in bytes, so that long answers don't delay short ones.
const MAX_TURN_BYTES: usize = 64 * 1024;
/// Work of reading one chunk, however short it is, in bytes of a long one.
const CHUNK_WORK_BYTES: usize = 2 * 1024;

/// Maximum number of consecutive bytes of a body that delimit its chunks.
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Decodes a body, and fails if the target keeps sending bytes that hold no data, such as the size of
/// a chunk without end.
struct BoundedCodec {
    payload: ClientPayloadCodec,
    /// Bytes without data since the last piece of data.
    framing_bytes: usize,
}

impl Decoder for BoundedCodec {
    type Item = Option<Bytes>;
    type Error = PayloadError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let received_bytes = buffer.len();
        let item = self.payload.decode(buffer)?;
        if item.is_some() {
            self.framing_bytes = 0;
            return Ok(item);
        }
        self.framing_bytes += received_bytes - buffer.len();
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(PayloadError::Overflow);
        }
        Ok(None)
    }
}

/// Status and headers of an answer.
pub type AnswerHead = ResponseHead;

/// The body of an answer, read chunk by chunk.
pub struct AnswerBody {
    source: Source,
    /// Whether a length or chunks tell where the body ends; otherwise the connection ends with it.
    is_delimited: bool,
    /// Work since other tasks got a turn.
    turn_bytes: usize,
}

enum Source {
    /// The body has a `Content-Length` or is chunked.
    Framed(Box<Framed<Transport, BoundedCodec>>),
    /// The body ends when the connection closes. `buffered` was read together with the head.
    UntilClose { io: Transport, buffered: Bytes },
    /// The body was read completely. The connection is there if it can be reused.
    Complete(Option<Connection>),
    /// Reading failed.
    Failed,
}

impl AnswerBody {
    /// The body that follows `head` on the connection.
    pub(super) fn new(head: &ResponseHead, framed: Box<Framed<Transport, ClientCodec>>) -> Self {
        let ends_with_connection = ends_with_connection(head);
        let source = if ends_with_connection {
            let parts = framed.into_parts();
            Source::UntilClose {
                io: parts.io,
                buffered: parts.read_buf.freeze(),
            }
        } else if framed.codec_ref().message_type() == actix_http::h1::MessageType::None {
            let is_keep_alive = framed.codec_ref().keep_alive();
            Source::Complete(is_keep_alive.then(|| Connection::from_framed(framed)))
        } else {
            let framed = framed.into_map_codec(|codec| BoundedCodec {
                payload: codec.into_payload_codec(),
                framing_bytes: 0,
            });
            Source::Framed(Box::new(framed))
        };
        Self {
            source,
            is_delimited: !ends_with_connection,
            turn_bytes: 0,
        }
    }

    /// Whether the end of the body can be told from the end of the connection.
    #[must_use]
    pub fn is_delimited(&self) -> bool {
        self.is_delimited
    }

    /// The next bytes; `None` at the end of the body.
    ///
    /// # Errors
    /// [`ExchangeError`] if the body is cut off or malformed, also in each later call.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            tokio::task::yield_now().await;
        }
        let result = self.read().await;
        match &result {
            Ok(Some(bytes)) => self.turn_bytes += bytes.len() + CHUNK_WORK_BYTES,
            Ok(None) => {}
            Err(_) => self.source = Source::Failed,
        }
        result
    }

    /// The connection, if the body was read completely and the target keeps the connection open.
    #[must_use]
    pub fn into_connection(self) -> Option<Connection> {
        match self.source {
            Source::Complete(connection) => connection,
            _ => None,
        }
    }

    /// Closes the connection. Reading fails from then on.
    pub fn close(&mut self) {
        self.source = Source::Failed;
    }

    async fn read(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        match &mut self.source {
            Source::Complete(_) => Ok(None),
            Source::Failed => Err(ExchangeError::CutOff),
            Source::UntilClose { io, buffered } => {
                if !buffered.is_empty() {
                    return Ok(Some(std::mem::take(buffered)));
                }
                let bytes = read_chunk(io).await?;
                if bytes.is_none() {
                    self.source = Source::Complete(None);
                }
                Ok(bytes)
            }
            Source::Framed(framed) => {
                let item = poll_fn(|cx| Pin::new(&mut **framed).next_item(cx)).await;
                match item {
                    Some(Ok(Some(bytes))) => Ok(Some(bytes)),
                    Some(Ok(None)) => {
                        self.complete();
                        Ok(None)
                    }
                    Some(Err(error)) => Err(payload_error(error)),
                    None => Err(ExchangeError::CutOff),
                }
            }
        }
    }

    fn complete(&mut self) {
        let source = std::mem::replace(&mut self.source, Source::Complete(None));
        let Source::Framed(framed) = source else {
            return;
        };
        if framed.codec_ref().payload.keep_alive() {
            let framed = framed.into_map_codec(|codec| codec.payload.into_message_codec());
            let connection = Connection::from_framed(Box::new(framed));
            self.source = Source::Complete(Some(connection));
        }
    }
}

async fn read_chunk(io: &mut Transport) -> Result<Option<Bytes>, ExchangeError> {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    let count = io.read_buf(&mut buffer).await.context(BrokenSnafu)?;
    Ok((count > 0).then(|| buffer.freeze()))
}

fn payload_error(error: PayloadError) -> ExchangeError {
    match error {
        PayloadError::Io(source) | PayloadError::Incomplete(Some(source)) => {
            ExchangeError::Broken { source }
        }
        PayloadError::Incomplete(None) => ExchangeError::CutOff,
        other => ExchangeError::Malformed {
            reason: other.to_string(),
        },
    }
}

/// Whether an answer may have a body, but neither a length nor chunks to delimit it.
fn ends_with_connection(head: &ResponseHead) -> bool {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let headers = head.headers();
    !has_no_body
        && !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}
