//! Converts a profile request into the [`AdmittedRequest`] that the common execution path takes.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, Uri};
use compact_str::{CompactString, format_compact};
use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use lapismoor_core::ids::WorkspaceId;
use lapismoor_core::request::{Request, Work};
use lapismoor_core::routing::profile_route;

use crate::context::Edge;
use crate::dialect::{Envelope, ModelCall};
use crate::serve::AdmittedRequest;

/// Path of the chat endpoint of engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Counts a request against the limits of its workspace until it is dropped.
pub(super) struct WorkspacePermit {
    edge: Rc<Edge>,
    workspace: WorkspaceId,
}

impl Drop for WorkspacePermit {
    fn drop(&mut self) {
        self.edge
            .state
            .borrow_mut()
            .workspaces
            .end_request(&self.workspace);
    }
}

/// Resolves a request against the profile configuration in force.
///
/// # Errors
/// The failure to return to the caller, if no configuration is in force, it no longer has the
/// profile, service or workspace, or the request has no valid method or path.
pub(super) fn build(
    edge: &Edge,
    request: &Request,
    received: Moment,
) -> Result<AdmittedRequest, Failure> {
    let accepted = edge
        .profiles()
        .ok_or_else(|| not_dispatched(FailureKind::NotReady))?;
    let config = &accepted.config;
    let profile = config.profile(&request.profile);
    let service = profile_route::service(config, &request.pool);
    let workspace = config.workspace(&request.workspace);
    let (Some(profile), Some(service), Some(workspace)) = (profile, service, workspace) else {
        return Err(not_dispatched(FailureKind::Invalid));
    };
    let route = profile_route::route(request, profile);
    let (method, uri) =
        method_and_uri(request).ok_or_else(|| not_dispatched(FailureKind::Invalid))?;
    Ok(AdmittedRequest {
        config_version: accepted.revision,
        host: CompactString::default(),
        service: service.name.clone(),
        workspace: Some(workspace.name.clone()),
        workspace_homes: profile_route::sorted(&workspace.home_regions),
        priority: Priority {
            rank: route.rank,
            workspace: workspace.name.clone(),
            weight: workspace.weight,
        },
        preference: profile_route::preference(profile, &service),
        route: Rc::new(route),
        envelope: envelope(request),
        method,
        uri,
        headers: headers(request),
        body: request.body.clone(),
        received,
        arrived: received,
    })
}

/// Counts a request against the limits of its workspace.
///
/// # Errors
/// The time after which the caller may retry, if a limit is reached.
pub(super) fn acquire_workspace_permit(
    edge: &Rc<Edge>,
    request: &AdmittedRequest,
) -> Result<WorkspacePermit, Duration> {
    let name = request.workspace.clone().unwrap_or_default();
    let now = edge.now();
    let mut state = edge.state.borrow_mut();
    let share = state.share_of_fleet();
    let accepted = state.profiles.get().cloned();
    if let Some(workspace) = accepted
        .as_ref()
        .and_then(|current| current.config.workspace(&name))
    {
        state.workspaces.begin_request(now, workspace, share)?;
    }
    Ok(WorkspacePermit {
        edge: Rc::clone(edge),
        workspace: name,
    })
}

fn not_dispatched(kind: FailureKind) -> Failure {
    Failure::not_run(NotRunProof::NeverDispatched, kind, None)
}

fn method_and_uri(request: &Request) -> Option<(Method, Uri)> {
    match &request.work {
        Work::Chat { .. } => Some((Method::POST, Uri::from_static(CHAT_PATH))),
        Work::Call { method, path } => {
            let method = Method::from_bytes(method.as_bytes()).ok()?;
            Some((method, format!("/{path}").parse().ok()?))
        }
    }
}

fn envelope(request: &Request) -> Envelope {
    let model = match &request.work {
        Work::Chat { model, tokens } => ModelCall {
            name: model.clone(),
            prompt_tokens: tokens.earlier + tokens.last,
            answer_tokens: tokens.answer,
        },
        Work::Call { .. } => ModelCall {
            name: CompactString::default(),
            prompt_tokens: 0,
            answer_tokens: 0,
        },
    };
    Envelope {
        id: request_id(request),
        deadline: Some(request.deadline),
        parts: profile_route::prompt(request),
        traceparent: request.traceparent.clone(),
        model: Some(model),
        ..Envelope::default()
    }
}

/// Trace id and span id, because a caller may send several requests in one trace.
pub(super) fn request_id(request: &Request) -> CompactString {
    let trace = request.traceparent.as_deref().unwrap_or_default();
    let mut parts = trace.split('-').skip(1);
    let trace_id = parts.next().unwrap_or_default();
    let span_id = parts.next().unwrap_or_default();
    format_compact!("{trace_id}-{span_id}")
}

fn headers(request: &Request) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let named = [
        (header::HOST, request.pool.as_str()),
        (header::CONTENT_TYPE, request.content_type.as_str()),
    ];
    for (name, value) in named {
        match HeaderValue::from_str(value) {
            Ok(value) => headers.insert(name, value),
            Err(error) => {
                log::warn!(name:%, error:%; "header_not_sent");
                continue;
            }
        };
    }
    headers
}
