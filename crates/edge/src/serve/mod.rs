//! Serves one request of a caller.

mod answers;
mod attempt;
mod body;
mod job;
mod order;
mod patience;
mod relay;
mod report;
mod run;

use std::rc::Rc;

use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse};
use lapismoor_core::admission::{Priority, Refusal};
use lapismoor_core::ids::hash_parts;
use lapismoor_core::routing::{AffinityPreference, Route, RoutingConfig, Workspace};

use crate::context::Edge;
use crate::dialect::Envelope;
pub(crate) use attempt::BufferedAnswer;
pub(crate) use job::{CallerGuard, Job};
pub(crate) use order::{AdmittedRequest, end_to_end_headers};
pub(crate) use relay::Relay;
pub(crate) use report::refused as report_refused;
pub(crate) use run::{Outcome, run};

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
        Err(refusal) => {
            report::refused(&edge, &envelope.id, received, &refusal);
            return answers::refused(&edge, &refusal);
        }
    };
    let limit = admitted.config.limits().max_body_bytes;
    let body = match body::read(payload, limit).await {
        Ok(body) => body,
        Err(error) => return answers::bad_body(&edge, &envelope.id, &error),
    };
    let order = AdmittedRequest {
        config_version: admitted.config.version(),
        service: service(&admitted.route, &envelope),
        claim: claim(&admitted),
        workspace: admitted.workspace.map(|workspace| workspace.name),
        route: admitted.route,
        preference: AffinityPreference::default(),
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: order::passed_on(&edge, request.headers()),
        envelope,
        body,
        received,
    };
    let ending = run(Job::new(Rc::clone(&edge), guard, order)).await;
    answers::of(&edge, ending)
}

/// What the configuration says of a request.
struct Admitted {
    config: Rc<RoutingConfig>,
    route: Rc<Route>,
    workspace: Option<Workspace>,
}

fn admit(edge: &Edge, request: &HttpRequest, envelope: &Envelope) -> Result<Admitted, Refusal> {
    if !edge.accepts_requests() {
        return Err(Refusal::Stopping);
    }
    let config = edge.config().ok_or(Refusal::NoConfiguration)?;
    let connection = request.connection_info();
    let Some(route) = config.route(host_name(connection.host()), request.path()) else {
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
) -> Result<Workspace, Refusal> {
    let state = edge.state.borrow();
    if !state.freshness.may_accept_keys(edge.now()) {
        return Err(Refusal::StaleConfiguration);
    }
    drop(state);
    let key = envelope.key.as_deref().unwrap_or_default();
    let workspace = config.workspace(key).cloned();
    workspace.ok_or_else(|| edge.unless_stale(Refusal::UnknownKey))
}

/// The part of a prompt that others share decides the service, so that a chat stays with it.
fn service(route: &Route, envelope: &Envelope) -> lapismoor_core::ids::ServiceId {
    let shared = envelope.parts.iter().rev().nth(1);
    let split_key = shared.map_or_else(|| request_hash(&envelope.id), |part| part.id);
    route.service_for(split_key).clone()
}

fn claim(admitted: &Admitted) -> Priority {
    let workspace = admitted.workspace.as_ref();
    let own_rank = workspace.and_then(|workspace| workspace.rank);
    Priority {
        rank: own_rank.unwrap_or(admitted.route.rank),
        workspace: workspace
            .map(|workspace| workspace.name.clone())
            .unwrap_or_default(),
        weight: 1,
    }
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

/// The name of a host, without its port.
pub(crate) fn host_name(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// Hash by which requests of equal standing are spread.
fn request_hash(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}
