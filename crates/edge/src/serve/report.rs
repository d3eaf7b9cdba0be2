//! Logs and counts what happens to requests.

use std::time::Duration;

use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::Refusal;
use lapismoor_core::admission::suspects::{Judgement, Standing};
use lapismoor_core::ids::{TargetId, TargetKey, VersionHash};
use lapismoor_core::retry::{NextStep, Obstacle};
use lapismoor_core::routing::{Choice, shared_prompt_parts};

use super::RouteKey;
use super::attempt::{BufferedAnswer, FailedAttempt};
use super::job::{Job, Subject};
use super::run::CRASHES_TARGETS;
use crate::context::Edge;
use crate::millis::millis;
use crate::store::ClaimResult;
use crate::streams::FoundStream;

/// Length to which the texts that a caller names are shortened in logs.
const MAX_LOGGED_CHARS: usize = 64;

/// The beginning of a text that a caller names.
pub(super) fn shortened(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED_CHARS);
    end.map_or(text, |(end, _)| &text[..end])
}

/// Reports an admitted request that was refused. No target ran it.
pub(crate) fn job_refused(job: &Job, refusal: &Refusal) {
    job.is_end_reported.set(true);
    let id = &job.request.envelope.id;
    if matches!(refusal, Refusal::CrashesTargets { .. }) {
        suspect_refused(job);
    }
    let route_key = job.request.route_key();
    refused(&job.edge, id, route_key, job.request.received, refusal);
}

/// Reports that a target had no room for the request within its limit, and what follows. `room_in` is
/// the time until there may be some, if it is known.
pub(crate) fn limit_reached(
    job: &Job,
    target: TargetKey,
    room_in: Option<Duration>,
    next: &'static str,
) {
    job.is_limited.set(true);
    let edge = &job.edge;
    let Some(report) = edge.limit_report(target) else {
        return;
    };
    edge.metrics
        .record_limited(&report.target, report.limit_per_s, report.share_per_s, next);
    let request = &job.request;
    report.log(
        &request.envelope.id,
        job.permit_priority.rank,
        room_in,
        next,
    );
}

/// The interruptions of a subject with one of these judgements, each as target and witness.
fn observed(job: &Job, subject: Subject, judgements: &[Judgement]) -> String {
    let state = job.edge.state.borrow();
    let observations = state.suspects.observations(subject.fingerprint);
    let wanted = observations
        .iter()
        .filter(|observation| judgements.contains(&observation.judgement));
    let texts =
        wanted.map(|observation| format!("{}@{:016x}", observation.target, observation.witness));
    texts.collect::<Vec<String>>().join(" ")
}

/// Ids of the prompt parts that other requests may share, in order.
fn shared_parts(job: &Job) -> String {
    let parts = shared_prompt_parts(&job.request.envelope.parts).iter();
    let ids = parts.map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<String>>().join(" ")
}

/// Logs the evidence in spite of which a request is sent, if there is any against its content or
/// several crashes against a part of its prompt.
pub(crate) fn suspect_sent(job: &Job) {
    for subject in &job.subjects {
        if subject.part.is_none() || standing(job, *subject).crashes > 1 {
            subject_sent(job, *subject);
        }
    }
}

fn standing(job: &Job, subject: Subject) -> Standing {
    let state = job.edge.state.borrow();
    state.suspects.standing(job.edge.now(), subject.fingerprint)
}

fn part_id(subject: Subject) -> Option<String> {
    subject.part.map(|id| format!("{id:x}"))
}

fn subject_sent(job: &Job, subject: Subject) {
    let counted = observed(job, subject, &[Judgement::Counted]);
    let refuted = observed(job, subject, &[Judgement::Refuted, Judgement::Suspended]);
    let unconfirmed = observed(job, subject, &[Judgement::Unconfirmed]);
    if counted.is_empty() && refuted.is_empty() && unconfirmed.is_empty() {
        return;
    }
    log::info!(
        request:% = job.request.envelope.id,
        fingerprint:% = format_args!("{:016x}", subject.fingerprint),
        part = part_id(subject),
        counted,
        refuted,
        unconfirmed;
        "suspect_sent"
    );
}

/// Logs the evidence for which a request is refused.
fn suspect_refused(job: &Job) {
    let Some(subject) = job.suspect.get() else {
        return;
    };
    let standing = standing(job, subject);
    log::info!(
        request:% = job.request.envelope.id,
        fingerprint:% = format_args!("{:016x}", subject.fingerprint),
        part = part_id(subject),
        crashes = standing.crashes as u64,
        consecutive = standing.consecutive as u64,
        trials = standing.trials,
        counted = observed(job, subject, &[Judgement::Counted]),
        refuted = observed(job, subject, &[Judgement::Refuted, Judgement::Suspended]),
        last_crash_age_ms = standing.age.map(millis);
        "suspect_refused"
    );
}

/// Reports the claim of a trial.
pub(crate) fn trial_claimed(job: &Job, subject: Subject, number: u32, result: ClaimResult) {
    let standing = standing(job, subject);
    log::warn!(
        request:% = job.request.envelope.id,
        fingerprint:% = format_args!("{:016x}", subject.fingerprint),
        part = part_id(subject),
        number,
        result:?,
        crashes = standing.crashes as u64,
        consecutive = standing.consecutive as u64,
        counted = observed(job, subject, &[Judgement::Counted]),
        refuted = observed(job, subject, &[Judgement::Refuted, Judgement::Suspended]),
        last_crash_age_ms = standing.age.map(millis);
        "suspect_trial"
    );
}

/// Reports a request that was refused. No target ran it. `host` and `path` select its route.
pub(crate) fn refused(
    edge: &Edge,
    id: &CompactString,
    route_key: RouteKey<'_>,
    received: Moment,
    refusal: &Refusal,
) {
    edge.metrics.count_refused(refusal.name());
    log::warn!(
        request:% = id,
        host = shortened(&route_key.host()),
        path = shortened(route_key.path()),
        reason = refusal.name(),
        status = refusal.status(),
        come_back_ms = refusal.retry_after().map(millis),
        config_version = edge.config_version(),
        config_age_ms = edge.config_age().map(millis),
        held_ms = millis(edge.now().saturating_sub(received));
        "refused"
    );
}

/// Reports a request that failed after an attempt that may have run.
pub(crate) fn failed(
    job: &Job,
    cause: &'static str,
    answer: Option<&BufferedAnswer>,
    is_late: bool,
) {
    job.is_end_reported.set(true);
    if cause == CRASHES_TARGETS {
        suspect_refused(job);
    }
    let edge = &job.edge;
    edge.metrics.count_failed(cause);
    log::warn!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        target_status = answer.map(|answer| answer.head.status.as_u16()),
        is_late,
        cause,
        runs = job.progress.get().runs,
        sends = job.progress.get().sends,
        config_version = job.request.config_version,
        held_ms = millis(edge.now().saturating_sub(job.request.received));
        "failed"
    );
}

/// Reports a request that was served. Log lines are sampled.
pub(crate) fn served(job: &Job, target: &TargetId, status: u16) {
    job.is_end_reported.set(true);
    let answered = job.in_flight.take().pop();
    let crashes = answered.map_or(0, |attempt| job.record_answered_attempt(attempt));
    let edge = &job.edge;
    let took = edge.now().saturating_sub(job.request.received);
    edge.metrics.record_request_duration(took);
    if crashes > 1 {
        log::info!(
            request:% = job.request.envelope.id,
            fingerprint:% = format_args!("{:016x}", job.fingerprint),
            crashes = crashes as u64;
            "suspect_cleared"
        );
    }
    if !job.should_log() {
        return;
    }
    log::info!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        target:% = target,
        status,
        sends = job.progress.get().sends + 1,
        config_version = job.request.config_version,
        waited_ms = millis(job.queue_wait),
        took_ms = millis(took);
        "served"
    );
}

/// Reports a failed attempt and the `step` that follows.
pub(crate) fn attempt_failed(job: &Job, choice: &Choice, failed: &FailedAttempt, step: &NextStep) {
    let edge = &job.edge;
    let target = choice.target;
    let name = edge.address_of(target).map(|(id, _)| id);
    let retries_left = edge.retries_left(&job.request.service) as u64;
    edge.metrics.count_attempt_failed(failed.cause);
    edge.metrics
        .record_retries_left(&job.request.service, retries_left);
    log::info!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        target:% = name.unwrap_or_default(),
        version = edge.version_label(target),
        reason:? = choice.reason,
        load = choice.load,
        bound = choice.bound,
        end:? = failed.end,
        cause = failed.cause,
        fingerprint:% = format_args!("{:016x}", job.fingerprint),
        parts = shared_parts(job),
        next:? = step,
        runs = job.progress.get().runs,
        retries_left,
        load_age_ms = edge.load_age(target).map(millis),
        time_left_ms = millis(job.time_left());
        "attempt_failed"
    );
}

/// Reports an attempt whose answer is overdue. It stays open; `obstacle` tells why the request is
/// not offered to another target.
pub(crate) fn attempt_overdue(
    job: &Job,
    choice: &Choice,
    cause: &'static str,
    obstacle: Option<&Obstacle>,
) {
    let edge = &job.edge;
    let name = edge.address_of(choice.target).map(|(id, _)| id);
    log::info!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        target:% = name.unwrap_or_default(),
        cause,
        obstacle:? = obstacle,
        is_delivering = job.is_delivering,
        runs = job.progress.get().runs,
        retries_left = edge.retries_left(&job.request.service) as u64,
        time_left_ms = millis(job.time_left());
        "attempt_overdue"
    );
}

/// Reports a target that did not take over a request whose answer is overdue at another one.
pub(crate) fn offer_declined(job: &Job, choice: &Choice, failed: &FailedAttempt) {
    let edge = &job.edge;
    let name = edge.address_of(choice.target).map(|(id, _)| id);
    edge.metrics.count_attempt_failed(failed.cause);
    log::info!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        target:% = name.unwrap_or_default(),
        end:? = failed.end,
        cause = failed.cause,
        runs = job.progress.get().runs,
        time_left_ms = millis(job.time_left());
        "offer_declined"
    );
}

/// Reports a stream that was cut off.
pub(crate) fn stream_cut_off(job: &Job, cause: &'static str, last_event: Option<u64>) {
    job.is_end_reported.set(true);
    let edge = &job.edge;
    edge.metrics.count_failed(cause);
    log::warn!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        cause,
        last_event,
        runs = job.progress.get().runs,
        held_ms = millis(edge.now().saturating_sub(job.request.received));
        "broken_off"
    );
}

/// Reports a request whose caller disconnected before the end. Those that end with the process were
/// reported before.
pub(crate) fn caller_left(job: &Job) {
    let edge = &job.edge;
    if edge.in_flight.is_exiting() {
        return;
    }
    edge.metrics.count_failed("caller_left");
    let in_flight = job.in_flight.borrow();
    let sent_to = in_flight
        .last()
        .and_then(|attempt| attempt.incarnation.as_ref());
    log::info!(
        request:% = job.request.envelope.id,
        service:% = job.request.service,
        fingerprint:% = format_args!("{:016x}", job.fingerprint),
        parts = shared_parts(job),
        target = sent_to.map(|target| target.id.as_str()),
        is_delivering = job.is_delivering,
        runs = job.progress.get().runs,
        sends = job.progress.get().sends,
        waited_ms = millis(job.queue_wait),
        config_version = job.request.config_version,
        held_ms = millis(edge.now().saturating_sub(job.request.received));
        "caller_left"
    );
}

/// Reports what is known of the stream that a caller takes up, and the version at which it goes on.
pub(super) fn stream_taken_up(job: &Job, found: &FoundStream, version: Option<VersionHash>) {
    let edge = &job.edge;
    let envelope = &job.request.envelope;
    let resumes = envelope.resumes.as_deref().unwrap_or_default();
    let source = match (&found.origin, version) {
        (Some((_, daemon)), _) => daemon.as_str(),
        (None, Some(_)) => "only_version",
        (None, None) => "none",
    };
    log::info!(
        request:% = envelope.id,
        resumes = shortened(resumes),
        last_event = envelope.last_event,
        version = version.map(|version| edge.version_name(&job.request.service, version).to_string()),
        source,
        asked = found.asked as u64,
        answered = found.answered as u64,
        held_ms = millis(edge.now().saturating_sub(job.request.received));
        "stream_taken_up"
    );
}
