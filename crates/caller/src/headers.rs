//! Reads and validates the headers and the body of a request.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderName;
use bytes::Bytes;
use compact_str::CompactString;
use lapismoor_core::config::Profile;
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use lapismoor_core::request::Identity;

use crate::errors::{self, Rejection};
use crate::fields::single_value;
use crate::gateway::BodyProblem;
use crate::trace::TraceContext;

/// Name of the profile to run the request under.
pub(crate) const PROFILE: &str = "x-profile";
/// Identifies the chat that a request continues.
pub(crate) const CHAT_ID: &str = "x-chat-id";
/// Deadline in milliseconds; can only shorten the profile's.
const DEADLINE_MS: &str = "x-deadline-ms";
/// Ticket issued by `POST /v1/tickets`.
const TICKET: &str = "x-ticket";
/// Key chosen by the caller, as an alternative to a ticket.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Limit for an idempotency key or chat id.
const MAX_ID_BYTES: usize = 256;

/// Delay before a retry of a request for whose body there was no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Returns the value of a header; `None` if it is absent. Rejects a request whose value is not text, or
/// one of several.
pub(crate) fn text<'a>(
    request: &'a HttpRequest,
    name: &'static str,
    trace: &TraceContext,
) -> Result<Option<&'a str>, Rejection> {
    let value = single_value(request.headers(), HeaderName::from_static(name));
    value.map_err(|error| bad_request(&format!("{name} is {error}; send it once"), trace))
}

/// Rejects a request whose header names and values exceed `max_bytes` in total.
pub(crate) fn check_size(
    request: &HttpRequest,
    max_bytes: usize,
    trace: &TraceContext,
) -> Result<(), Rejection> {
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes <= max_bytes {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let message = "the headers are too large; send fewer or shorter ones";
    Err(errors::reject(status, message, &trace.trace_id))
}

/// Returns the shorter of the profile's deadline and the one in `x-deadline-ms`.
pub(crate) fn deadline(
    request: &HttpRequest,
    profile: &Profile,
    trace: &TraceContext,
) -> Result<Duration, Rejection> {
    let Some(value) = text(request, DEADLINE_MS, trace)? else {
        return Ok(Duration::from_millis(profile.deadline_ms));
    };
    let requested_ms = value.parse().ok().filter(|ms| *ms > 0);
    let Some(requested_ms) = requested_ms else {
        return Err(bad_request(
            "x-deadline-ms is no whole number above 0; give milliseconds",
            trace,
        ));
    };
    Ok(Duration::from_millis(profile.deadline_ms.min(requested_ms)))
}

/// Reads the ticket or idempotency key.
pub(crate) fn identity(request: &HttpRequest, trace: &TraceContext) -> Result<Identity, Rejection> {
    let ticket = text(request, TICKET, trace)?;
    let key = text(request, IDEMPOTENCY_KEY, trace)?;
    match (ticket, key) {
        (None, None) => Ok(Identity::None),
        (Some(_), Some(_)) => Err(bad_request(
            "send x-ticket or idempotency-key, not both",
            trace,
        )),
        (Some(ticket), None) => {
            let ticket = ticket.parse();
            ticket.map(Identity::Ticket).map_err(|_| {
                bad_request(
                    "x-ticket is no ticket; pass it exactly as it was issued",
                    trace,
                )
            })
        }
        (None, Some(key)) if key.is_empty() || key.len() > MAX_ID_BYTES => {
            Err(bad_request("idempotency-key takes 1 to 256 bytes", trace))
        }
        (None, Some(key)) => Ok(Identity::Key(key.into())),
    }
}

/// Reads the chat id; an empty one counts as absent.
pub(crate) fn chat_id(
    request: &HttpRequest,
    trace: &TraceContext,
) -> Result<Option<CompactString>, Rejection> {
    match text(request, CHAT_ID, trace)? {
        Some(id) if id.len() > MAX_ID_BYTES => {
            Err(bad_request("x-chat-id takes up to 256 bytes", trace))
        }
        id => Ok(id.filter(|id| !id.is_empty()).map(CompactString::from)),
    }
}

/// Rejects a request with status 400.
pub(crate) fn bad_request(message: &str, trace: &TraceContext) -> Rejection {
    errors::reject(StatusCode::BAD_REQUEST, message, &trace.trace_id)
}

/// Unwraps the body, or rejects the request if it was too large or could not be read.
pub(crate) fn body(
    body: Result<Bytes, BodyProblem>,
    trace: &TraceContext,
) -> Result<Bytes, Rejection> {
    body.map_err(|problem| match problem {
        BodyProblem::TooLarge => errors::reject(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large; send a shorter one",
            &trace.trace_id,
        ),
        BodyProblem::CutOff => bad_request("the body could not be read; send it whole", trace),
        BodyProblem::Late => errors::reject(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time; send the request again",
            &trace.trace_id,
        ),
        BodyProblem::NoMemory => {
            let (proof, kind) = (NotRunProof::NeverAccepted, FailureKind::MemoryFull);
            let failure = Failure::not_run(proof, kind, Some(MEMORY_RETRY_AFTER));
            errors::response(&failure, &trace.trace_id).into()
        }
    })
}
