//! Reads the body of a caller's request.

use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap};
use actix_web::web::Payload;
use bytes::Bytes;
use futures::Stream;
use lapismoor_core::admission::Growth;
use snafu::Snafu;

use crate::buffers::{BufferLease, OutOfMemory, ReceivedBytes};
use crate::caller_connection::ConnectionState;

/// Longest body of a refused request that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Time in which the body of a refused request arrives if it was sent together with the head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which the rest of a body arrives for which there is no memory.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a body waits for memory that other requests give back.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the body of a caller's request was not read. The text is sent to the caller.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// The body is longer than the configuration allows.
    #[snafu(display("the body is longer than {limit_bytes} bytes; send less"))]
    TooLong { limit_bytes: usize },
    /// The memory for the bodies of requests is used up.
    #[snafu(display("there is no room for the body; send the request again later"))]
    NoMemory,
    /// The caller stopped to send, or its deadline passed before the body was complete.
    #[snafu(display("the body did not arrive in time; send it again"))]
    Late,
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

/// What a body may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Length of the body.
    pub max_bytes: usize,
    /// Time until all of it has to be there; `None` if the caller has set no deadline.
    pub time_left: Option<Duration>,
    /// Time without a byte.
    pub idle_timeout: Duration,
}

/// Reads a body within `limits` into memory that is counted. The lease is to be kept while the body is in use.
pub(crate) async fn read(
    payload: &mut Payload,
    connection: Option<&ConnectionState>,
    stated_bytes: Option<usize>,
    limits: BodyLimits,
    lease: BufferLease,
) -> Result<(Bytes, BufferLease), BodyError> {
    let limit_bytes = limits.max_bytes;
    if stated_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLong { limit_bytes });
    }
    let mut received = ReceivedBytes::new(lease);
    let receiving = async {
        in_memory(received.expect(stated_bytes.unwrap_or_default())).await?;
        receive(payload, connection, limits, &mut received).await
    };
    let result = match limits.time_left {
        Some(time_left) => tokio::time::timeout(time_left, receiving)
            .await
            .unwrap_or(Err(BodyError::Late)),
        None => receiving.await,
    };
    if result.is_ok() && connection.is_none_or(ConnectionState::end_body) {
        return Ok(received.into_held());
    }
    drop(received);
    let error = result.err().unwrap_or(BodyError::NoMemory);
    if matches!(error, BodyError::NoMemory) {
        // A caller that still sends would not read the response.
        drain(payload, connection, limit_bytes, DRAIN_TIMEOUT).await;
    }
    Err(error)
}

/// Waits for memory for as long as others may give some back.
async fn in_memory(
    reserving: impl Future<Output = Result<(), OutOfMemory>>,
) -> Result<(), BodyError> {
    let reserved = tokio::time::timeout(MEMORY_TIMEOUT, reserving).await;
    reserved
        .unwrap_or(Err(OutOfMemory))
        .map_err(|OutOfMemory| BodyError::NoMemory)
}

async fn receive(
    payload: &mut Payload,
    connection: Option<&ConnectionState>,
    limits: BodyLimits,
    received: &mut ReceivedBytes,
) -> Result<(), BodyError> {
    let limit_bytes = limits.max_bytes;
    loop {
        let read = received.guard(next_chunk(payload, connection));
        let read = tokio::time::timeout(limits.idle_timeout, read).await;
        let read = read.map_err(|_| BodyError::Late)?;
        let Some(chunk) = read.map_err(|OutOfMemory| BodyError::NoMemory)? else {
            return Ok(());
        };
        let chunk = chunk.map_err(|error| BodyError::CutOff {
            reason: error.to_string(),
        })?;
        if received.len() + chunk.len() > limit_bytes {
            return Err(BodyError::TooLong { limit_bytes });
        }
        in_memory(received.push(&chunk)).await?;
    }
}

/// The next bytes of a body. Lets the server read on when all that arrived was taken.
async fn next_chunk(
    payload: &mut Payload,
    connection: Option<&ConnectionState>,
) -> Option<Result<Bytes, PayloadError>> {
    poll_fn(|context| {
        let next = Pin::new(&mut *payload).poll_next(context);
        if next.is_pending()
            && let Some(connection) = connection
        {
            connection.read_on();
        }
        next
    })
    .await
}

/// Reads the body of a request that is refused, if it is short and arrives at once. The connection
/// of a caller whose body is not read is closed, together with the requests that follow on it.
pub(crate) async fn discard(payload: &mut Payload, connection: Option<&ConnectionState>) {
    drain(payload, connection, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await;
}

/// Reads a body of at most `limit_bytes` that arrives within `timeout`, and keeps nothing of it.
async fn drain(
    payload: &mut Payload,
    connection: Option<&ConnectionState>,
    limit_bytes: usize,
    timeout: Duration,
) {
    let reading = async {
        let mut drained_bytes = 0;
        while let Some(chunk) = next_chunk(payload, connection).await {
            drained_bytes = chunk.map_or(usize::MAX, |chunk| drained_bytes + chunk.len());
            if drained_bytes > limit_bytes {
                return;
            }
        }
        if let Some(connection) = connection {
            connection.end_body();
        }
    };
    // A body that is late or long is left unread, and the connection is closed.
    drop(tokio::time::timeout(timeout, reading).await);
}
