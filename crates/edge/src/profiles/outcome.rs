//! Converts the outcome of a request into the answer for callers of the profile API.

use std::rc::Rc;

use actix_http::ResponseHead;
use actix_http::header;
use compact_str::CompactString;
use futures::{StreamExt, stream};
use lapismoor_caller::{AnswerStream, CallerAnswer};
use lapismoor_core::admission::Refusal;
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};

use super::gateway::single;
use crate::buffers::OutOfMemory;
use crate::serve::{BufferedAnswer, CRASHES_TARGETS, Outcome};

/// Failure cause of a stream that reached its deadline.
const TIME_UP_CAUSE: &str = "time_up";

/// Converts the outcome of a request into a stream of answer parts.
pub(super) fn answers(outcome: Outcome) -> AnswerStream {
    match outcome {
        Outcome::Buffered(answer)
        | Outcome::Failed {
            answer: Some(answer),
            ..
        } => buffered_answer(answer),
        Outcome::Stream(head, forwarder) => {
            let head = stream::iter([part(head_part(&head))]);
            head.chain(event_parts(*forwarder)).boxed_local()
        }
        Outcome::Refused(refusal) => single(CallerAnswer::Fail(refusal_failure(&refusal))),
        Outcome::Failed { cause, is_late, .. } => {
            let kind = if cause == CRASHES_TARGETS {
                FailureKind::CrashesTargets
            } else if is_late {
                FailureKind::DeadlinePassed
            } else {
                FailureKind::TargetFailed
            };
            single(CallerAnswer::Fail(Failure::unknown(kind, None)))
        }
    }
}

/// The failure reported for a request that no target ran.
pub(super) fn refusal_failure(refusal: &Refusal) -> Failure {
    let (proof, kind) = match refusal {
        Refusal::Busy | Refusal::TargetsPaused { .. } | Refusal::TargetsLimited { .. } => {
            (NotRunProof::RefusedByTargets, FailureKind::NoTarget)
        }
        Refusal::NoTarget
        | Refusal::NoHomeTarget
        | Refusal::Evacuated
        | Refusal::Unreachable
        | Refusal::StreamVersionGone
        | Refusal::StreamOriginUnknown { .. } => {
            (NotRunProof::NeverDispatched, FailureKind::NoTarget)
        }
        Refusal::Full { .. } => (
            NotRunProof::NeverDispatched,
            FailureKind::DeadlineUnmeetable,
        ),
        Refusal::QueueFull { .. } => (NotRunProof::NeverDispatched, FailureKind::QueueFull),
        Refusal::MemoryFull => (NotRunProof::NeverAccepted, FailureKind::MemoryFull),
        Refusal::WorkspaceLimit { .. } => {
            (NotRunProof::NeverDispatched, FailureKind::WorkspaceLimit)
        }
        Refusal::CrashesTargets { .. } => {
            (NotRunProof::NeverDispatched, FailureKind::CrashesTargets)
        }
        Refusal::Stopping => (NotRunProof::NeverAccepted, FailureKind::Stopping),
        Refusal::NoConfiguration
        | Refusal::StaleConfiguration
        | Refusal::NoRoute
        | Refusal::UnknownKey => (NotRunProof::NeverAccepted, FailureKind::NotReady),
    };
    Failure::not_run(proof, kind, refusal.retry_after())
}

fn buffered_answer(answer: BufferedAnswer) -> AnswerStream {
    let head = stream::iter([part(head_part(&answer.head))]);
    let body = stream::unfold(Some(answer.body), |body| async {
        let mut body = body?;
        Some(match body.next_part() {
            Some(Ok(bytes)) => (part(AnswerPart::Data(bytes)), Some(body)),
            Some(Err(OutOfMemory)) => {
                let failure = Failure::unknown(FailureKind::AnswerCut, None);
                (CallerAnswer::Fail(failure), None)
            }
            None => (part(AnswerPart::End), None),
        })
    });
    head.chain(body).boxed_local()
}

/// The events of a stream, followed by its end or by the failure that cut it off.
fn event_parts(forwarder: crate::serve::StreamForwarder) -> AnswerStream {
    let is_cut_off = Rc::new(std::cell::Cell::new(false));
    let for_end = Rc::clone(&is_cut_off);
    let events = forwarder.into_stream().map(move |event| match event {
        Ok(bytes) => part(AnswerPart::Data(bytes)),
        Err(cause) => {
            is_cut_off.set(true);
            let kind = if cause == TIME_UP_CAUSE {
                FailureKind::DeadlinePassed
            } else {
                FailureKind::AnswerCut
            };
            CallerAnswer::Fail(Failure::unknown(kind, None))
        }
    });
    let end = stream::once(async move { (!for_end.get()).then(|| part(AnswerPart::End)) });
    events
        .chain(end.filter_map(|end| async { end }))
        .boxed_local()
}

fn head_part(head: &ResponseHead) -> AnswerPart {
    let content_type = head.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    AnswerPart::Head {
        status: head.status.as_u16(),
        content_type: CompactString::from(content_type.unwrap_or("application/octet-stream")),
    }
}

fn part(part: AnswerPart) -> CallerAnswer {
    CallerAnswer::Part(part)
}
