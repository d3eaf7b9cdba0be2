//! Headers that callers may send.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use compact_str::CompactString;
use lapismoor_core::config::Profile;
use lapismoor_core::request::Identity;

use crate::errors::{self, Refusal};
use crate::trace::TraceContext;

/// Names the profile.
pub(crate) const PROFILE: &str = "x-profile";
/// Names the returning chat.
pub(crate) const CHAT_ID: &str = "x-chat-id";
/// Shortens the deadline, in milliseconds.
const DEADLINE_MS: &str = "x-deadline-ms";
/// Carries a ticket.
const TICKET: &str = "x-ticket";
/// Carries the caller's own key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key or chat id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// The value of a header, if it is plain text.
pub(crate) fn text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Refuses headers that are too large.
pub(crate) fn check_size(
    request: &HttpRequest,
    max_bytes: usize,
    trace: &TraceContext,
) -> Result<(), Refusal> {
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes <= max_bytes {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let message = "the headers are too large; send fewer or shorter ones";
    Err(errors::refused(status, message, &trace.trace_id))
}

/// The deadline: the profile's, or a shorter one that the caller asked for.
pub(crate) fn deadline(
    request: &HttpRequest,
    profile: &Profile,
    trace: &TraceContext,
) -> Result<Duration, Refusal> {
    let Some(value) = text(request, DEADLINE_MS) else {
        return Ok(Duration::from_millis(profile.deadline_ms));
    };
    let asked_ms = value.parse().ok().filter(|ms| *ms > 0);
    let Some(asked_ms) = asked_ms else {
        return Err(bad(
            "x-deadline-ms is no whole number above 0; give milliseconds",
            trace,
        ));
    };
    Ok(Duration::from_millis(profile.deadline_ms.min(asked_ms)))
}

/// How the request is identified.
pub(crate) fn identity(request: &HttpRequest, trace: &TraceContext) -> Result<Identity, Refusal> {
    match (text(request, TICKET), text(request, IDEMPOTENCY_KEY)) {
        (None, None) => Ok(Identity::None),
        (Some(_), Some(_)) => Err(bad("send x-ticket or idempotency-key, not both", trace)),
        (Some(ticket), None) => {
            let ticket = ticket.parse();
            ticket.map(Identity::Ticket).map_err(|_| {
                bad(
                    "x-ticket is no ticket; pass it exactly as it was issued",
                    trace,
                )
            })
        }
        (None, Some(key)) if key.is_empty() || key.len() > MAX_ID_BYTES => {
            Err(bad("idempotency-key takes 1 to 256 bytes", trace))
        }
        (None, Some(key)) => Ok(Identity::Key(key.into())),
    }
}

/// The chat id, if there is one.
pub(crate) fn chat_id(
    request: &HttpRequest,
    trace: &TraceContext,
) -> Result<Option<CompactString>, Refusal> {
    match text(request, CHAT_ID) {
        Some(id) if id.len() > MAX_ID_BYTES => Err(bad("x-chat-id takes up to 256 bytes", trace)),
        id => Ok(id.filter(|id| !id.is_empty()).map(CompactString::from)),
    }
}

/// Response to a request that is not valid.
pub(crate) fn bad(message: &str, trace: &TraceContext) -> Refusal {
    errors::refused(StatusCode::BAD_REQUEST, message, &trace.trace_id)
}

/// The body, or the response to one that is too large or broken off.
pub(crate) fn body(
    body: Result<actix_web::web::Bytes, actix_web::Error>,
    trace: &TraceContext,
) -> Result<actix_web::web::Bytes, Refusal> {
    body.map_err(|error| {
        let status = error.as_response_error().status_code();
        let message = if status == StatusCode::PAYLOAD_TOO_LARGE {
            "the body is too large; send a shorter one"
        } else {
            "the body could not be read; send it whole"
        };
        errors::refused(status, message, &trace.trace_id)
    })
}
