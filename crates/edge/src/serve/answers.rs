//! Answers to callers whose requests go by routes.

use std::io;

use actix_http::ResponseHead;
use actix_http::header::{self, HeaderMap};
use actix_web::body::BodyStream;
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use compact_str::CompactString;
use futures::{Stream, StreamExt};
use lapismoor_core::admission::Refusal;

use super::attempt::BufferedAnswer;
use super::body::BodyError;
use super::order::is_hop_by_hop;
use super::run::Outcome;
use crate::context::Edge;
use crate::dialect::EnvelopeError;

/// The answer to a request that was run to its end.
pub(crate) fn of(edge: &Edge, ending: Outcome) -> HttpResponse {
    match ending {
        Outcome::Buffered(answer)
        | Outcome::Failed {
            answer: Some(answer),
            ..
        } => whole(edge, answer),
        Outcome::Stream(head, relay) => {
            head_for(edge, &head).body(BodyStream::new(events(relay.into_stream())))
        }
        Outcome::Refused(refusal) => refused(edge, &refusal),
        Outcome::Failed { cause, is_late, .. } => {
            let status = if is_late { 504 } else { 502 };
            builder(edge, status).body(cause)
        }
    }
}

/// Answers a request that has not run.
pub(crate) fn refused(edge: &Edge, refusal: &Refusal) -> HttpResponse {
    let mut builder = builder(edge, refusal.status());
    if let Some(wait) = refusal.retry_after() {
        let mut headers = HeaderMap::new();
        (edge.dialect.write_retry_after)(wait, &mut headers);
        append(&mut builder, &headers);
    }
    builder.body(refusal.name())
}

/// Answers a request that cannot be understood.
pub(crate) fn malformed(edge: &Edge, error: &EnvelopeError) -> HttpResponse {
    log::warn!(error:%; "request_malformed");
    builder(edge, 400).body(error.to_string())
}

/// Answers a request whose body did not arrive.
pub(crate) fn bad_body(edge: &Edge, id: &CompactString, error: &BodyError) -> HttpResponse {
    log::warn!(request:% = id, error:%; "request_body_refused");
    let status = match error {
        BodyError::TooLong { .. } => 413,
        BodyError::CutOff { .. } => 400,
    };
    builder(edge, status).body(error.to_string())
}

fn whole(edge: &Edge, answer: BufferedAnswer) -> HttpResponse {
    head_for(edge, &answer.head).body(answer.body)
}

/// An error breaks the caller's connection off, so that a stream which is not whole never looks
/// whole.
fn events(
    events: impl Stream<Item = Result<Bytes, &'static str>>,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    events.then(|event| async move {
        if event.is_err() {
            // The server drops what it has not written when the body fails; events that came with
            // the end are written first.
            tokio::task::yield_now().await;
        }
        event.map_err(io::Error::other)
    })
}

/// Status and headers of a target's answer, for the caller.
fn head_for(edge: &Edge, head: &ResponseHead) -> HttpResponseBuilder {
    let mut builder = builder(edge, head.status.as_u16());
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH {
            headers.append(name.clone(), value.clone());
        }
    }
    append(&mut builder, &headers);
    builder
}

/// A stopping daemon closes each connection with its next answer.
fn builder(edge: &Edge, status: u16) -> HttpResponseBuilder {
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
