//! Reads the body of a caller's request.

use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_web::web::Payload;
use bytes::Bytes;
use futures::StreamExt;
use lapismoor_core::admission::Growth;
use snafu::Snafu;

use crate::buffers::{BufferLease, OutOfMemory, ReceivedBytes};

/// Longest body of a refused request that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Time in which the body of a refused request arrives if it was sent together with the head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which the rest of a body arrives for which there is no memory.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the body of a caller's request was not read. The text is sent to the caller.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// The body is longer than the configuration allows.
    #[snafu(display("the body is longer than {limit_bytes} bytes; send less"))]
    TooLong { limit_bytes: usize },
    /// The memory for the bodies of requests is used up.
    #[snafu(display("there is no room for the body; send the request again later"))]
    NoMemory,
    /// The connection failed before the body was complete.
    #[snafu(display("the body was cut off: {reason}; send it again"))]
    CutOff {
        /// Error of the connection.
        reason: String,
    },
}

/// Length of a body that its headers state, in bytes.
pub(crate) fn stated_length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    let bytes: u64 = value.to_str().ok()?.trim().parse().ok()?;
    Some(usize::try_from(bytes).unwrap_or(usize::MAX))
}

/// How a body grows whose headers may state its length.
pub(crate) fn growth(stated_bytes: Option<usize>) -> Growth {
    match stated_bytes {
        Some(_) => Growth::Stated,
        None => Growth::Open,
    }
}

/// Reads a body of at most `limit_bytes` into memory that is counted. The lease is to be kept while the
/// body is in use.
pub(crate) async fn read(
    payload: &mut Payload,
    stated_bytes: Option<usize>,
    limit_bytes: usize,
    lease: BufferLease,
) -> Result<(Bytes, BufferLease), BodyError> {
    if stated_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLong { limit_bytes });
    }
    let mut received = ReceivedBytes::new(lease);
    let result = match received.expect(stated_bytes.unwrap_or_default()).await {
        Ok(()) => receive(payload, limit_bytes, &mut received).await,
        Err(OutOfMemory) => Err(BodyError::NoMemory),
    };
    match result {
        Ok(()) => Ok(received.into_held()),
        Err(error) => {
            drop(received);
            if matches!(error, BodyError::NoMemory) {
                // A caller that still sends would not read the response.
                drain(payload, limit_bytes, DRAIN_TIMEOUT).await;
            }
            Err(error)
        }
    }
}

async fn receive(
    payload: &mut Payload,
    limit_bytes: usize,
    received: &mut ReceivedBytes,
) -> Result<(), BodyError> {
    loop {
        let read = received.guard(payload.next()).await;
        let Some(chunk) = read.map_err(|OutOfMemory| BodyError::NoMemory)? else {
            return Ok(());
        };
        let chunk = chunk.map_err(|error| BodyError::CutOff {
            reason: error.to_string(),
        })?;
        if received.len() + chunk.len() > limit_bytes {
            return Err(BodyError::TooLong { limit_bytes });
        }
        let pushed = received.push(&chunk).await;
        pushed.map_err(|OutOfMemory| BodyError::NoMemory)?;
    }
}

/// Reads the body of a request that is refused, if it is short and arrives at once. The connection
/// of a caller whose body is not read is closed, together with the requests that follow on it.
pub(crate) async fn discard(payload: &mut Payload) {
    drain(payload, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await;
}

/// Reads a body of at most `limit_bytes` that arrives within `timeout`, and keeps nothing of it.
async fn drain(payload: &mut Payload, limit_bytes: usize, timeout: Duration) {
    let reading = async {
        let mut drained_bytes = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            drained_bytes += chunk.len();
            if drained_bytes > limit_bytes {
                return;
            }
        }
    };
    // A body that is late or long is left unread, and the connection is closed.
    drop(tokio::time::timeout(timeout, reading).await);
}
