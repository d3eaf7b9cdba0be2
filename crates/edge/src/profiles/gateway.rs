//! The daemon, as the HTTP handlers for callers see it.

use std::rc::Rc;

use futures::{FutureExt, StreamExt, stream};
use lapismoor_caller::{Answers, CallerAnswer, Demand, Gateway};
use lapismoor_core::admission::Refusal;
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use lapismoor_core::ids::WorkspaceId;
use lapismoor_core::request::{Identity, Request};

use super::order::{self, WorkspacePlace};
use super::{once, outcome};
use crate::context::Edge;
use crate::serve::{CallerGuard, Job, report_refused, run};

/// The daemon behind the handlers.
pub(crate) fn gateway(edge: &Rc<Edge>) -> Gateway {
    let for_config = Rc::clone(edge);
    let for_ready = Rc::clone(edge);
    let for_submit = Rc::clone(edge);
    Gateway {
        settings: edge.settings.callers.clone(),
        config: Rc::new(move || {
            let edge = &for_config;
            let may_accept = edge.state.borrow().freshness.may_accept_keys(edge.now());
            edge.profiles().filter(|_| may_accept)
        }),
        is_ready: Rc::new(move || for_ready.is_ready()),
        submit: Rc::new(move |demand| submit(&for_submit, demand)),
    }
}

fn submit(edge: &Rc<Edge>, demand: Demand) -> Answers {
    match demand {
        Demand::Ticket { workspace } => one(issue(edge, &workspace)),
        Demand::Request {
            request,
            identity: Identity::None,
            ..
        } => {
            let edge = Rc::clone(edge);
            let running = async move { dispatch(edge, &request).await };
            running.flatten_stream().boxed_local()
        }
        Demand::Request {
            request,
            identity,
            sent,
        } => {
            let edge = Rc::clone(edge);
            let serving = async move { once::serve(edge, request, identity, sent).await };
            serving.flatten_stream().boxed_local()
        }
    }
}

fn issue(edge: &Edge, workspace: &WorkspaceId) -> CallerAnswer {
    if !edge.accepts_requests() {
        return CallerAnswer::Fail(outcome::refused(&Refusal::Stopping));
    }
    let now = edge.now();
    match edge.state.borrow_mut().ledger.issue(now, workspace) {
        Ok(ticket) => CallerAnswer::Ticket(ticket),
        Err(failure) => CallerAnswer::Fail(failure),
    }
}

/// Runs a request; its answer comes as it is made.
pub(super) async fn dispatch(edge: Rc<Edge>, request: &Request) -> Answers {
    let received = edge.now();
    let guard = CallerGuard::new(&edge);
    let order = match order::admit(&edge, request, received) {
        Ok(order) => order,
        Err(failure) => return one(CallerAnswer::Fail(failure)),
    };
    if !edge.accepts_requests() {
        report_refused(&edge, &order.envelope.id, received, &Refusal::Stopping);
        return one(CallerAnswer::Fail(outcome::refused(&Refusal::Stopping)));
    }
    let workspace = match order::enter_workspace(&edge, &order) {
        Ok(workspace) => workspace,
        Err(wait) => {
            let refusal = Refusal::WorkspaceLimit { retry_after: wait };
            report_refused(&edge, &order.envelope.id, received, &refusal);
            let failure = Failure::not_run(
                NotRunProof::NeverDispatched,
                FailureKind::WorkspaceLimit,
                Some(wait),
            );
            return one(CallerAnswer::Fail(failure));
        }
    };
    let ending = run(Job::new(edge, guard, order)).await;
    holding(workspace, outcome::answers(ending))
}

/// Keeps a place until the answers were passed on, or their caller left.
fn holding(place: WorkspacePlace, answers: Answers) -> Answers {
    let state = (place, answers);
    let held = stream::unfold(state, |(place, mut answers)| async move {
        let next = answers.next().await?;
        Some((next, (place, answers)))
    });
    held.boxed_local()
}

/// One final answer.
pub(super) fn one(answer: CallerAnswer) -> Answers {
    stream::iter([answer]).boxed_local()
}
