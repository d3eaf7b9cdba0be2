//! Turns a request of a profile into what the path for all requests takes.

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

/// Path of chats at engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Counts a request of a workspace until it is dropped.
pub(super) struct WorkspacePlace {
    edge: Rc<Edge>,
    workspace: WorkspaceId,
}

impl Drop for WorkspacePlace {
    fn drop(&mut self) {
        self.edge.state.borrow_mut().workspaces.end(&self.workspace);
    }
}

/// What the configuration says of a request.
///
/// # Errors
/// The final answer, if the configuration has changed or the request cannot be sent.
pub(super) fn admit(
    edge: &Edge,
    request: &Request,
    received: Moment,
) -> Result<AdmittedRequest, Failure> {
    let accepted = edge
        .profiles()
        .ok_or_else(|| refusal(FailureKind::NotReady))?;
    let config = &accepted.config;
    let profile = config.profile(&request.profile);
    let service = profile_route::service(config, &request.pool);
    let workspace = config.workspace(&request.workspace);
    let (Some(profile), Some(service), Some(workspace)) = (profile, service, workspace) else {
        return Err(refusal(FailureKind::Invalid));
    };
    let route = profile_route::route(request, profile);
    let (method, uri) = address(request).ok_or_else(|| refusal(FailureKind::Invalid))?;
    Ok(AdmittedRequest {
        config_version: accepted.revision,
        service: service.name.clone(),
        workspace: Some(workspace.name.clone()),
        claim: Priority {
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
    })
}

/// Takes a place within the limits of the request's workspace.
///
/// # Errors
/// When to come back.
pub(super) fn enter_workspace(
    edge: &Rc<Edge>,
    order: &AdmittedRequest,
) -> Result<WorkspacePlace, Duration> {
    let name = order.workspace.clone().unwrap_or_default();
    let now = edge.now();
    let mut state = edge.state.borrow_mut();
    let share = state.share_of_fleet();
    let accepted = state.profiles.get().cloned();
    if let Some(workspace) = accepted
        .as_ref()
        .and_then(|one| one.config.workspace(&name))
    {
        state.workspaces.begin(now, workspace, share)?;
    }
    Ok(WorkspacePlace {
        edge: Rc::clone(edge),
        workspace: name,
    })
}

fn refusal(kind: FailureKind) -> Failure {
    Failure::not_run(NotRunProof::NeverDispatched, kind, None)
}

fn address(request: &Request) -> Option<(Method, Uri)> {
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

/// Trace and span: a caller may send two requests under one trace.
fn request_id(request: &Request) -> CompactString {
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
