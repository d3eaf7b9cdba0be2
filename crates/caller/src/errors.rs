//! Error responses to callers, as JSON.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof, Outcome};
use serde::{Deserialize, Serialize};

use crate::auth::NOT_READY_RETRY_AFTER;
use crate::gateway::Gateway;

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Sole member of the body.
    pub error: ErrorDetail,
}

/// Description of one error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Machine-readable cause.
    pub kind: FailureKind,
    /// Whether a target may have run the request.
    pub outcome: Outcome,
    /// What happened and what to do about it, for people.
    pub message: String,
    /// Trace id; identifies the request in logs and traces. Empty for an unknown path.
    pub request_id: String,
}

/// Maps a kind of failure to its HTTP status.
#[must_use]
pub fn status_of(kind: FailureKind) -> StatusCode {
    match kind {
        FailureKind::Invalid => StatusCode::BAD_REQUEST,
        FailureKind::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
        FailureKind::CrashesTargets => StatusCode::UNPROCESSABLE_ENTITY,
        FailureKind::UnknownTicket => StatusCode::NOT_FOUND,
        FailureKind::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        FailureKind::TargetFailed | FailureKind::AnswerCut | FailureKind::OwnerGone => {
            StatusCode::BAD_GATEWAY
        }
        FailureKind::QueueFull
        | FailureKind::MemoryFull
        | FailureKind::DeadlineUnmeetable
        | FailureKind::NoTarget
        | FailureKind::Stopping
        | FailureKind::NotReady
        | FailureKind::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Error body for a failure.
pub(crate) fn body(failure: &Failure, request_id: &str) -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            kind: failure.kind,
            outcome: failure.outcome,
            message: failure.message.to_string(),
            request_id: request_id.to_owned(),
        },
    }
}

/// Error response for a failure, with `Retry-After` if the failure has one.
pub(crate) fn response(failure: &Failure, request_id: &str) -> HttpResponse {
    with_status(status_of(failure.kind), failure, request_id)
}

fn with_status(status: StatusCode, failure: &Failure, request_id: &str) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    if let Some(retry_after) = failure.retry_after {
        response.insert_header(("retry-after", whole_seconds(retry_after).to_string()));
    }
    response.insert_header(("x-request-id", request_id));
    response.json(body(failure, request_id))
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

/// Boxed error response, which keeps the `Err` variant of a `Result` small.
pub(crate) struct Rejection(Box<HttpResponse>);

impl Rejection {
    pub(crate) fn into_response(self) -> HttpResponse {
        *self.0
    }
}

impl From<HttpResponse> for Rejection {
    fn from(response: HttpResponse) -> Self {
        Self(Box::new(response))
    }
}

/// Logs and rejects an invalid request that has not been passed to the daemon.
pub(crate) fn reject(status: StatusCode, message: &str, request_id: &str) -> Rejection {
    let mut failure = Failure::not_run(NotRunProof::NeverAccepted, FailureKind::Invalid, None);
    failure.message = message.into();
    log::warn!(request = request_id, reason = message, status = status.as_u16(); "refused");
    with_status(status, &failure, request_id).into()
}

/// Handles requests to unknown paths.
pub(crate) async fn not_found(gateway: web::Data<Gateway>) -> HttpResponse {
    if (gateway.config)().is_none() {
        // A route that is not known yet may have this path.
        let kind = FailureKind::NotReady;
        let failure = Failure::not_run(
            NotRunProof::NeverAccepted,
            kind,
            Some(NOT_READY_RETRY_AFTER),
        );
        return response(&failure, "");
    }
    let message = "there is nothing at this path; see docs/CALLING.md for the paths";
    reject(StatusCode::NOT_FOUND, message, "").into_response()
}
