//! Chat completions and the list of models.

use std::rc::Rc;

use actix_web::http::StatusCode;
use actix_web::{Error, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use lapismoor_core::config::{Config, PoolKind, Profile};
use lapismoor_core::request::{Request, Work};
use serde_json::{Value, json};

use crate::answer::Collected;
use crate::auth::{self, Admitted};
use crate::errors::Refusal;
use crate::gateway::{CallerRequest, Gateway, Incoming, OriginalRequest};
use crate::trace::TraceContext;
use crate::{aggregate, answer, errors, headers, prompt};

/// `GET /v1/models`.
pub(crate) async fn models(gateway: web::Data<Gateway>, request: HttpRequest) -> HttpResponse {
    let admitted = match auth::admit(&gateway, &request) {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal.into_response(),
    };
    let pools = admitted.accepted.config.pools.iter();
    let mut names: Vec<&str> = pools
        .flat_map(|pool| &pool.models)
        .map(compact_str::CompactString::as_str)
        .collect();
    names.sort_unstable();
    names.dedup();
    let model = |name| json!({"id": name, "object": "model", "owned_by": "lapismoor"});
    let data: Vec<Value> = names.into_iter().map(model).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}

/// `POST /v1/chat/completions`.
pub(crate) async fn completions(
    gateway: web::Data<Gateway>,
    request: HttpRequest,
    body: Result<web::Bytes, Error>,
) -> HttpResponse {
    match accept(&gateway, &request, body) {
        Ok(accepted) if accepted.streamed => answer::pass(accepted.incoming, accepted.trace).await,
        Ok(accepted) => whole(accepted.incoming, &accepted.trace).await,
        Err(refusal) => refusal.into_response(),
    }
}

struct AcceptedChat {
    incoming: Incoming,
    streamed: bool,
    trace: TraceContext,
}

fn accept(
    gateway: &Gateway,
    request: &HttpRequest,
    body: Result<web::Bytes, Error>,
) -> Result<AcceptedChat, Refusal> {
    let admitted = auth::admit(gateway, request)?;
    let trace = admitted.trace.clone();
    let body = headers::body(body, &trace)?;
    let mut document = parse(&body, &trace)?;
    let streamed = document["stream"].as_bool().unwrap_or(false);
    let profile = profile(&admitted.accepted.config, request, &document, &trace)?;
    document["stream"] = Value::Bool(true);
    document["model"] = Value::String(profile.model.to_string());
    let identity = headers::identity(request, &trace)?;
    let original = Box::new(OriginalRequest::new(request, body));
    let request = Rc::new(chat_request(&admitted, request, &profile, &document)?);
    let demand = CallerRequest::Request {
        request,
        identity,
        original,
    };
    Ok(AcceptedChat {
        incoming: gateway.demand(demand),
        streamed,
        trace,
    })
}

fn parse(body: &[u8], trace: &TraceContext) -> Result<Value, Refusal> {
    let document: Option<Value> = serde_json::from_slice(body).ok();
    let is_chat = |document: &Value| document["messages"].is_array();
    document.filter(is_chat).ok_or_else(|| {
        headers::bad(
            "the body is no chat completion; send JSON with 'messages'",
            trace,
        )
    })
}

/// The profile that the caller named, or the first one for its model.
fn profile(
    config: &Config,
    request: &HttpRequest,
    document: &Value,
    trace: &TraceContext,
) -> Result<Profile, Refusal> {
    let is_chat = |profile: &&Profile| {
        let pool = config.pool(&profile.pool);
        pool.is_some_and(|pool| pool.kind == PoolKind::Engines)
    };
    let mut profiles = config.profiles.iter().filter(is_chat);
    let found = if let Some(name) = headers::text(request, headers::PROFILE) {
        profiles.find(|profile| profile.name == name)
    } else {
        match &document["model"] {
            Value::Null => profiles.next(),
            Value::String(model) => {
                profiles.find(|profile| model.is_empty() || profile.model == *model)
            }
            _ => return Err(headers::bad("model is no text; send a model's name", trace)),
        }
    };
    found.cloned().ok_or_else(|| {
        let message = "no such profile or model; send x-profile with a chat profile's name";
        headers::bad(message, trace)
    })
}

fn chat_request(
    admitted: &Admitted,
    request: &HttpRequest,
    profile: &Profile,
    document: &Value,
) -> Result<Request, Refusal> {
    let trace = &admitted.trace;
    let workspace = &admitted.workspace.name;
    let chat = headers::chat_id(request, trace)?;
    Ok(Request {
        workspace: workspace.clone(),
        profile: profile.name.clone(),
        pool: profile.pool.clone(),
        chat: Some(prompt::chat_key(workspace, chat.as_deref(), document)),
        work: Work::Chat {
            model: profile.model.clone(),
            tokens: prompt::tokens(document),
        },
        class: profile.class,
        deadline: headers::deadline(request, profile, trace)?,
        idempotent: true,
        replayable: profile.replayable,
        content_type: "application/json".into(),
        body: Bytes::from(document.to_string()),
        traceparent: Some(trace.header()),
    })
}

/// The answer in one piece.
async fn whole(incoming: Incoming, trace: &TraceContext) -> HttpResponse {
    let (status, events) = match answer::collect(incoming).await {
        Ok(Collected::Answer(status, events)) => (status, events),
        Ok(Collected::Response(response)) => return response,
        Err(failure) => return errors::response(&failure, &trace.trace_id),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if !status.is_success() {
        return HttpResponse::build(status).body(events);
    }
    let Some(completion) = aggregate::whole_completion(&events) else {
        return errors::response(&answer::broken_off(), &trace.trace_id);
    };
    HttpResponse::Ok()
        .insert_header(("x-request-id", trace.trace_id.as_str()))
        .json(completion)
}
