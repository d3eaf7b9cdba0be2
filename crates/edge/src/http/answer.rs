//! An answer of a target as it arrives.

use std::future::poll_fn;
use std::pin::Pin;

use actix_codec::Framed;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_http::{ResponseHead, StatusCode, header};
use bytes::{Bytes, BytesMut};
use snafu::ResultExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::connection::Connection;
use super::error::{BrokenSnafu, ExchangeError};

/// Room for one read of a body that ends with its connection, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Status and headers of an answer.
pub type AnswerHead = ResponseHead;

/// The body of an answer.
pub struct AnswerBody {
    source: Source,
}

enum Source {
    /// The body has a length or chunks.
    Framed(Box<Framed<TcpStream, ClientPayloadCodec>>),
    /// The body ends with the connection.
    UntilClose { io: TcpStream, first: Bytes },
    /// The body is whole; the connection may be used again.
    Whole(Option<Connection>),
    /// The body broke off.
    Broken,
}

impl AnswerBody {
    /// The body that follows `head` on a connection.
    pub(super) fn new(head: &ResponseHead, framed: Box<Framed<TcpStream, ClientCodec>>) -> Self {
        let source = if ends_with_connection(head) {
            let parts = framed.into_parts();
            Source::UntilClose {
                io: parts.io,
                first: parts.read_buf.freeze(),
            }
        } else if framed.codec_ref().message_type() == actix_http::h1::MessageType::None {
            let is_kept = framed.codec_ref().keep_alive();
            Source::Whole(is_kept.then(|| Connection::from_framed(framed)))
        } else {
            Source::Framed(Box::new(
                framed.into_map_codec(ClientCodec::into_payload_codec),
            ))
        };
        Self { source }
    }

    /// The next bytes; none when the body is whole.
    ///
    /// # Errors
    /// [`ExchangeError`] when the body was cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let result = self.read().await;
        if result.is_err() {
            self.source = Source::Broken;
        }
        result
    }

    /// The connection, if the body is whole and the target keeps the connection open.
    #[must_use]
    pub fn into_connection(self) -> Option<Connection> {
        match self.source {
            Source::Whole(connection) => connection,
            _ => None,
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        match &mut self.source {
            Source::Whole(_) => Ok(None),
            Source::Broken => Err(ExchangeError::CutOff),
            Source::UntilClose { io, first } => {
                if !first.is_empty() {
                    return Ok(Some(std::mem::take(first)));
                }
                let bytes = read_some(io).await?;
                if bytes.is_none() {
                    self.source = Source::Whole(None);
                }
                Ok(bytes)
            }
            Source::Framed(framed) => {
                let item = poll_fn(|cx| Pin::new(&mut **framed).next_item(cx)).await;
                match item {
                    Some(Ok(Some(bytes))) => Ok(Some(bytes)),
                    Some(Ok(None)) => {
                        self.finish();
                        Ok(None)
                    }
                    Some(Err(error)) => Err(payload_error(error)),
                    None => Err(ExchangeError::CutOff),
                }
            }
        }
    }

    fn finish(&mut self) {
        let source = std::mem::replace(&mut self.source, Source::Whole(None));
        let Source::Framed(framed) = source else {
            return;
        };
        if framed.codec_ref().keep_alive() {
            let framed = framed.into_map_codec(ClientPayloadCodec::into_message_codec);
            let connection = Connection::from_framed(Box::new(framed));
            self.source = Source::Whole(Some(connection));
        }
    }
}

async fn read_some(io: &mut TcpStream) -> Result<Option<Bytes>, ExchangeError> {
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

/// Whether an answer has neither a length nor chunks, though it may have a body.
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
