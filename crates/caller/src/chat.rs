//! Chat completions and the list of models.

use std::rc::Rc;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use lapismoor_core::config::{Config, PoolKind, Profile};
use lapismoor_core::request::{Request, Work};
use serde_json::{Value, json};

use crate::answer::Collected;
use crate::auth::{self, Authenticated};
use crate::errors::Rejection;
use crate::gateway::{
    AnswerMemory, AnswerParts, BodyProblem, CallerRequest, Gateway, OriginalRequest,
};
use crate::trace::TraceContext;
use crate::{aggregate, answer, errors, headers, prompt};

/// Handles `GET /v1/models`.
pub(crate) async fn models(gateway: web::Data<Gateway>, request: HttpRequest) -> HttpResponse {
    let caller = match auth::authenticate(&gateway, &request) {
        Ok(caller) => caller,
        Err(rejection) => return rejection.into_response(),
    };
    let pools = caller.accepted.config.pools.iter();
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

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn completions(
    gateway: web::Data<Gateway>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let body = (gateway.read_body)(&request, payload).await;
    match submit(&gateway, &request, body) {
        Ok(chat) if chat.is_streaming => answer::stream_response(chat.parts, chat.trace).await,
        Ok(chat) => {
            let memory = (gateway.open_memory)();
            complete_response(chat.parts, memory, &chat.trace).await
        }
        Err(rejection) => rejection.into_response(),
    }
}

struct SubmittedChat {
    parts: AnswerParts,
    /// Whether the caller asked for a stream; targets are always asked for one.
    is_streaming: bool,
    trace: TraceContext,
}

fn submit(
    gateway: &Gateway,
    request: &HttpRequest,
    body: Result<Bytes, BodyProblem>,
) -> Result<SubmittedChat, Rejection> {
    let caller = auth::authenticate(gateway, request)?;
    let trace = caller.trace.clone();
    let body = headers::body(body, &trace)?;
    let mut document = parse(&body, &trace)?;
    let is_streaming = document["stream"].as_bool().unwrap_or(false);
    let profile = profile(&caller.accepted.config, request, &document, &trace)?;
    document["stream"] = Value::Bool(true);
    document["model"] = Value::String(profile.model.to_string());
    let identity = headers::identity(request, &trace)?;
    let original = Box::new(OriginalRequest::new(request, body));
    let chat_request = Rc::new(chat_request(&caller, request, &profile, &document)?);
    let caller_request = CallerRequest::Request {
        request: chat_request,
        identity,
        original,
    };
    Ok(SubmittedChat {
        parts: gateway.send(request, caller_request),
        is_streaming,
        trace,
    })
}

fn parse(body: &[u8], trace: &TraceContext) -> Result<Value, Rejection> {
    let document: Option<Value> = serde_json::from_slice(body).ok();
    let is_chat = |document: &Value| document["messages"].is_array();
    document.filter(is_chat).ok_or_else(|| {
        headers::bad_request(
            "the body is no chat completion; send JSON with 'messages'",
            trace,
        )
    })
}

/// Finds the chat profile named in `x-profile`, or else the first one for the requested model, or
/// the first one of all if the request names no model.
fn profile(
    config: &Config,
    request: &HttpRequest,
    document: &Value,
    trace: &TraceContext,
) -> Result<Profile, Rejection> {
    let is_chat = |profile: &&Profile| {
        let pool = config.pool(&profile.pool);
        pool.is_some_and(|pool| pool.kind == PoolKind::Engines)
    };
    let mut profiles = config.profiles.iter().filter(is_chat);
    let found = if let Some(name) = headers::text(request, headers::PROFILE, trace)? {
        profiles.find(|profile| profile.name == name)
    } else {
        match &document["model"] {
            Value::Null => profiles.next(),
            Value::String(model) => {
                profiles.find(|profile| model.is_empty() || profile.model == *model)
            }
            _ => {
                return Err(headers::bad_request(
                    "model is no text; send a model's name",
                    trace,
                ));
            }
        }
    };
    found.cloned().ok_or_else(|| {
        let message = "no such profile or model; send x-profile with a chat profile's name";
        headers::bad_request(message, trace)
    })
}

fn chat_request(
    caller: &Authenticated,
    request: &HttpRequest,
    profile: &Profile,
    document: &Value,
) -> Result<Request, Rejection> {
    let trace = &caller.trace;
    let workspace = &caller.workspace.name;
    let chat = headers::chat_id(request, trace)?;
    Ok(Request {
        workspace: workspace.clone(),
        profile: profile.name.clone(),
        pool: profile.pool.clone(),
        chat: Some(prompt::chat_key(workspace, chat.as_deref(), document)),
        work: Work::Chat {
            model: profile.model.clone(),
            tokens: prompt::estimate_tokens(document),
        },
        class: profile.class,
        deadline: headers::deadline(request, profile, trace)?,
        idempotent: profile.replayable,
        replayable: profile.replayable,
        content_type: "application/json".into(),
        body: Bytes::from(document.to_string()),
        traceparent: Some(trace.header()),
    })
}

/// Buffers the answer and responds with one completion instead of a stream.
async fn complete_response(
    parts: AnswerParts,
    memory: AnswerMemory,
    trace: &TraceContext,
) -> HttpResponse {
    let (status, events) = match answer::collect(parts, memory).await {
        Ok(Collected::Answer(status, events)) => (status, events),
        Ok(Collected::Relayed(response)) => return response,
        Err(failure) => return errors::response(&failure, &trace.trace_id),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if !status.is_success() {
        return HttpResponse::build(status).body(events);
    }
    let Some(completion) = aggregate::assemble_completion(&events) else {
        return errors::response(&answer::answer_cut(), &trace.trace_id);
    };
    HttpResponse::Ok()
        .insert_header(("x-request-id", trace.trace_id.as_str()))
        .json(completion)
}
