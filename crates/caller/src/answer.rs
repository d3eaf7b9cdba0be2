//! Answers to callers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::failure::{Failure, FailureKind};
use serde_json::json;

use crate::errors;
use crate::gateway::{CallerAnswer, Incoming, RelayedAnswer};
use crate::trace::TraceContext;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Passes an answer on as it comes.
pub(crate) async fn pass(mut incoming: Incoming, trace: TraceContext) -> HttpResponse {
    match incoming.next().await {
        Some(CallerAnswer::Part(AnswerPart::Head {
            status,
            content_type,
        })) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let is_events = content_type.starts_with(EVENT_STREAM);
            HttpResponse::build(status)
                .insert_header(("content-type", content_type.as_str()))
                .insert_header(("x-request-id", trace.trace_id.as_str()))
                .streaming(rest(incoming, is_events, trace))
        }
        Some(CallerAnswer::Fail(failure)) => errors::response(&failure, &trace.trace_id),
        Some(CallerAnswer::Relayed(answer)) => relayed(answer),
        _ => errors::response(&broken_off(), &trace.trace_id),
    }
}

/// Passes the answer of a ticket's owner on as it is.
fn relayed(answer: RelayedAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for header in answer.headers {
        response.append_header(header);
    }
    response.body(answer.body)
}

/// The body after the head. A cut answer never looks whole: server-sent events end with an error
/// event, other bodies with a broken connection.
fn rest(
    incoming: Incoming,
    is_events: bool,
    trace: TraceContext,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> {
    futures::stream::unfold(Some((incoming, trace)), move |state| async move {
        let (mut incoming, trace) = state?;
        match incoming.next().await {
            Some(CallerAnswer::Part(AnswerPart::Data(bytes))) => {
                Some((Ok(bytes), Some((incoming, trace))))
            }
            Some(CallerAnswer::Part(AnswerPart::End)) => None,
            Some(CallerAnswer::Fail(failure)) => Some((cut(&failure, is_events, &trace), None)),
            _ => Some((cut(&broken_off(), is_events, &trace), None)),
        }
    })
}

fn cut(failure: &Failure, is_events: bool, trace: &TraceContext) -> Result<Bytes, std::io::Error> {
    if !is_events {
        return Err(std::io::Error::other(failure.message.to_string()));
    }
    let body = errors::body(failure, &trace.trace_id);
    let event = format!("event: error\ndata: {}\n\n", json!(body));
    Ok(Bytes::from(event))
}

/// An answer that came whole.
pub(crate) enum Collected {
    /// Of a target.
    Answer(u16, Bytes),
    /// Of a ticket's owner, ready for the caller.
    Response(HttpResponse),
}

/// Collects an answer whole.
pub(crate) async fn collect(mut incoming: Incoming) -> Result<Collected, Failure> {
    let mut status = StatusCode::OK.as_u16();
    let mut body = Vec::new();
    loop {
        match incoming.next().await {
            Some(CallerAnswer::Part(AnswerPart::Head { status: head, .. })) => status = head,
            Some(CallerAnswer::Part(AnswerPart::Data(bytes))) => body.extend_from_slice(&bytes),
            Some(CallerAnswer::Part(AnswerPart::End)) => {
                return Ok(Collected::Answer(status, Bytes::from(body)));
            }
            Some(CallerAnswer::Relayed(answer)) => return Ok(Collected::Response(relayed(answer))),
            Some(CallerAnswer::Fail(failure)) => return Err(failure),
            _ => return Err(broken_off()),
        }
    }
}

pub(crate) fn broken_off() -> Failure {
    Failure::unknown(FailureKind::AnswerCut, None)
}
