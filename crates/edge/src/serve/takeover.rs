//! Moves requests from targets whose answer is overdue to other targets.
//!
//! A target that is silent may be sound and go on. Its attempt stays open until another target has
//! taken the request over, and until the deadline if none does.

use std::time::Duration;

use futures::FutureExt;
use futures::future::{self, LocalBoxFuture};
use lapismoor_core::Moment;
use lapismoor_core::retry::{AttemptEnd, NextStep};
use lapismoor_core::routing::Choice;
use tokio::time::sleep;

use super::attempt::{self, Answer, FailedAttempt, PreparedAttempt};
use super::job::Job;
use super::report;
use super::run::LIMIT_REACHED;

/// Time for which an overdue attempt stays open after another target got the request. Two targets
/// must not work on it for 400 ms; the rest is left for the close to arrive.
const MAX_OVERLAP: Duration = Duration::from_millis(200);
/// Time between two checks whether another target can take an overdue request over.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why the answer of an attempt is overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Overdue {
    /// Nothing was received from the target.
    Silent,
    /// The target is alive, but this answer is late.
    Slow,
}

impl Overdue {
    /// Name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Silent => "target_silent",
            Self::Slow => "answer_late",
        }
    }
}

/// An attempt that was sent and waits for the head of its answer.
pub(super) struct SentAttempt<'a> {
    choice: Choice,
    sent_at: Moment,
    result: LocalBoxFuture<'a, Result<Answer, FailedAttempt>>,
}

impl<'a> SentAttempt<'a> {
    fn new(prepared: PreparedAttempt<'a>, now: Moment, last_event: Option<u64>) -> Self {
        Self {
            choice: prepared.choice.clone(),
            sent_at: now,
            result: prepared.send(last_event).boxed_local(),
        }
    }
}

/// What became of the offer of an overdue request to another target.
pub(super) enum Offer<'a, T> {
    /// The overdue attempt went on, or failed before the other target got the request.
    Ended(Result<T, FailedAttempt>),
    /// The other target did not take the request, and the overdue attempt is still open.
    Declined,
    /// The other target has the request. The overdue attempt failed, or is to be closed.
    Taken(SentAttempt<'a>, FailedAttempt),
}

/// Runs the request at the target of `choice`, and at others while the answer is overdue, up to the
/// head of the answer. A stream resumes after the event with the number `last_event`. Returns the
/// choice of the last attempt, which is still to be recorded if it failed.
pub(super) async fn run_attempt(
    job: &Job,
    choice: Choice,
    last_event: Option<u64>,
) -> (Choice, Result<Answer, FailedAttempt>) {
    match attempt::prepare(job, choice.clone()).await {
        Ok(prepared) => {
            let sent = SentAttempt::new(prepared, job.edge.now(), last_event);
            wait_for_answer(job, sent, last_event).await
        }
        Err(failed) => (choice, Err(failed)),
    }
}

/// Waits for the head of the answer of an attempt that was sent, like [`run_attempt`].
pub(super) async fn wait_for_answer(
    job: &Job,
    mut sent: SentAttempt<'_>,
    last_event: Option<u64>,
) -> (Choice, Result<Answer, FailedAttempt>) {
    let mut checked_at = None;
    while job.allows_replacement() {
        let late = lateness(job, &sent);
        let check_at = checked_at.map_or(late.due_at, |at| late.due_at.max(at + CHECK_INTERVAL));
        tokio::select! {
            biased;
            result = &mut sent.result => return (sent.choice, result),
            () = sleep(check_at.saturating_sub(job.edge.now())) => {}
        }
        let now = job.edge.now();
        let late = lateness(job, &sent);
        if now < late.due_at {
            continue;
        }
        let is_first = checked_at.replace(now).is_none();
        let found = find_replacement(job, &sent.choice, late.overdue, late.since, is_first);
        let Some(choice) = found else {
            continue;
        };
        match offer(job, choice, last_event, late.overdue, &mut sent.result).await {
            Offer::Ended(result) => return (sent.choice, result),
            Offer::Declined => {}
            Offer::Taken(other, failed) => {
                end_replaced_attempt(job, &sent.choice, &failed);
                sent = other;
                checked_at = None;
            }
        }
    }
    (sent.choice, sent.result.await)
}

/// How late the head of an answer is.
struct Lateness {
    /// When it is overdue.
    due_at: Moment,
    /// Why it is overdue then.
    overdue: Overdue,
    /// Since when it is waited for, or nothing was heard from the target.
    since: Moment,
}

/// The lateness of an answer. It is due later whenever the target sends anything.
fn lateness(job: &Job, sent: &SentAttempt<'_>) -> Lateness {
    let tuning = &job.edge.settings.tuning;
    let heard_at = job.edge.heard_at(sent.choice.target).max(sent.sent_at);
    let silent_at = heard_at + tuning.silence_timeout;
    let patience = job.request.route.latency_objective;
    let patience = patience.saturating_mul(tuning.patience_aims);
    let slow_at = sent.sent_at.saturating_add(patience);
    if slow_at <= silent_at {
        Lateness {
            due_at: slow_at,
            overdue: Overdue::Slow,
            since: sent.sent_at,
        }
    } else {
        Lateness {
            due_at: silent_at,
            overdue: Overdue::Silent,
            since: heard_at,
        }
    }
}

/// Finds another target for a request whose answer is waited for `since` then. The first check of an
/// attempt pauses its target if that is silent, and reports the result.
pub(super) fn find_replacement(
    job: &Job,
    current: &Choice,
    overdue: Overdue,
    since: Moment,
    is_first: bool,
) -> Option<Choice> {
    if is_first && overdue == Overdue::Silent {
        job.edge.target_silent(current.target);
    }
    let found = job.choose_replacement(since);
    if is_first {
        report::attempt_overdue(job, current, overdue.name(), found.as_ref().err());
    }
    found.ok()
}

/// Offers a request to the target of `choice`, while `open` waits for the overdue answer of the
/// target that has it.
pub(super) async fn offer<T>(
    job: &Job,
    choice: Choice,
    last_event: Option<u64>,
    overdue: Overdue,
    open: impl Future<Output = Result<T, FailedAttempt>>,
) -> Offer<'_, T> {
    tokio::pin!(open);
    let preparing = async {
        if !job.take_permit(&choice).await {
            report::limit_reached(job, choice.target, None, "kept_open");
            return Err(FailedAttempt::new(AttemptEnd::NotSent, LIMIT_REACHED));
        }
        attempt::prepare(job, choice.clone()).await
    };
    let prepared = tokio::select! {
        biased;
        result = &mut open => return Offer::Ended(result),
        prepared = preparing => prepared,
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(failed) => return decline(job, &choice, &failed),
    };
    if !job.edge.take_retry(&job.request.service) {
        let failed = FailedAttempt::new(AttemptEnd::NotSent, "no_retry_left");
        return decline(job, &choice, &failed);
    }
    let mut sent = SentAttempt::new(prepared, job.edge.now(), last_event);
    let result = tokio::select! {
        biased;
        result = &mut open => {
            let went_on = match result {
                Ok(went_on) => went_on,
                Err(failed) => return Offer::Taken(sent, failed),
            };
            drop(sent);
            let failed = FailedAttempt::not_awaited("target_went_on");
            decline::<T>(job, &choice, &failed);
            return Offer::Ended(Ok(went_on));
        }
        result = &mut sent.result => result,
        () = sleep(MAX_OVERLAP) => return Offer::Taken(sent, overdue_attempt(overdue)),
    };
    match result {
        Ok(answer) => {
            sent.result = future::ready(Ok(answer)).boxed_local();
            Offer::Taken(sent, overdue_attempt(overdue))
        }
        Err(failed) => decline(job, &choice, &failed),
    }
}

/// An attempt that was given up because its answer is overdue.
fn overdue_attempt(overdue: Overdue) -> FailedAttempt {
    FailedAttempt::not_awaited(overdue.name())
}

fn decline<'a, T>(job: &Job, choice: &Choice, failed: &FailedAttempt) -> Offer<'a, T> {
    job.end_offer(choice.target, failed);
    report::offer_declined(job, choice, failed);
    Offer::Declined
}

/// Records the end of an attempt whose request another target has taken over.
pub(super) fn end_replaced_attempt(job: &Job, choice: &Choice, failed: &FailedAttempt) {
    job.end_replaced_attempt(choice.target, failed);
    if failed.cause == Overdue::Slow.name() {
        job.edge.target_answered(choice.target, true);
    }
    report::attempt_failed(job, choice, failed, &NextStep::Retry);
}
