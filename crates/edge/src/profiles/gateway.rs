//! Connects the profile API's HTTP handlers to the daemon.

use std::rc::Rc;

use actix_web::web::Payload;
use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use lapismoor_caller::{
    AnswerMemory, AnswerStream, BodyProblem, CallerAnswer, CallerRequest, Gateway,
};
use lapismoor_core::admission::{BufferOwner, Growth, Refusal};
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use lapismoor_core::ids::WorkspaceId;
use lapismoor_core::request::{Identity, Request};

use super::admitted_request::{self, WorkspacePermit};
use super::{idempotency, outcome};
use crate::context::Edge;
use crate::in_flight::CallerGuard;
use crate::serve::{
    AdmittedRequest, BodyError, BodyLimits, Job, growth, read_request_body, report_refused, run,
    stated_length,
};

/// Group of the buffers of profile requests, whose workspace is not known yet.
const PROFILES: &str = "profiles";

/// Builds the interface through which the HTTP handlers reach the daemon.
pub(crate) fn gateway(edge: &Rc<Edge>) -> Gateway {
    let for_config = Rc::clone(edge);
    let for_ready = Rc::clone(edge);
    let for_submit = Rc::clone(edge);
    let for_bodies = Rc::clone(edge);
    let for_memory = Rc::clone(edge);
    Gateway {
        settings: edge.settings.callers.clone(),
        config: Rc::new(move || {
            let edge = &for_config;
            let may_accept = edge.state.borrow().freshness.may_accept_keys(edge.now());
            edge.profiles().filter(|_| may_accept)
        }),
        is_ready: Rc::new(move || for_ready.is_ready()),
        read_body: Rc::new(move |http_request, payload| {
            let guard = CallerGuard::of(&for_bodies, http_request);
            let stated_bytes = stated_length(http_request.headers());
            read_body(Rc::clone(&for_bodies), guard, stated_bytes, payload).boxed_local()
        }),
        open_memory: Rc::new(move || open_memory(&for_memory)),
        submit: Rc::new(move |http_request, caller_request| {
            let guard = CallerGuard::of(&for_submit, http_request);
            submit(&for_submit, guard, caller_request)
        }),
    }
}

async fn read_body(
    edge: Rc<Edge>,
    guard: CallerGuard,
    stated_bytes: Option<usize>,
    mut payload: Payload,
) -> Result<Bytes, BodyProblem> {
    let limits = BodyLimits {
        max_bytes: edge.settings.callers.max_body_bytes,
        time_left: None,
        idle_timeout: edge.caller_timeouts().idle,
    };
    let lease = edge.request_buffers.open(owner(), growth(stated_bytes));
    let connection = guard.connection();
    let reading = read_request_body(
        &mut payload,
        connection.as_deref(),
        stated_bytes,
        limits,
        lease,
    );
    match reading.await {
        Ok((body, lease)) => {
            guard.keep_buffer(lease);
            Ok(body)
        }
        Err(BodyError::TooLong { .. }) => Err(BodyProblem::TooLarge),
        Err(BodyError::CutOff { .. }) => Err(BodyProblem::CutOff),
        Err(BodyError::NoMemory) => Err(BodyProblem::NoMemory),
        Err(BodyError::Late) => Err(BodyProblem::Late),
    }
}

/// Whose buffers those of profile requests are.
fn owner() -> BufferOwner {
    BufferOwner {
        group: PROFILES.into(),
        member: 0,
    }
}

/// Opens the memory for a chat that is sent in one piece.
fn open_memory(edge: &Edge) -> AnswerMemory {
    let lease = Rc::new(edge.answer_buffers.open(owner(), Growth::Open));
    let evicted = lease.evicted();
    AnswerMemory {
        reserve: Box::new(move |bytes| {
            let lease = Rc::clone(&lease);
            async move { lease.reserve(bytes).await.is_ok() }.boxed_local()
        }),
        revoked: async move { evicted.cancelled().await }.boxed_local(),
    }
}

fn submit(edge: &Rc<Edge>, guard: CallerGuard, caller_request: CallerRequest) -> AnswerStream {
    if let CallerRequest::Request { request, .. } = &caller_request {
        guard.set_id(&admitted_request::request_id(request));
    }
    match caller_request {
        CallerRequest::Ticket { workspace } => single(issue_ticket(edge, &workspace)),
        CallerRequest::Request {
            request,
            identity: Identity::None,
            ..
        } => {
            let edge = Rc::clone(edge);
            let running = async move { dispatch(edge, guard, &request).await };
            running.flatten_stream().boxed_local()
        }
        CallerRequest::Request {
            request,
            identity,
            original,
        } => {
            let edge = Rc::clone(edge);
            let serving =
                async move { idempotency::serve(edge, guard, request, identity, original).await };
            serving.flatten_stream().boxed_local()
        }
    }
}

/// Issues a ticket. A daemon that stops issues none, as a ticket is valid for longer than it runs.
fn issue_ticket(edge: &Edge, workspace: &WorkspaceId) -> CallerAnswer {
    if edge.stopping.is_cancelled() {
        return CallerAnswer::Fail(outcome::refusal_failure(&Refusal::Stopping));
    }
    let now = edge.now();
    match edge.state.borrow_mut().ledger.issue(now, workspace) {
        Ok(ticket) => CallerAnswer::Ticket(ticket),
        Err(failure) => CallerAnswer::Fail(failure),
    }
}

/// Admits a request, runs it and streams its answer.
pub(super) async fn dispatch(
    edge: Rc<Edge>,
    guard: CallerGuard,
    request: &Request,
) -> AnswerStream {
    let received = edge.now();
    let admitted_request = match admitted_request::build(&edge, request, received) {
        Ok(admitted_request) => admitted_request,
        Err(failure) => return single(CallerAnswer::Fail(failure)),
    };
    if !guard.is_accepted {
        report(&edge, &admitted_request, &Refusal::Stopping);
        return single(CallerAnswer::Fail(outcome::refusal_failure(
            &Refusal::Stopping,
        )));
    }
    let permit = match admitted_request::acquire_workspace_permit(&edge, &admitted_request) {
        Ok(permit) => permit,
        Err(wait) => {
            let refusal = Refusal::WorkspaceLimit { retry_after: wait };
            report(&edge, &admitted_request, &refusal);
            let failure = Failure::not_run(
                NotRunProof::NeverDispatched,
                FailureKind::WorkspaceLimit,
                Some(wait),
            );
            return single(CallerAnswer::Fail(failure));
        }
    };
    let outcome = run(Job::new(edge, guard, admitted_request)).await;
    with_permit(permit, outcome::answers(outcome))
}

fn report(edge: &Edge, request: &AdmittedRequest, refusal: &Refusal) {
    report_refused(
        edge,
        &request.envelope.id,
        request.route_key(),
        request.received,
        refusal,
    );
}

/// Holds a permit until the stream ends or is dropped because the caller disconnected.
fn with_permit(permit: WorkspacePermit, answers: AnswerStream) -> AnswerStream {
    let state = (permit, answers);
    let guarded = stream::unfold(state, |(permit, mut answers)| async move {
        let next = answers.next().await?;
        Some((next, (permit, answers)))
    });
    guarded.boxed_local()
}

/// A stream of one final answer.
pub(super) fn single(answer: CallerAnswer) -> AnswerStream {
    stream::iter([answer]).boxed_local()
}
