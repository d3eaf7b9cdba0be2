//! HTTP interface for callers: chat completions, calls of plain services, tickets.
//!
//! `docs/CALLING.md` describes requests and responses.

mod aggregate;
mod answer;
mod auth;
mod chat;
mod errors;
mod fields;
mod gateway;
mod headers;
mod prompt;
mod services;
mod settings;
mod tickets;
mod trace;

pub use aggregate::assemble_completion;
pub use errors::{ErrorBody, ErrorDetail, status_of};
pub use fields::{FieldError, single_value};
pub use gateway::{
    AnswerMemory, AnswerStream, BodyProblem, CallerAnswer, CallerRequest, Gateway, OriginalRequest,
    RelayedAnswer,
};
pub use settings::CallerSettings;
pub use trace::TraceContext;

use actix_web::web;

/// Path of the load balancer's health check.
const HEALTH_PATH: &str = "/health";
const MODELS_PATH: &str = "/v1/models";
const CHAT_PATH: &str = "/v1/chat/completions";
const TICKETS_PATH: &str = "/v1/tickets";
/// Prefix of the paths of service calls.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Whether a path is one of the interface.
#[must_use]
pub fn is_api_path(path: &str) -> bool {
    let paths = [HEALTH_PATH, MODELS_PATH, CHAT_PATH, TICKETS_PATH];
    paths.contains(&path) || path.starts_with(SERVICES_PREFIX)
}

/// Registers all routes; they need a [`Gateway`] as application data.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(HEALTH_PATH, web::get().to(gateway::health))
        .route(MODELS_PATH, web::get().to(chat::models))
        .route(CHAT_PATH, web::post().to(chat::completions))
        .route(TICKETS_PATH, web::post().to(tickets::issue))
        .route(
            "/v1/services/{service}/{path:.*}",
            web::route().to(services::call),
        )
        .default_service(web::route().to(errors::not_found));
}
