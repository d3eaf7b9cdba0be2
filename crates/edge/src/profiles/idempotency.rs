//! Idempotent requests, identified by a ticket or by an idempotency key of the caller. Only the
//! daemon that owns the id runs such a request, at most once; repeats receive the stored outcome.

use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use bytes::BytesMut;
use compact_str::CompactString;
use futures::StreamExt;
use lapismoor_caller::{AnswerStream, CallerAnswer, OriginalRequest};
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::failure::{Failure, FailureKind};
use lapismoor_core::ids::RequestId;
use lapismoor_core::once::{ClaimResult, KeptAnswer};
use lapismoor_core::request::{Identity, Request};
use tokio::sync::mpsc::{Sender, channel};

use super::gateway::{dispatch, single};
use super::{keys, ticket_owner};
use crate::context::Edge;
use crate::in_flight::CallerGuard;

/// Parts of an answer that wait for its first caller.
const FORWARDED_PARTS: usize = 4;
/// Time that the first caller has for each part after the deadline.
const LAST_PART_TIME: Duration = Duration::from_millis(200);

/// Serves a request that carries a ticket or an idempotency key. It is in flight from its arrival, as
/// a daemon that stops must not leave a key bound to itself whose request it has not run.
pub(super) async fn serve(
    edge: Rc<Edge>,
    guard: CallerGuard,
    request: Rc<Request>,
    identity: Identity,
    original: Box<OriginalRequest>,
) -> AnswerStream {
    let id = match identity {
        Identity::Ticket(id) => id,
        Identity::Key(key) => match keys::bind_key(&edge, &guard, &request.workspace, &key).await {
            Ok(id) => id,
            Err(failure) => return single(CallerAnswer::Fail(failure)),
        },
        Identity::None => return dispatch(edge, guard, &request).await,
    };
    if id.incarnation != edge.incarnation() {
        return single(
            ticket_owner::forward_to_owner(&edge, &guard, id, &request, &original).await,
        );
    }
    let claim = {
        let ledger = &mut edge.state.borrow_mut().ledger;
        ledger.claim(id, &request.workspace, request.fingerprint())
    };
    log::info!(
        request = request.traceparent.as_deref(),
        ticket:% = id,
        claim = claim_name(&claim);
        "ticket_used"
    );
    match claim {
        ClaimResult::Run => run_detached(&edge, guard.into_accepted(), id, request),
        ClaimResult::Wait => replay(wait_for_outcome(&edge, id, &request).await),
        ClaimResult::Answer(answer) => replay(Ok(answer)),
        ClaimResult::Fail(failure) => single(CallerAnswer::Fail(failure)),
    }
}

fn claim_name(claim: &ClaimResult) -> &'static str {
    match claim {
        ClaimResult::Run => "run",
        ClaimResult::Wait => "wait",
        ClaimResult::Answer(_) => "answer",
        ClaimResult::Fail(_) => "fail",
    }
}

/// Runs a request to completion even if its caller disconnects, so that a repeat receives the
/// answer.
fn run_detached(
    edge: &Rc<Edge>,
    guard: CallerGuard,
    id: RequestId,
    request: Rc<Request>,
) -> AnswerStream {
    let (sender, receiver) = channel(FORWARDED_PARTS);
    let edge = Rc::clone(edge);
    rt::spawn(async move {
        let answers = dispatch(Rc::clone(&edge), guard, &request).await;
        let outcome = forward_and_collect(&edge, answers, sender, &request).await;
        let now = edge.now();
        edge.state.borrow_mut().ledger.record_end(now, id, outcome);
        edge.idempotent_request_ended.notify_waiters();
    });
    let incoming = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|answer| (answer, receiver))
    });
    incoming.boxed_local()
}

/// Forwards an answer to the first caller as it arrives, and collects it for repeats. A caller that does
/// not read until the deadline is left behind. An answer that is too long to be kept is collected up to
/// the first byte above the limit.
async fn forward_and_collect(
    edge: &Edge,
    mut answers: AnswerStream,
    first_caller: Sender<CallerAnswer>,
    request: &Request,
) -> Result<KeptAnswer, Failure> {
    let deadline = edge.now() + request.deadline;
    let collected_bytes = edge.settings.once.kept_answer_bytes + 1;
    let mut first_caller = Some(first_caller);
    let mut status = 0;
    let mut content_type = CompactString::default();
    let mut body = BytesMut::new();
    while let Some(answer) = answers.next().await {
        if let Some(caller) = &first_caller {
            let time_left = deadline.saturating_sub(edge.now()).max(LAST_PART_TIME);
            let sending = caller.send(answer.clone());
            let sent = tokio::time::timeout(time_left, sending).await;
            if !matches!(sent, Ok(Ok(()))) {
                // The caller disconnected or does not read; a repeat receives the collected answer.
                first_caller = None;
            }
        }
        match answer {
            CallerAnswer::Part(AnswerPart::Head {
                status: head_status,
                content_type: head_content_type,
            }) => {
                status = head_status;
                content_type = head_content_type;
            }
            CallerAnswer::Part(AnswerPart::Data(bytes)) => {
                let room_bytes = collected_bytes.saturating_sub(body.len());
                body.extend_from_slice(&bytes[..bytes.len().min(room_bytes)]);
            }
            CallerAnswer::Part(AnswerPart::End) => {
                return Ok(KeptAnswer {
                    status,
                    content_type,
                    body: body.freeze(),
                });
            }
            CallerAnswer::Fail(failure) => return Err(failure),
            CallerAnswer::Ticket(_) | CallerAnswer::Relayed(_) => break,
        }
    }
    Err(Failure::unknown(FailureKind::AnswerCut, None))
}

/// Waits, up to the request's deadline, for the outcome of the same request running for another
/// caller.
async fn wait_for_outcome(
    edge: &Edge,
    id: RequestId,
    request: &Request,
) -> Result<KeptAnswer, Failure> {
    let waiting = async {
        loop {
            let ended = edge.idempotent_request_ended.notified();
            if let Some(outcome) = edge.state.borrow().ledger.outcome(id) {
                return outcome;
            }
            ended.await;
        }
    };
    let waited = edge.in_time(request.deadline, waiting).await;
    waited.unwrap_or_else(|| Err(Failure::unknown(FailureKind::DeadlinePassed, None)))
}

fn replay(end: Result<KeptAnswer, Failure>) -> AnswerStream {
    let answer = match end {
        Ok(answer) => answer,
        Err(failure) => return single(CallerAnswer::Fail(failure)),
    };
    let parts = [
        AnswerPart::Head {
            status: answer.status,
            content_type: answer.content_type,
        },
        AnswerPart::Data(answer.body),
        AnswerPart::End,
    ];
    futures::stream::iter(parts.map(CallerAnswer::Part)).boxed_local()
}
