//! How long an attempt waits for the head of its answer.

use lapismoor_core::Moment;
use lapismoor_core::ids::TargetKey;
use tokio::time::sleep;

use super::job::Job;
use crate::http::ExchangeError;

/// Why an answer is no longer waited for.
pub(super) enum Waited {
    /// The exchange failed.
    Broken(ExchangeError),
    /// Nothing was heard of the target at all.
    Silent,
    /// The target lives, but this answer does not come.
    Slow,
    /// The time of the request is over.
    TimeUp,
}

/// Waits for an answer as long as that is better than to go elsewhere.
pub(super) async fn wait<T>(
    job: &Job,
    target: TargetKey,
    exchange: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, Waited> {
    let edge = &job.edge;
    let sent_at = edge.now();
    tokio::pin!(exchange);
    loop {
        let (wake_at, reason) = next_wake(job, target, sent_at);
        let pause = wake_at.saturating_sub(edge.now());
        tokio::select! {
            result = &mut exchange => return result.map_err(Waited::Broken),
            () = sleep(pause) => {}
        }
        let (due_at, _) = next_wake(job, target, sent_at);
        if edge.now() >= due_at {
            return Err(reason);
        }
    }
}

fn next_wake(job: &Job, target: TargetKey, sent_at: Moment) -> (Moment, Waited) {
    if !job.may_go_elsewhere() {
        return (job.until, Waited::TimeUp);
    }
    let tuning = &job.edge.settings.tuning;
    let heard_at = job.edge.heard_at(target).max(sent_at);
    let silent_at = heard_at + tuning.silence;
    let slow_at = sent_at + job.order.route.latency_objective * tuning.patience_aims;
    if job.until <= silent_at.min(slow_at) {
        (job.until, Waited::TimeUp)
    } else if slow_at <= silent_at {
        (slow_at, Waited::Slow)
    } else {
        (silent_at, Waited::Silent)
    }
}
