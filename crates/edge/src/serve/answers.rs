//! Answers to callers, each with its log line.

use std::rc::Rc;

use actix_http::ResponseHead;
use actix_http::header::{self, HeaderMap};
use actix_web::body::{BodyStream, MessageBody};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::Refusal;
use lapismoor_core::ids::TargetId;
use lapismoor_core::retry::NextStep;
use lapismoor_core::routing::{Choice, NoTarget};

use super::attempt::{FailedAttempt, FailureAnswer};
use super::body::BodyError;
use super::job::{Job, is_hop_by_hop};
use crate::context::Edge;
use crate::dialect::EnvelopeError;
use crate::millis::millis;

/// Refuses a request that has not run.
pub(crate) fn refused(
    edge: &Rc<Edge>,
    id: &CompactString,
    received: Moment,
    refusal: &Refusal,
) -> HttpResponse {
    let age = edge.config_age();
    let config = edge.config();
    edge.metrics.refused(refusal.name());
    log::warn!(
        request:% = id,
        reason = refusal.name(),
        status = refusal.status(),
        config_version = config.map(|config| config.version()),
        config_age_ms = age.map(millis),
        held_ms = millis(edge.now().saturating_sub(received));
        "refused"
    );
    let mut builder = builder(edge, refusal.status());
    if let Some(wait) = refusal.retry_after() {
        let mut headers = HeaderMap::new();
        (edge.dialect.write_retry_after)(wait, &mut headers);
        append(&mut builder, &headers);
    }
    builder.body(refusal.name())
}

/// Answers when no target is left.
pub(crate) fn no_target(
    job: &Job,
    reason: &NoTarget,
    last_failure: Option<FailureAnswer>,
) -> HttpResponse {
    if job.progress.runs > 0 {
        return given_up(job, &NextStep::PassOn, "no_target", last_failure);
    }
    let refusal = match reason {
        NoTarget::NoneInUse => Refusal::NoTarget,
        NoTarget::NoneReachable => Refusal::Unreachable,
    };
    refused(&job.edge, &job.envelope.id, job.received, &refusal)
}

/// Answers a request that was given up after an attempt.
pub(crate) fn given_up(
    job: &Job,
    step: &NextStep,
    cause: &'static str,
    last_failure: Option<FailureAnswer>,
) -> HttpResponse {
    if *step == NextStep::RefuseNotRun {
        return refused(&job.edge, &job.envelope.id, job.received, &Refusal::Busy);
    }
    let status = match &last_failure {
        Some(failure) => failure.head.status.as_u16(),
        None if job.time_left().is_zero() => 504,
        None => 502,
    };
    job.edge.metrics.failed(cause);
    log::warn!(
        request:% = job.envelope.id,
        service:% = job.service,
        status,
        cause,
        runs = job.progress.runs,
        sends = job.progress.sends,
        held_ms = millis(job.edge.now().saturating_sub(job.received));
        "failed"
    );
    match last_failure {
        Some(failure) => passed_on(&job.edge, failure),
        None => builder(&job.edge, status).body(cause),
    }
}

/// Answers a request that cannot be understood.
pub(crate) fn malformed(edge: &Rc<Edge>, error: &EnvelopeError) -> HttpResponse {
    log::warn!(error:%; "request_malformed");
    builder(edge, 400).body(error.to_string())
}

/// Answers a request whose body did not arrive.
pub(crate) fn bad_body(edge: &Rc<Edge>, id: &CompactString, error: &BodyError) -> HttpResponse {
    log::warn!(request:% = id, error:%; "request_body_refused");
    let status = match error {
        BodyError::TooLong { .. } => 413,
        BodyError::CutOff { .. } => 400,
    };
    builder(edge, status).body(error.to_string())
}

/// Passes a whole answer of a target on.
pub(crate) fn passed_on(edge: &Edge, answer: FailureAnswer) -> HttpResponse {
    head_for(edge, &answer.head).body(answer.body)
}

/// Status and headers of a target's answer, for the caller.
pub(crate) fn head_for(edge: &Edge, head: &ResponseHead) -> HttpResponseBuilder {
    let mut builder = builder(edge, head.status.as_u16());
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH {
            headers.append(name.clone(), value.clone());
        }
    }
    append(&mut builder, &headers);
    builder
}

/// An answer whose body follows.
pub(crate) fn with_body<S, E>(mut builder: HttpResponseBuilder, body: BodyStream<S>) -> HttpResponse
where
    BodyStream<S>: MessageBody + 'static,
    S: futures::Stream<Item = Result<bytes::Bytes, E>> + 'static,
    E: Into<Box<dyn std::error::Error>> + 'static,
{
    builder.body(body)
}

/// Counts and, now and then, logs a request that was served.
pub(crate) fn log_served(job: &Job, target: &TargetId, status: u16) {
    let edge = &job.edge;
    let took = edge.now().saturating_sub(job.received);
    edge.metrics.served(took);
    if !job.is_logged() {
        return;
    }
    log::info!(
        request:% = job.envelope.id,
        service:% = job.service,
        target:% = target,
        status,
        sends = job.progress.sends + 1,
        config_version = job.config_version,
        waited_ms = millis(job.waited),
        took_ms = millis(took);
        "served"
    );
}

/// Logs an attempt that failed and what follows.
pub(crate) fn log_failed_attempt(
    job: &Job,
    choice: &Choice,
    failed: &FailedAttempt,
    step: &NextStep,
) {
    let target = choice.target;
    let name = job
        .edge
        .address_of(target)
        .map(|(id, _)| id)
        .unwrap_or_default();
    job.edge.metrics.attempt_failed(failed.cause);
    log::info!(
        request:% = job.envelope.id,
        service:% = job.service,
        target:% = name,
        reason:? = choice.reason,
        load = choice.load,
        bound = choice.bound,
        end:? = failed.end,
        cause = failed.cause,
        next:? = step,
        runs = job.progress.runs,
        retries_left = job.edge.retries_left(&job.service) as u64,
        load_age_ms = job.edge.load_age(target).map(millis),
        time_left_ms = millis(job.time_left());
        "attempt_failed"
    );
}

/// Logs a stream that ends before it is whole.
pub(crate) fn log_broken_off(job: &Job, cause: &'static str, last_event: Option<u64>) {
    job.edge.metrics.failed(cause);
    log::warn!(
        request:% = job.envelope.id,
        service:% = job.service,
        cause,
        last_event,
        runs = job.progress.runs,
        held_ms = millis(job.edge.now().saturating_sub(job.received));
        "broken_off"
    );
}

/// A stopping daemon closes each connection with its next answer.
fn builder(edge: &Edge, status: u16) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponseBuilder::new(status);
    if edge.stopping.is_cancelled() {
        builder.force_close();
    }
    builder
}

fn append(builder: &mut HttpResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers {
        builder.append_header((name.clone(), value.clone()));
    }
}
