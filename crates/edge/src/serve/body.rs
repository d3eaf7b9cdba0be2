//! Reads the body of a caller's request.

use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use snafu::Snafu;

/// Why the body of a caller's request was not read. The text is sent to the caller.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// The body is longer than the configuration allows.
    #[snafu(display("the body is longer than {limit_bytes} bytes; send less"))]
    TooLong { limit_bytes: usize },
    /// The connection failed before the body was complete.
    #[snafu(display("the body was cut off: {reason}; send it again"))]
    CutOff {
        /// Error of the connection.
        reason: String,
    },
}

/// Reads a body of at most `limit_bytes`.
pub(crate) async fn read(mut payload: Payload, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| BodyError::CutOff {
            reason: error.to_string(),
        })?;
        if body.len() + chunk.len() > limit_bytes {
            return Err(BodyError::TooLong { limit_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
