//! Serves one request of a caller.

mod answers;
mod attempt;
mod body;
mod job;
mod patience;
mod plain;
mod relay;
mod stream;

use std::rc::Rc;

use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse};
use lapismoor_core::admission::Refusal;
use lapismoor_core::ids::hash_parts;
use lapismoor_core::routing::{Route, RoutingConfig};

use crate::context::Edge;
use crate::dialect::Envelope;
use job::{CallerGuard, Job};

/// Answers one request.
pub(crate) async fn serve(edge: Rc<Edge>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let received = edge.now();
    let guard = CallerGuard::new(&edge);
    let envelope = match (edge.dialect.read_envelope)(request.headers()) {
        Ok(envelope) => envelope,
        Err(error) => return answers::malformed(&edge, &error),
    };
    let admitted = match admit(&edge, &request, &envelope) {
        Ok(admitted) => admitted,
        Err(refusal) => return answers::refused(&edge, &envelope.id, received, &refusal),
    };
    let limit = admitted.config.limits().max_body_bytes;
    let body = match body::read(payload, limit).await {
        Ok(body) => body,
        Err(error) => return answers::bad_body(&edge, &envelope.id, &error),
    };
    let mut job = Job::new(edge, guard, admitted, envelope, &request, body, received);
    if let Err(refusal) = job.enter().await {
        return answers::refused(&job.edge, &job.envelope.id, received, &refusal);
    }
    if job.route.is_stream() {
        stream::serve(job).await
    } else {
        plain::serve(job).await
    }
}

/// What the configuration says of a request.
pub(crate) struct Admitted {
    config: Rc<RoutingConfig>,
    route: Rc<Route>,
    workspace: Option<lapismoor_core::routing::Workspace>,
}

fn admit(edge: &Edge, request: &HttpRequest, envelope: &Envelope) -> Result<Admitted, Refusal> {
    if !edge.takes_requests() {
        return Err(Refusal::Stopping);
    }
    let config = edge.config().ok_or(Refusal::NoConfiguration)?;
    let connection = request.connection_info();
    let host = connection.host();
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    let Some(route) = config.route(host, request.path()) else {
        return Err(edge.unless_stale(Refusal::NoRoute));
    };
    let route = Rc::clone(route);
    let needs_key = config.has_workspaces() && !route.is_public;
    let workspace = if needs_key {
        Some(find_workspace(edge, &config, envelope)?)
    } else {
        None
    };
    Ok(Admitted {
        config: Rc::clone(&config),
        route,
        workspace,
    })
}

fn find_workspace(
    edge: &Edge,
    config: &RoutingConfig,
    envelope: &Envelope,
) -> Result<lapismoor_core::routing::Workspace, Refusal> {
    let state = edge.state.borrow();
    if !state.freshness.may_accept_keys(edge.now()) {
        return Err(Refusal::StaleConfiguration);
    }
    drop(state);
    let key = envelope.key.as_deref().unwrap_or_default();
    let workspace = config.workspace(key).cloned();
    workspace.ok_or_else(|| edge.unless_stale(Refusal::UnknownKey))
}

impl Edge {
    /// What is not known here may be known to the store by now, if the store was not heard of for
    /// too long.
    fn unless_stale(&self, refusal: Refusal) -> Refusal {
        let within = self.settings.limits.config_within + self.settings.tuning.store_timeout;
        let state = self.state.borrow();
        if state.freshness.is_older_than(self.now(), within) {
            return Refusal::StaleConfiguration;
        }
        refusal
    }
}

/// Hash by which requests of equal standing are spread.
fn request_hash(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}
