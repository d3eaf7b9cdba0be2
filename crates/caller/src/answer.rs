//! Turns the daemon's answers into HTTP responses.

use std::pin::pin;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use futures::future::{Either, select};
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::failure::{Failure, FailureKind};
use serde_json::json;

use crate::errors;
use crate::gateway::{AnswerMemory, AnswerParts, CallerAnswer, RelayedAnswer};
use crate::trace::TraceContext;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Longest answer that is collected, in bytes.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// Streams an answer to the caller as its parts arrive.
pub(crate) async fn stream_response(mut parts: AnswerParts, trace: TraceContext) -> HttpResponse {
    match parts.next().await {
        Some(CallerAnswer::Part(AnswerPart::Head {
            status,
            content_type,
        })) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let is_events = content_type.starts_with(EVENT_STREAM);
            HttpResponse::build(status)
                .insert_header(("content-type", content_type.as_str()))
                .insert_header(("x-request-id", trace.trace_id.as_str()))
                .streaming(body_stream(parts, is_events, trace))
        }
        Some(CallerAnswer::Fail(failure)) => errors::response(&failure, &trace.trace_id),
        Some(CallerAnswer::Relayed(answer)) => to_http(answer),
        _ => errors::response(&answer_cut(), &trace.trace_id),
    }
}

/// Copies status, headers and body of the answer from the daemon that owns the ticket.
fn to_http(answer: RelayedAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for header in answer.headers {
        response.append_header(header);
    }
    response.body(answer.body)
}

/// Body of a streamed response. An answer that is cut off must not look complete: an event stream
/// ends with an error event, any other body with an aborted connection.
fn body_stream(
    parts: AnswerParts,
    is_events: bool,
    trace: TraceContext,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> {
    futures::stream::unfold(Some((parts, trace)), move |state| async move {
        let (mut parts, trace) = state?;
        match parts.next().await {
            Some(CallerAnswer::Part(AnswerPart::Data(bytes))) => {
                Some((Ok(bytes), Some((parts, trace))))
            }
            Some(CallerAnswer::Part(AnswerPart::End)) => None,
            Some(CallerAnswer::Fail(failure)) => {
                Some((cut_marker(&failure, is_events, &trace), None))
            }
            _ => Some((cut_marker(&answer_cut(), is_events, &trace), None)),
        }
    })
}

/// Last item of a body that is cut off: an error event, or the error that aborts the connection.
fn cut_marker(
    failure: &Failure,
    is_events: bool,
    trace: &TraceContext,
) -> Result<Bytes, std::io::Error> {
    if !is_events {
        return Err(std::io::Error::other(failure.message.to_string()));
    }
    let body = errors::body(failure, &trace.trace_id);
    let event = format!("event: error\ndata: {}\n\n", json!(body));
    Ok(Bytes::from(event))
}

/// A complete answer.
pub(crate) enum Collected {
    /// Status and body from a target.
    Answer(u16, Bytes),
    /// Response from the daemon that owns the ticket, to be sent unchanged.
    Relayed(HttpResponse),
}

/// Buffers an answer until it is complete. Gives it up if it is too long, or if memory is short.
pub(crate) async fn collect(
    mut parts: AnswerParts,
    mut memory: AnswerMemory,
) -> Result<Collected, Failure> {
    let mut status = StatusCode::OK.as_u16();
    let mut body = Vec::new();
    loop {
        let next = pin!(parts.next());
        let part = match select(&mut memory.revoked, next).await {
            Either::Left(_) => return Err(answer_cut()),
            Either::Right((part, _)) => part,
        };
        match part {
            Some(CallerAnswer::Part(AnswerPart::Head { status: head, .. })) => status = head,
            Some(CallerAnswer::Part(AnswerPart::Data(bytes))) => {
                let is_short = body.len() + bytes.len() <= MAX_COLLECTED_BYTES;
                if !is_short || !(memory.reserve)(bytes.len()).await {
                    return Err(answer_cut());
                }
                body.extend_from_slice(&bytes);
            }
            Some(CallerAnswer::Part(AnswerPart::End)) => {
                return Ok(Collected::Answer(status, Bytes::from(body)));
            }
            Some(CallerAnswer::Relayed(answer)) => return Ok(Collected::Relayed(to_http(answer))),
            Some(CallerAnswer::Fail(failure)) => return Err(failure),
            _ => return Err(answer_cut()),
        }
    }
}

/// Failure for an answer that was cut off; a target may have run the request.
pub(crate) fn answer_cut() -> Failure {
    Failure::unknown(FailureKind::AnswerCut, None)
}
