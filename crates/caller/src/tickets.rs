//! Issues tickets, under which a request runs at most once.

use actix_web::{HttpRequest, HttpResponse, web};
use serde_json::json;

use crate::gateway::{CallerAnswer, CallerRequest, Gateway};
use crate::{answer, auth, errors};

/// Handles `POST /v1/tickets`.
pub(crate) async fn issue(gateway: web::Data<Gateway>, request: HttpRequest) -> HttpResponse {
    let caller = match auth::authenticate(&gateway, &request) {
        Ok(caller) => caller,
        Err(rejection) => return rejection.into_response(),
    };
    let trace = caller.trace;
    let mut parts = gateway.send(
        &request,
        CallerRequest::Ticket {
            workspace: caller.workspace.name,
        },
    );
    match parts.next().await {
        Some(CallerAnswer::Ticket(ticket)) => {
            HttpResponse::Created().json(json!({"ticket": ticket.to_string()}))
        }
        Some(CallerAnswer::Fail(failure)) => errors::response(&failure, &trace.trace_id),
        _ => errors::response(&answer::answer_cut(), &trace.trace_id),
    }
}
