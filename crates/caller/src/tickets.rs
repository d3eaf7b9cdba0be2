//! Tickets for calls that must not run twice.

use actix_web::{HttpRequest, HttpResponse, web};
use serde_json::json;

use crate::gateway::{CallerAnswer, CallerRequest, Gateway};
use crate::{answer, auth, errors};

/// `POST /v1/tickets`.
pub(crate) async fn issue(gateway: web::Data<Gateway>, request: HttpRequest) -> HttpResponse {
    let admitted = match auth::admit(&gateway, &request) {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal.into_response(),
    };
    let trace = admitted.trace;
    let mut incoming = gateway.demand(CallerRequest::Ticket {
        workspace: admitted.workspace.name,
    });
    match incoming.next().await {
        Some(CallerAnswer::Ticket(ticket)) => {
            HttpResponse::Created().json(json!({"ticket": ticket.to_string()}))
        }
        Some(CallerAnswer::Fail(failure)) => errors::response(&failure, &trace.trace_id),
        _ => errors::response(&answer::broken_off(), &trace.trace_id),
    }
}
