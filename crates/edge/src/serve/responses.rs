//! HTTP responses to callers of routes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::ResponseHead;
use actix_http::header::{self, HeaderMap};
use actix_web::body::{BodySize, BodyStream, MessageBody};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use compact_str::CompactString;
use futures::{Stream, StreamExt};
use lapismoor_core::admission::Refusal;

use super::admitted_request::is_hop_by_hop;
use super::attempt::BufferedAnswer;
use super::body::BodyError;
use super::run::Outcome;
use crate::buffers::{Delivery, OutOfMemory};
use crate::context::Edge;
use crate::dialect::EnvelopeError;

/// Builds the response for the outcome of a request.
pub(crate) fn from_outcome(edge: &Edge, outcome: Outcome) -> HttpResponse {
    match outcome {
        Outcome::Buffered(answer)
        | Outcome::Failed {
            answer: Some(answer),
            ..
        } => buffered(edge, answer),
        Outcome::Stream(head, forwarder) => {
            response_for(edge, &head).body(BodyStream::new(event_body(forwarder.into_stream())))
        }
        Outcome::Refused(refusal) => refused(edge, &refusal),
        Outcome::Failed { cause, is_late, .. } => {
            let status = if is_late { 504 } else { 502 };
            response_builder(edge, status).body(cause)
        }
    }
}

/// Builds the response to a request that no target ran.
pub(crate) fn refused(edge: &Edge, refusal: &Refusal) -> HttpResponse {
    let mut builder = response_builder(edge, refusal.status());
    if let Some(wait) = refusal.retry_after() {
        let mut headers = HeaderMap::new();
        (edge.dialect.write_retry_after)(wait, &mut headers);
        append(&mut builder, &headers);
    }
    builder.body(refusal.name())
}

/// Builds the response to a request with invalid headers: 400.
pub(crate) fn malformed(edge: &Edge, error: &EnvelopeError) -> HttpResponse {
    log::warn!(error:%; "request_malformed");
    response_builder(edge, 400).body(error.to_string())
}

/// Builds the response to a request whose body is too long (413), late (408) or cut off (400).
pub(crate) fn bad_body(edge: &Edge, id: &CompactString, error: &BodyError) -> HttpResponse {
    log::warn!(request:% = id, error:%; "request_body_refused");
    let status = match error {
        BodyError::TooLong { .. } => 413,
        BodyError::CutOff { .. } => 400,
        BodyError::Late => 408,
        BodyError::NoMemory => 503,
    };
    response_builder(edge, status).body(error.to_string())
}

fn buffered(edge: &Edge, answer: BufferedAnswer) -> HttpResponse {
    response_for(edge, &answer.head).body(AnswerBody(answer.body))
}

/// Body of an answer that was buffered.
struct AnswerBody(Delivery);

impl MessageBody for AnswerBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let part = self.get_mut().0.next_part();
        // An error aborts the connection, so that the answer does not look complete.
        Poll::Ready(part.map(|part| part.map_err(|OutOfMemory| io::ErrorKind::OutOfMemory.into())))
    }
}

/// Turns events into a response body. An error aborts the caller's connection, so that a stream
/// that is cut off never looks complete.
fn event_body(
    events: impl Stream<Item = Result<Bytes, &'static str>>,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    events.then(|event| async move {
        if event.is_err() {
            // The server discards unwritten data when the body fails. Yielding lets it write the
            // events that were read just before the error.
            tokio::task::yield_now().await;
        }
        event.map_err(io::Error::other)
    })
}

/// Starts a response with the status and the end-to-end headers of a target's answer.
fn response_for(edge: &Edge, head: &ResponseHead) -> HttpResponseBuilder {
    let mut builder = response_builder(edge, head.status.as_u16());
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH {
            headers.append(name.clone(), value.clone());
        }
    }
    append(&mut builder, &headers);
    builder
}

/// Starts a response. A daemon that is shutting down closes each connection after its next
/// response.
fn response_builder(edge: &Edge, status: u16) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponseBuilder::new(status);
    if edge.stopping.is_cancelled() {
        builder.force_close();
    }
    builder
}

fn append(builder: &mut HttpResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers {
        builder.append_header((name.clone(), value.clone()));
    }
}
