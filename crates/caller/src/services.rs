//! Calls to plain services.

use std::rc::Rc;

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use compact_str::CompactString;
use lapismoor_core::config::{Config, Pool, PoolKind, Profile};
use lapismoor_core::request::{Request, Work};

use crate::auth;
use crate::errors::Rejection;
use crate::gateway::{AnswerParts, BodyProblem, CallerRequest, Gateway, OriginalRequest};
use crate::trace::TraceContext;
use crate::{SERVICES_PREFIX, answer, headers};

/// Handles `/v1/services/{service}/{path}` with any method.
pub(crate) async fn call(
    gateway: web::Data<Gateway>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let body = (gateway.read_body)(&request, payload).await;
    match submit(&gateway, &request, body) {
        Ok((parts, trace)) => answer::stream_response(parts, trace).await,
        Err(rejection) => rejection.into_response(),
    }
}

fn submit(
    gateway: &Gateway,
    request: &HttpRequest,
    body: Result<Bytes, BodyProblem>,
) -> Result<(AnswerParts, TraceContext), Rejection> {
    let caller = auth::authenticate(gateway, request)?;
    let trace = caller.trace.clone();
    let body = headers::body(body, &trace)?;
    let config = &caller.accepted.config;
    let (service, path) = service_and_path(request, &trace)?;
    let pool = service_pool(config, service, &trace)?;
    let profile = profile(config, pool, request, &trace)?;
    let method = request.method().as_str();
    let original = Box::new(OriginalRequest::new(request, body.clone()));
    let service_request = Request {
        workspace: caller.workspace.name.clone(),
        profile: profile.name.clone(),
        pool: pool.name.clone(),
        chat: None,
        work: Work::Call {
            method: method.into(),
            path: with_query(path, request.query_string()),
        },
        class: profile.class,
        deadline: headers::deadline(request, profile, &trace)?,
        idempotent: pool.is_idempotent(method, path),
        replayable: false,
        content_type: content_type(request, &trace)?,
        body,
        traceparent: Some(trace.header()),
    };
    let identity = headers::identity(request, &trace)?;
    let caller_request = CallerRequest::Request {
        request: Rc::new(service_request),
        identity,
        original,
    };
    Ok((gateway.send(request, caller_request), trace))
}

/// The service and the path of a call, as the caller encoded them: the target may tell an encoded slash
/// from a plain one.
fn service_and_path<'a>(
    request: &'a HttpRequest,
    trace: &TraceContext,
) -> Result<(&'a str, &'a str), Rejection> {
    let path = request.uri().path().strip_prefix(SERVICES_PREFIX);
    let parts = path.and_then(|path| path.split_once('/'));
    parts.ok_or_else(|| {
        headers::bad_request("the path names no service; see docs/CALLING.md", trace)
    })
}

fn service_pool<'a>(
    config: &'a Config,
    service: &str,
    trace: &TraceContext,
) -> Result<&'a Pool, Rejection> {
    let pool = config.pool(service);
    let pool = pool.filter(|pool| pool.kind == PoolKind::Service);
    pool.ok_or_else(|| headers::bad_request("there is no such service; check its name", trace))
}

/// Finds the profile named in `x-profile`, or else the first one for the service.
fn profile<'a>(
    config: &'a Config,
    pool: &Pool,
    request: &HttpRequest,
    trace: &TraceContext,
) -> Result<&'a Profile, Rejection> {
    let mut profiles = config
        .profiles
        .iter()
        .filter(|profile| profile.pool == pool.name);
    let found = match headers::text(request, headers::PROFILE, trace)? {
        Some(name) => profiles.find(|profile| profile.name == name),
        None => profiles.next(),
    };
    found.ok_or_else(|| {
        let message = "no such profile for this service; send x-profile with one of its profiles";
        headers::bad_request(message, trace)
    })
}

fn with_query(path: &str, query: &str) -> CompactString {
    if query.is_empty() {
        return path.into();
    }
    compact_str::format_compact!("{path}?{query}")
}

fn content_type(request: &HttpRequest, trace: &TraceContext) -> Result<CompactString, Rejection> {
    let named = headers::text(request, "content-type", trace)?;
    Ok(named.unwrap_or("application/octet-stream").into())
}
