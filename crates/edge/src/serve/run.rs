//! Runs one request: sends it, checks the answer, and retries if the route's retry policy allows
//! that.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::admission::Refusal;
use lapismoor_core::retry::NextStep;
use lapismoor_core::routing::NoTarget;

use actix_http::ResponseHead;

use super::attempt::{self, Answer, BufferedAnswer, FailedAttempt};
use super::job::{GIVEN_UP_AT_EXIT, Job, TIME_UP};
use super::report;
use super::resumption::bind_to_origin;
use super::stream_forwarder::StreamForwarder;
use super::takeover;
use crate::http::ExchangeError;
use crate::store::share_now;

/// Longest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Cause of a request that is not sent again because it crashed targets.
pub(crate) const CRASHES_TARGETS: &str = "crashes_targets";

/// Cause of a request that is not sent again because the targets have reached their limits.
pub(crate) const LIMIT_REACHED: &str = "limit_reached";

/// Cause of a stream that cannot go on because no target has the software version that began it.
pub(crate) const VERSION_GONE: &str = "stream_version_gone";

/// Cause of an attempt that was not sent, or of a request that is not sent again, because the failure
/// domain of the target, or of all of them, is evacuated.
pub(crate) const EVACUATED: &str = "evacuated";

/// How a request ended.
pub(crate) enum Outcome {
    /// An answer of a target that was read completely.
    Buffered(BufferedAnswer),
    /// The head of a stream, and its events to be forwarded as they arrive.
    Stream(ResponseHead, Box<StreamForwarder>),
    /// No target ran it.
    Refused(Refusal),
    /// A target may have run it.
    Failed {
        /// Name of the cause for logs and metrics.
        cause: &'static str,
        /// Whether the deadline passed.
        is_late: bool,
        /// Failed answer of a target, to be forwarded.
        answer: Option<BufferedAnswer>,
    },
}

/// Runs a request up to its outcome, or up to the head of its stream.
pub(crate) async fn run(job: Job) -> Outcome {
    let edge = Rc::clone(&job.edge);
    let fingerprint = job.fingerprint;
    let outcome = run_attempts(job).await;
    if matches!(outcome, Outcome::Failed { .. }) && !edge.giving_up.is_cancelled() {
        // The caller may repeat the request at another daemon, which must know of its crashes.
        share_now(&edge, fingerprint).await;
    }
    outcome
}

async fn run_attempts(mut job: Job) -> Outcome {
    if let Some(banned_for) = job.crash_ban().await {
        return refuse(&job, Refusal::CrashesTargets { banned_for });
    }
    if let Err(refusal) = bind_to_origin(&job).await {
        return refuse(&job, refusal);
    }
    if let Err(refusal) = job.acquire_permit().await {
        return refuse(&job, refusal);
    }
    if !job.is_admitted_in_overload()
        && let Some(reason) = job.reason_for_overload()
    {
        return no_target(&job, &reason, None);
    }
    let mut last_failure = None;
    loop {
        if let Err(banned_for) = job.clear_to_send().await {
            return refuse_suspect(&job, banned_for, last_failure);
        }
        let choice = match job.choose_target(job.limit_wait_end()).await {
            Ok(_) if job.is_too_late_to_send() => return too_late(&job, last_failure),
            Ok(choice) => choice,
            Err(reason) => return no_target(&job, &reason, last_failure),
        };
        let last_event = job.request.envelope.last_event;
        let (choice, result) = takeover::run_attempt(&job, choice, last_event).await;
        let failed = match result {
            Ok(answer) if job.request.route.is_stream() && answer.head.status.is_success() => {
                let head = attempt::clone_head(&answer.head);
                return Outcome::Stream(head, Box::new(StreamForwarder::new(job, choice, answer)));
            }
            Ok(answer) => match buffer_answer(&job, answer).await {
                Ok(buffered) => return Outcome::Buffered(buffered),
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        let step = job.next_step(choice.target, &failed);
        report::attempt_failed(&job, &choice, &failed, &step);
        last_failure = failed.answer.or(last_failure);
        match step {
            NextStep::Retry => {}
            step => return give_up(&job, &step, failed.cause, last_failure),
        }
    }
}

async fn buffer_answer(job: &Job, mut answer: Answer) -> Result<BufferedAnswer, FailedAttempt> {
    match attempt::read_body(job, &mut answer, MAX_ANSWER_BYTES).await {
        Ok(body) => {
            let buffered = BufferedAnswer {
                head: attempt::clone_head(&answer.head),
                body,
            };
            let target_id = answer.target_id.clone();
            answer.release_connection(job);
            report::served(job, &target_id, buffered.head.status.as_u16());
            Ok(buffered)
        }
        Err(ExchangeError::DeadlinePassed) => {
            let cause = job.cause_of_timeout();
            let is_failure = cause == TIME_UP;
            job.edge.target_answered(answer.target, is_failure);
            Err(FailedAttempt::not_awaited(cause))
        }
        Err(error) => {
            job.edge.target_answered(answer.target, true);
            Err(FailedAttempt::cut_off(&error))
        }
    }
}

/// Ends a request that is not sent, or not sent again, as this daemon shuts down before its answer.
fn too_late(job: &Job, last_failure: Option<BufferedAnswer>) -> Outcome {
    if job.progress.get().runs > 0 {
        return give_up(job, &NextStep::FailUnknown, GIVEN_UP_AT_EXIT, last_failure);
    }
    refuse(job, Refusal::Stopping)
}

fn refuse(job: &Job, refusal: Refusal) -> Outcome {
    report::job_refused(job, &refusal);
    Outcome::Refused(refusal)
}

/// Ends a request that must not be sent again because it crashed targets, some of them perhaps in
/// this request.
fn refuse_suspect(
    job: &Job,
    banned_for: Duration,
    last_failure: Option<BufferedAnswer>,
) -> Outcome {
    if job.progress.get().runs > 0 {
        return give_up(job, &NextStep::FailUnknown, CRASHES_TARGETS, last_failure);
    }
    refuse(job, Refusal::CrashesTargets { banned_for })
}

fn no_target(job: &Job, reason: &NoTarget, last_failure: Option<BufferedAnswer>) -> Outcome {
    if job.progress.get().runs > 0 {
        let cause = match reason {
            NoTarget::Limited { .. } => LIMIT_REACHED,
            NoTarget::NoneOfVersion => VERSION_GONE,
            NoTarget::Evacuated => EVACUATED,
            _ => "no_target",
        };
        return give_up(job, &NextStep::PassOn, cause, last_failure);
    }
    let refusal = refusal_without_target(reason, |left| {
        job.edge.limit_retry_after(&job.request.service, left)
    });
    refuse(job, refusal)
}

/// The refusal of a request that was sent to no target. `limit_retry_after` returns when a caller may
/// return if a target may have room within its limit after a time.
pub(super) fn refusal_without_target(
    reason: &NoTarget,
    limit_retry_after: impl FnOnce(Duration) -> Duration,
) -> Refusal {
    match reason {
        NoTarget::NoneInUse => Refusal::NoTarget,
        NoTarget::NoneInHomes => Refusal::NoHomeTarget,
        NoTarget::Evacuated => Refusal::Evacuated,
        NoTarget::NoneOfVersion => Refusal::StreamVersionGone,
        NoTarget::NoneReachable => Refusal::Unreachable,
        NoTarget::Limited { left, .. } => Refusal::TargetsLimited {
            retry_after: limit_retry_after(*left),
        },
        NoTarget::Paused { left } => Refusal::TargetsPaused { retry_after: *left },
    }
}

fn give_up(
    job: &Job,
    step: &NextStep,
    cause: &'static str,
    answer: Option<BufferedAnswer>,
) -> Outcome {
    if *step == NextStep::RefuseNotRun {
        return refuse(job, Refusal::Busy);
    }
    let is_late = job.time_left().is_zero();
    report::failed(job, cause, answer.as_ref(), is_late);
    Outcome::Failed {
        cause,
        is_late,
        answer,
    }
}
