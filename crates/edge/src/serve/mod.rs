//! Serves requests of callers: admission, attempts, retries and the response.

mod admitted_request;
mod attempt;
mod body;
pub mod dry_run;
mod job;
mod report;
mod responses;
mod resumption;
mod route_key;
mod run;
mod stream_forwarder;
mod suspicion;
mod takeover;

use std::rc::Rc;

use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse};
use lapismoor_core::admission::{BufferOwner, Priority, Refusal, wait_for_configuration};
use lapismoor_core::ids::hash_parts;
use lapismoor_core::routing::{AffinityPreference, Route, RoutingConfig, Workspace};

use crate::context::Edge;
use crate::dialect::Envelope;
use crate::in_flight::CallerGuard;
pub(crate) use admitted_request::{AdmittedRequest, end_to_end_headers};
pub(crate) use attempt::BufferedAnswer;
pub(crate) use body::{BodyError, BodyLimits, growth, read as read_request_body, stated_length};
pub(crate) use job::Job;
pub(crate) use report::refused as report_refused;
pub(crate) use route_key::RouteKey;
pub(crate) use run::{CRASHES_TARGETS, Outcome, run};
pub(crate) use stream_forwarder::StreamForwarder;

/// Serves one request that matches a route, or refuses it.
pub(crate) async fn serve(
    edge: Rc<Edge>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let received = edge.now();
    let guard = CallerGuard::of(&edge, &request);
    let connection = guard.connection();
    let read = RouteKey::of(request.head());
    let read = read.and_then(|key| Ok((key, (edge.dialect.read_envelope)(request.headers())?)));
    let (route_key, envelope) = match read {
        Ok(read) => read,
        Err(error) => {
            body::discard(&mut payload, connection.as_deref()).await;
            return responses::malformed(&edge, &error);
        }
    };
    guard.set_id(&envelope.id);
    if connection
        .as_ref()
        .is_some_and(|connection| !connection.has_room())
    {
        let refusal = Refusal::MemoryFull;
        report::refused(&edge, &envelope.id, route_key, received, &refusal);
        body::discard(&mut payload, connection.as_deref()).await;
        return responses::refused(&edge, &refusal);
    }
    edge.configuration_loaded().await;
    let find_workspace = |config: &RoutingConfig| find_workspace(&edge, config, &envelope);
    let authorized = match authorize(&edge, route_key, find_workspace) {
        Ok(authorized) => authorized,
        Err(refusal) => {
            report::refused(&edge, &envelope.id, route_key, received, &refusal);
            body::discard(&mut payload, connection.as_deref()).await;
            return responses::refused(&edge, &refusal);
        }
    };
    let limits = authorized.config.limits();
    let limits = body::BodyLimits {
        max_bytes: limits.max_body_bytes,
        time_left: envelope.deadline,
        idle_timeout: edge.caller_timeouts().idle,
    };
    let owner = BufferOwner {
        group: authorized
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.clone())
            .unwrap_or_default(),
        member: 0,
    };
    let stated_bytes = body::stated_length(request.headers());
    let growth = body::growth(stated_bytes);
    let lease = edge.request_buffers.open(owner, growth);
    let reading = body::read(
        &mut payload,
        connection.as_deref(),
        stated_bytes,
        limits,
        lease,
    );
    let body = match reading.await {
        Ok((body, lease)) => {
            guard.keep_buffer(lease);
            body
        }
        Err(BodyError::NoMemory) => {
            let refusal = Refusal::MemoryFull;
            report::refused(&edge, &envelope.id, route_key, received, &refusal);
            return responses::refused(&edge, &refusal);
        }
        Err(error) => return responses::bad_body(&edge, &envelope.id, &error),
    };
    drop(connection);
    let priority = priority(&authorized);
    let (workspace, workspace_homes) = match authorized.workspace {
        Some(workspace) => (Some(workspace.name), workspace.home_regions),
        None => (None, Vec::new()),
    };
    let admitted_request = AdmittedRequest {
        config_version: authorized.config.version(),
        host: route_key.host(),
        service: service(&authorized.route, &envelope),
        priority,
        workspace,
        workspace_homes,
        route: authorized.route,
        preference: AffinityPreference::default(),
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: admitted_request::forwarded_headers(&edge, request.headers()),
        envelope,
        body,
        received,
        arrived: edge.now(),
    };
    // Boxed, so that requests whose bodies arrive don't hold the memory of those that are run.
    let outcome = Box::pin(run(Job::new(Rc::clone(&edge), guard, admitted_request))).await;
    responses::from_outcome(&edge, outcome)
}

/// The configuration, route and workspace of a request.
struct Authorized {
    config: Rc<RoutingConfig>,
    route: Rc<Route>,
    /// Workspace of the caller's key; `None` if no key is needed.
    workspace: Option<Workspace>,
}

/// Finds the route of a request, and the caller's workspace if the route needs a key.
fn authorize(
    edge: &Edge,
    route_key: RouteKey<'_>,
    find_workspace: impl FnOnce(&RoutingConfig) -> Result<Workspace, Refusal>,
) -> Result<Authorized, Refusal> {
    if !edge.accepts_requests() {
        return Err(Refusal::Stopping);
    }
    let config = edge.config().ok_or(Refusal::NoConfiguration)?;
    let Some(route) = route_key.route(&config) else {
        return Err(edge.unless_stale(Refusal::NoRoute));
    };
    let route = Rc::clone(route);
    let needs_key = config.has_workspaces() && !route.is_public;
    let workspace = if needs_key {
        Some(find_workspace(&config)?)
    } else {
        None
    };
    Ok(Authorized {
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

/// Chooses the service of a route that splits its traffic, by the prompt part before the last.
/// Later requests of the same chat share this part, so a chat stays with its service. A request
/// without such a part is assigned by its id.
fn service(route: &Route, envelope: &Envelope) -> lapismoor_core::ids::ServiceId {
    let shared = envelope.parts.iter().rev().nth(1);
    let split_key = shared.map_or_else(|| request_hash(&envelope.id), |part| part.id);
    route.service_for(split_key).clone()
}

fn priority(authorized: &Authorized) -> Priority {
    let workspace = authorized.workspace.as_ref();
    let own_rank = workspace.and_then(|workspace| workspace.rank);
    Priority {
        rank: own_rank.unwrap_or(authorized.route.rank),
        workspace: workspace
            .map(|workspace| workspace.name.clone())
            .unwrap_or_default(),
        weight: 1,
    }
}

impl Edge {
    /// Waits for the first configuration if this daemon has just started.
    async fn configuration_loaded(&self) {
        if self.config().is_some() {
            return;
        }
        let loaded = async {
            loop {
                let changed = self.store_changed.notified();
                if self.config().is_some() {
                    return;
                }
                changed.await;
            }
        };
        let wait = wait_for_configuration(self.now(), self.started_at);
        // Without a configuration by then, the request is refused.
        drop(tokio::time::timeout(wait, loaded).await);
    }

    /// Replaces `refusal` by `StaleConfiguration` if the store was not heard from for too long: a
    /// route or key that is unknown here may then be in the store already.
    fn unless_stale(&self, refusal: Refusal) -> Refusal {
        if self.has_current_list() {
            refusal
        } else {
            Refusal::StaleConfiguration
        }
    }

    /// Whether the copy of the store is as new as changes have to be applied.
    pub(crate) fn has_current_list(&self) -> bool {
        let within = self.settings.limits.config_within + self.settings.tuning.store_timeout;
        let state = self.state.borrow();
        !state.freshness.is_older_than(self.now(), within)
    }
}

/// Hash of a request id, for choices that must be even over requests and equal on all daemons.
fn request_hash(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}
