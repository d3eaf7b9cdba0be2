//! Serves a request whose answer is passed on only when it is whole.

use actix_web::HttpResponse;
use lapismoor_core::retry::{AttemptEnd, NextStep};

use super::answers;
use super::attempt::{self, Answer, FailedAttempt, FailureAnswer};
use super::job::Job;

/// Longest answer that is kept until it is whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Serves a request.
pub(crate) async fn serve(mut job: Job) -> HttpResponse {
    let mut last_failure = None;
    loop {
        let choice = match job.choose() {
            Ok(choice) => choice,
            Err(reason) => return answers::no_target(&job, &reason, last_failure),
        };
        let failed = match attempt::run(&job, &choice, None).await {
            Ok(answer) => match finish(&job, answer).await {
                Ok(response) => return response,
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        let step = job.after(choice.target, &failed.end);
        answers::log_failed_attempt(&job, &choice, &failed, &step);
        last_failure = failed.answer.or(last_failure);
        match step {
            NextStep::Retry => {}
            step => return answers::given_up(&job, &step, failed.cause, last_failure),
        }
    }
}

async fn finish(job: &Job, mut answer: Answer) -> Result<HttpResponse, FailedAttempt> {
    match attempt::collect(job, &mut answer, MAX_ANSWER_BYTES).await {
        Ok(body) => {
            let whole = FailureAnswer {
                head: attempt::clone_head(&answer.head),
                body,
            };
            answers::log_served(job, &answer.target_id, answer.head.status.as_u16());
            answer.give_back(job);
            Ok(answers::passed_on(&job.edge, whole))
        }
        Err(error) => {
            job.edge.target_answered(answer.target, true);
            Err(FailedAttempt {
                end: AttemptEnd::Unknown,
                cause: error.name(),
                answer: None,
            })
        }
    }
}

/// Passes on an answer that is final though it is no success.
pub(crate) async fn pass_final(job: &Job, answer: Answer) -> HttpResponse {
    match finish(job, answer).await {
        Ok(response) => response,
        Err(failed) => answers::given_up(job, &NextStep::FailUnknown, failed.cause, None),
    }
}
