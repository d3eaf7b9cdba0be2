//! Serves a request whose answer is a stream of events, passed on as they arrive.

use actix_web::HttpResponse;
use actix_web::body::BodyStream;
use lapismoor_core::retry::NextStep;

use super::answers;
use super::attempt;
use super::job::Job;
use super::relay::Relay;

/// Serves a request.
pub(crate) async fn serve(mut job: Job) -> HttpResponse {
    let mut last_failure = None;
    let last_event = job.envelope.last_event;
    loop {
        let choice = match job.choose() {
            Ok(choice) => choice,
            Err(reason) => return answers::no_target(&job, &reason, last_failure),
        };
        let failed = match attempt::run(&job, &choice, last_event).await {
            Ok(answer) if answer.head.status.is_success() => {
                let head = answers::head_for(&job.edge, &answer.head);
                let body = BodyStream::new(Relay::new(job, choice, answer).into_stream());
                return answers::with_body(head, body);
            }
            Ok(answer) => return super::plain::pass_final(&job, answer).await,
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
