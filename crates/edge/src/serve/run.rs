//! Runs one request to its end: sends it, judges what comes, sends it again where that is right.

use lapismoor_core::admission::Refusal;
use lapismoor_core::retry::NextStep;
use lapismoor_core::routing::NoTarget;

use actix_http::ResponseHead;

use super::attempt::{self, Answer, BufferedAnswer, FailedAttempt};
use super::job::Job;
use super::relay::Relay;
use super::report;

/// Longest answer that is kept until it is whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// How a request ended.
pub(crate) enum Outcome {
    /// A whole answer of a target.
    Buffered(BufferedAnswer),
    /// The head of a stream, and its events as they come.
    Stream(ResponseHead, Box<Relay>),
    /// No target ran it.
    Refused(Refusal),
    /// A target may have run it.
    Failed {
        /// What happened.
        cause: &'static str,
        /// Whether its time was over.
        is_late: bool,
        /// A target's own failure, to be passed on.
        answer: Option<BufferedAnswer>,
    },
}

/// Runs a request.
pub(crate) async fn run(mut job: Job) -> Outcome {
    if let Some(banned_for) = job.ban() {
        return refuse(&job, Refusal::CrashesTargets { banned_for });
    }
    if let Err(refusal) = job.enter().await {
        return refuse(&job, refusal);
    }
    let mut last_failure = None;
    loop {
        let choice = match job.choose() {
            Ok(choice) => choice,
            Err(reason) => return no_target(&job, &reason, last_failure),
        };
        let failed = match attempt::run(&job, &choice, job.order.envelope.last_event).await {
            Ok(answer) if job.order.route.is_stream() && answer.head.status.is_success() => {
                let head = attempt::clone_head(&answer.head);
                return Outcome::Stream(head, Box::new(Relay::new(job, choice, answer)));
            }
            Ok(answer) => match finish(&job, answer).await {
                Ok(whole) => return Outcome::Buffered(whole),
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        let step = job.after(choice.target, &failed);
        report::attempt_failed(&job, &choice, &failed, &step);
        last_failure = failed.answer.or(last_failure);
        match step {
            NextStep::Retry => {}
            step => return give_up(&job, &step, failed.cause, last_failure),
        }
    }
}

async fn finish(job: &Job, mut answer: Answer) -> Result<BufferedAnswer, FailedAttempt> {
    match attempt::collect(job, &mut answer, MAX_ANSWER_BYTES).await {
        Ok(body) => {
            let whole = BufferedAnswer {
                head: attempt::clone_head(&answer.head),
                body,
            };
            report::served(job, &answer.target_id, answer.head.status.as_u16());
            answer.give_back(job);
            Ok(whole)
        }
        Err(error) => {
            job.edge.target_answered(answer.target, true);
            Err(FailedAttempt::broken(error.name()))
        }
    }
}

fn refuse(job: &Job, refusal: Refusal) -> Outcome {
    report::job_refused(job, &refusal);
    Outcome::Refused(refusal)
}

fn no_target(job: &Job, reason: &NoTarget, last_failure: Option<BufferedAnswer>) -> Outcome {
    if job.progress.runs > 0 {
        return give_up(job, &NextStep::PassOn, "no_target", last_failure);
    }
    let refusal = match reason {
        NoTarget::NoneInUse => Refusal::NoTarget,
        NoTarget::NoneReachable => Refusal::Unreachable,
    };
    refuse(job, refusal)
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
