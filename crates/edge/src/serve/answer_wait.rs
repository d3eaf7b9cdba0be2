//! Limits how long an attempt waits for the head of its answer.

use lapismoor_core::Moment;
use lapismoor_core::ids::TargetKey;
use tokio::time::sleep;

use super::job::Job;
use crate::http::ExchangeError;

/// Why waiting for an answer ended without one.
pub(super) enum WaitError {
    Exchange(ExchangeError),
    /// Nothing was received from the target on any connection.
    Silent,
    /// The target is alive, but this answer is late.
    Slow,
    DeadlinePassed,
}

/// Waits for an answer until the deadline, or until the target is silent or slow if the request may
/// be retried.
pub(super) async fn wait_for_answer<T>(
    job: &Job,
    target: TargetKey,
    exchange: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, WaitError> {
    let edge = &job.edge;
    let sent_at = edge.now();
    tokio::pin!(exchange);
    loop {
        let (wake_at, reason) = next_wake(job, target, sent_at);
        let pause = wake_at.saturating_sub(edge.now());
        tokio::select! {
            result = &mut exchange => return result.map_err(WaitError::Exchange),
            () = sleep(pause) => {}
        }
        let (due_at, _) = next_wake(job, target, sent_at);
        if edge.now() >= due_at {
            return Err(reason);
        }
    }
}

/// When waiting ends, and why. The moment moves later whenever the target sends anything.
fn next_wake(job: &Job, target: TargetKey, sent_at: Moment) -> (Moment, WaitError) {
    if !job.may_retry() {
        return (job.deadline, WaitError::DeadlinePassed);
    }
    let tuning = &job.edge.settings.tuning;
    let heard_at = job.edge.heard_at(target).max(sent_at);
    let silent_at = heard_at + tuning.silence_timeout;
    let slow_at = sent_at + job.request.route.latency_objective * tuning.patience_aims;
    if job.deadline <= silent_at.min(slow_at) {
        (job.deadline, WaitError::DeadlinePassed)
    } else if slow_at <= silent_at {
        (slow_at, WaitError::Slow)
    } else {
        (silent_at, WaitError::Silent)
    }
}
