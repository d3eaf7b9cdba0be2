//! Errors towards callers, as JSON.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof, Outcome};
use serde::{Deserialize, Serialize};

/// Body of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind.
    pub kind: FailureKind,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// What happened, and the remedy.
    pub message: String,
    /// Id under which the logs and traces know the request.
    pub request_id: String,
}

/// HTTP status of a kind of failure.
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
        | FailureKind::DeadlineUnmeetable
        | FailureKind::NoTarget
        | FailureKind::Stopping
        | FailureKind::NotReady
        | FailureKind::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Body of a failure.
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

/// Response of a failure.
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

/// Seconds, rounded up, as `Retry-After` wants them.
fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

/// Response to a request that was refused.
pub(crate) struct Refusal(Box<HttpResponse>);

impl Refusal {
    /// The response itself.
    pub(crate) fn into_response(self) -> HttpResponse {
        *self.0
    }
}

impl From<HttpResponse> for Refusal {
    fn from(response: HttpResponse) -> Self {
        Self(Box::new(response))
    }
}

/// Response to a request that is refused before the daemon sees it.
pub(crate) fn refused(status: StatusCode, message: &str, request_id: &str) -> Refusal {
    let mut failure = Failure::not_run(NotRunProof::NeverAccepted, FailureKind::Invalid, None);
    failure.message = message.into();
    log::warn!(request = request_id, reason = message, status = status.as_u16(); "refused");
    with_status(status, &failure, request_id).into()
}

/// Response to an unknown path.
pub(crate) async fn not_found() -> HttpResponse {
    let message = "there is nothing at this path; see docs/CALLING.md for the paths";
    refused(StatusCode::NOT_FOUND, message, "").into_response()
}
