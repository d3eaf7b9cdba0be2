//! One attempt: connects to one target, sends the request and reads the head of the answer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode, header};
use lapismoor_core::admission::{AnswerTiming, Belief};
use lapismoor_core::ids::{DaemonId, TargetId, TargetKey};
use lapismoor_core::retry::{AnswerKind, AttemptEnd, classify_answer};
use lapismoor_core::routing::Choice;
use lapismoor_core::routing::pace::rejection_pace;
use opentelemetry::trace::SpanKind;

use super::body::{growth, stated_length};
use super::job::{InFlight, Job};
use super::report;
use super::request_hash;
use super::run::EVACUATED;
use crate::buffers::{Delivery, OutOfMemory, ReceivedBytes};
use crate::context::Edge;
use crate::dialect::{AnswerMetadata, AttemptHeaders};
use crate::http::{AnswerBody, Connection, ExchangeError};
use crate::millis::millis;
use crate::paths::Purpose;
use crate::spans::ActiveSpan;

/// Longest body of a failed answer that is buffered to be forwarded to the caller, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Counts a request as in flight at a target until dropped.
pub(crate) struct TargetGuard {
    edge: Rc<Edge>,
    target: TargetKey,
}

impl TargetGuard {
    fn new(edge: &Rc<Edge>, target: TargetKey) -> Self {
        if let Some(known) = edge.state.borrow_mut().directory.get_mut(target) {
            known.load.record_sent();
        }
        Self {
            edge: Rc::clone(edge),
            target,
        }
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(known) = state.directory.get_mut(self.target) {
            known.load.record_ended();
        }
    }
}

/// An answer whose head was received and whose body is still to be read.
pub(crate) struct Answer {
    pub target: TargetKey,
    pub target_id: TargetId,
    pub head: ResponseHead,
    pub metadata: AnswerMetadata,
    pub body: AnswerBody,
    /// Span of the attempt; ends when the answer is dropped.
    _span: Option<ActiveSpan>,
    guard: Option<TargetGuard>,
}

/// An answer of a target that was read completely.
pub(crate) struct BufferedAnswer {
    pub head: ResponseHead,
    pub body: Delivery,
}

/// An attempt without a usable answer.
pub(crate) struct FailedAttempt {
    pub end: AttemptEnd,
    /// Name of the cause for logs and metrics.
    pub cause: &'static str,
    /// What the attempt shows about its target, if it was interrupted as by a crash.
    pub interruption: Option<Belief>,
    /// Whether part of the answer had arrived.
    pub had_answer: bool,
    /// Whether the same target may get the request again if no other is left: it answered with a
    /// failure, or closed a connection that was idle before.
    pub may_repeat_target: bool,
    /// Failed answer of the target, to be forwarded if no other attempt succeeds.
    pub answer: Option<BufferedAnswer>,
}

impl FailedAttempt {
    pub(crate) fn new(end: AttemptEnd, cause: &'static str) -> Self {
        Self {
            may_repeat_target: end == AttemptEnd::Failed,
            end,
            cause,
            interruption: None,
            had_answer: false,
            answer: None,
        }
    }

    /// The connection was lost after the request was sent.
    pub(crate) fn connection_lost(cause: &'static str) -> Self {
        Self {
            interruption: Some(Belief::Presumed),
            ..Self::new(AttemptEnd::Unknown, cause)
        }
    }

    /// The exchange failed after the request was sent.
    pub(crate) fn cut_off(error: &ExchangeError) -> Self {
        if error.is_connection_lost() {
            Self::connection_lost(error.name())
        } else {
            Self::not_awaited(error.name())
        }
    }

    /// The daemon gave up the attempt. The target may still run the request, and crash.
    pub(crate) fn not_awaited(cause: &'static str) -> Self {
        Self {
            interruption: Some(Belief::Unknown),
            ..Self::new(AttemptEnd::Unknown, cause)
        }
    }
}

/// An attempt that is connected to its target and has not been sent.
pub(super) struct PreparedAttempt<'a> {
    job: &'a Job,
    pub choice: Choice,
    target_id: TargetId,
    connection: Connection,
    /// Whether the connection was idle before.
    is_reused: bool,
    /// The daemon that forwards the connection; `None` if it is direct.
    through: Option<DaemonId>,
    in_flight: InFlight,
    span: Option<ActiveSpan>,
    guard: TargetGuard,
}

/// Connects to the target of `choice`.
pub(super) async fn prepare(
    job: &Job,
    choice: Choice,
) -> Result<PreparedAttempt<'_>, FailedAttempt> {
    let edge = &job.edge;
    let Some((target_id, _)) = edge.address_of(choice.target) else {
        return Err(FailedAttempt::new(AttemptEnd::NotSent, "target_forgotten"));
    };
    let guard = TargetGuard::new(edge, choice.target);
    let span = start_span(job, &target_id);
    if let Some(age) = edge.load_age(choice.target) {
        edge.metrics.record_load_age(age);
    }
    if let Some(percent) = edge.pace_percent(choice.target) {
        edge.metrics.record_pace(&target_id, percent);
    }
    let incarnation = edge.incarnation_of(choice.target);
    let sent_at = edge.now();
    let connected = match connect(job, choice.target).await {
        Ok(connected) => connected,
        Err(error) => {
            edge.target_unreachable(choice.target, error.name());
            edge.target_may_restart(choice.target);
            if error.is_refused()
                && let Some(target) = edge.incarnation_of(choice.target)
            {
                edge.target_crashed(&target);
            }
            return Err(FailedAttempt::new(AttemptEnd::NotSent, error.name()));
        }
    };
    // The domain may have been evacuated while the request waited for a permit or a connection.
    if edge.has_been_left(choice.target) {
        return Err(FailedAttempt::new(AttemptEnd::NotSent, EVACUATED));
    }
    Ok(PreparedAttempt {
        job,
        target_id,
        connection: connected.connection,
        is_reused: connected.is_reused,
        in_flight: InFlight {
            target: choice.target,
            incarnation,
            sent_at,
            is_relayed: connected.through.is_some(),
            has_answer: false,
        },
        through: connected.through,
        choice,
        span,
        guard,
    })
}

impl PreparedAttempt<'_> {
    /// Sends the request and waits for the head of the answer until the deadline. A stream resumes
    /// after the event with the number `last_event`.
    pub(super) async fn send(self, last_event: Option<u64>) -> Result<Answer, FailedAttempt> {
        let job = self.job;
        let edge = &job.edge;
        let target = self.choice.target;
        let sent_at = self.in_flight.sent_at;
        let span = self.span.as_ref();
        let through = self.through.as_ref();
        log_sent(job, &self.choice, &self.target_id, through, last_event);
        let head = request_head(job, &self.choice, &self.target_id, last_event, span);
        let answers_request = |head: &ResponseHead| {
            let id = (edge.dialect.read_answer)(head.headers()).request_id;
            // On a connection that was idle, it may be the answer to an earlier request.
            id.map_or(!self.is_reused, |id| id == job.request.envelope.id)
        };
        job.in_flight.borrow_mut().push(self.in_flight);
        let body = job.request.body.clone();
        let asked_at = edge.now();
        let exchange = self.connection.exchange(head, body, answers_request);
        let (head, body) = match job.in_time(exchange).await {
            Some(Ok(answer)) => answer,
            Some(Err(error)) => {
                let mut failed = failed_attempt(edge, target, &error);
                failed.may_repeat_target = self.is_reused && error.is_connection_lost();
                return Err(failed);
            }
            None => return Err(FailedAttempt::not_awaited(job.cause_of_timeout())),
        };
        job.answer_began(target);
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            edge.target_replaced(target);
        } else {
            edge.target_survived(target, sent_at);
        }
        let metadata = (edge.dialect.read_answer)(head.headers());
        if metadata.is_leaving {
            edge.target_said_leaving(target);
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(pause) = &metadata.pause
        {
            edge.target_wants_pause(target, pause);
        }
        let is_of_target = metadata.is_signed || metadata.is_not_run;
        if is_of_target && head.status != StatusCode::MISDIRECTED_REQUEST {
            edge.target_named_limit(target, sent_at, metadata.limit.as_ref());
            edge.target_contacted(target);
            if let Some(left) = metadata.cold_left {
                edge.target_said_cold(target, sent_at, left);
            }
        }
        let answer = Answer {
            target,
            target_id: self.target_id,
            head,
            metadata,
            body,
            _span: self.span,
            guard: Some(self.guard),
        };
        record_pace(job, &answer, edge.now().saturating_sub(asked_at));
        check_answer(job, answer).await
    }
}

/// Records the pace that the answer states or shows. Answers of streams show none: their times depend
/// on the prompt.
fn record_pace(job: &Job, answer: &Answer, time: Duration) {
    let edge = &job.edge;
    let metadata = &answer.metadata;
    if let Some(percent) = metadata.pace_percent {
        edge.target_stated_pace(answer.target, percent);
        return;
    }
    let is_silent = metadata.load.is_none() && !job.request.route.is_stream();
    let status = answer.head.status;
    if is_silent && metadata.is_signed && status.is_success() {
        edge.target_answered_in(answer.target, time);
    } else if is_silent && metadata.is_not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        edge.target_stated_pace(answer.target, rejection_pace());
    }
}

/// Classifies an answer by its head. Buffers a failed answer, and keeps the connection where the
/// body could be read.
async fn check_answer(job: &Job, mut answer: Answer) -> Result<Answer, FailedAttempt> {
    let edge = &job.edge;
    let metadata = &answer.metadata;
    if let Some(load) = &metadata.load {
        edge.target_reported_load(answer.target, load);
    }
    let is_encoded = answer.head.headers().contains_key(header::CONTENT_ENCODING);
    let status = answer.head.status.as_u16();
    let is_signed = metadata.is_signed && !is_encoded;
    let kind = classify_answer(status, is_signed, metadata.is_not_run);
    report_room(job, &answer, &kind);
    let is_failure = !matches!(kind, AnswerKind::Success | AnswerKind::Final);
    edge.target_answered(answer.target, is_failure);
    match kind {
        AnswerKind::Final if job.is_streaming => {
            Err(FailedAttempt::new(AttemptEnd::Failed, "resume_refused"))
        }
        AnswerKind::Success | AnswerKind::Final => Ok(answer),
        AnswerKind::Untrusted => Err(FailedAttempt::new(AttemptEnd::Unknown, "answer_untrusted")),
        AnswerKind::Rejected => {
            let cause = if status == 421 {
                "other_target"
            } else {
                "rejected"
            };
            if status == 421 {
                edge.target_unreachable(answer.target, cause);
            }
            if read_body(job, &mut answer, MAX_FAILURE_BYTES).await.is_ok() {
                answer.release_connection(job);
            }
            Err(FailedAttempt::new(AttemptEnd::Rejected, cause))
        }
        AnswerKind::Failure => {
            let body = read_body(job, &mut answer, MAX_FAILURE_BYTES).await;
            let mut failed = FailedAttempt::new(AttemptEnd::Failed, "target_failed");
            if let Ok(body) = body {
                failed.answer = Some(BufferedAnswer {
                    head: clone_head(&answer.head),
                    body,
                });
                answer.release_connection(job);
            } else {
                failed.end = AttemptEnd::Unknown;
            }
            Err(failed)
        }
    }
}

/// Records what the head of an answer shows about the room of its target. Late answers of engines
/// show none: their time depends on the prompt.
fn report_room(job: &Job, answer: &Answer, kind: &AnswerKind) {
    let edge = &job.edge;
    let route = &job.request.route;
    let timing = match kind {
        AnswerKind::Rejected if answer.head.status == StatusCode::SERVICE_UNAVAILABLE => {
            AnswerTiming::Rejected
        }
        AnswerKind::Success => {
            let sent_at = job.sent_at(answer.target).unwrap_or(edge.now());
            let took = edge.now().saturating_sub(sent_at);
            let answer_times = &mut edge.state.borrow_mut().answer_times;
            answer_times.record(&route.name, took, job.work());
            if route.is_stream() {
                AnswerTiming::OnTime
            } else {
                AnswerTiming::of_answer(took, route.latency_objective)
            }
        }
        _ => return,
    };
    edge.target_showed_room(answer.target, timing);
}

impl Answer {
    /// Closes the connection, so that the target stops its work.
    pub(super) fn close(&mut self) {
        self.body.close();
        self.guard = None;
    }

    /// Returns the connection to the pool if the answer was read completely. Requests that must not
    /// run twice never reuse a connection, so at most one is kept idle after them.
    pub(crate) fn release_connection(self, job: &Job) {
        let edge = &job.edge;
        let connection = self.body.into_connection();
        // The direct way may be back by the next request.
        let Some(connection) = connection.filter(|one| !one.is_relayed()) else {
            return;
        };
        let max_idle = if job.request.route.is_repeatable() {
            edge.idle_connection_limit(&job.request.service)
        } else {
            1
        };
        let idle_timeout = self.metadata.idle_timeout;
        edge.connections
            .release(edge.now(), self.target, connection, idle_timeout, max_idle);
    }
}

/// Reads a body of at most `limit_bytes` before the deadline of the request.
///
/// # Errors
/// [`ExchangeError`] if the body is longer, incomplete or late, or the memory for answers is used up.
pub(crate) async fn read_body(
    job: &Job,
    answer: &mut Answer,
    limit_bytes: usize,
) -> Result<Delivery, ExchangeError> {
    let too_long = || ExchangeError::Malformed {
        reason: "the body is too long".into(),
    };
    let stated_bytes = stated_length(answer.head.headers());
    if stated_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(too_long());
    }
    let growth = growth(stated_bytes);
    let mut received = ReceivedBytes::new(job.open_answer_buffer(answer.target, growth));
    let reading = async {
        let expected = received.expect(stated_bytes.unwrap_or_default()).await;
        expected.map_err(|OutOfMemory| ExchangeError::OutOfMemory)?;
        loop {
            let read = received.guard(answer.body.next()).await;
            let Some(bytes) = read.map_err(|OutOfMemory| ExchangeError::OutOfMemory)?? else {
                return Ok(received.into_delivery());
            };
            if received.len() + bytes.len() > limit_bytes {
                return Err(too_long());
            }
            let pushed = received.push(&bytes).await;
            pushed.map_err(|OutOfMemory| ExchangeError::OutOfMemory)?;
        }
    };
    let in_time = job.in_time(reading).await;
    in_time.unwrap_or(Err(ExchangeError::DeadlinePassed))
}

pub(crate) fn clone_head(head: &ResponseHead) -> ResponseHead {
    let mut copy = ResponseHead::new(head.status);
    copy.headers = head.headers.clone();
    copy
}

/// A connection on which a request is to be sent.
struct Connected {
    connection: Connection,
    /// Whether it was idle before.
    is_reused: bool,
    /// The daemon that forwards it; `None` if it is direct.
    through: Option<DaemonId>,
}

/// Takes an idle connection from the pool or opens a new one, and returns whether it was idle. The
/// target may close an idle connection just as the request is sent, and then it is unknown whether
/// the request ran. A request that must not run twice therefore always gets a new connection, and
/// so does one that is sent to the same target again, or offered to another target.
async fn connect(job: &Job, target: TargetKey) -> Result<Connected, ExchangeError> {
    let edge = &job.edge;
    let is_offer = !job.in_flight.borrow().is_empty();
    let is_repeat = job.tried.borrow().contains(&target);
    let may_reuse = job.request.route.is_repeatable() && !is_offer && !is_repeat;
    if may_reuse && let Some(connection) = edge.connections.acquire(edge.now(), target) {
        return Ok(Connected {
            connection,
            is_reused: true,
            through: None,
        });
    }
    edge.metrics.connections_opened.add(1, &[]);
    let timeout = edge.settings.tuning.connect_timeout.min(job.time_left());
    let purpose = Purpose {
        request: request_hash(&job.request.envelope.id),
        homes: job.request.homes(),
    };
    let opening = edge.connect_to(target, timeout, purpose);
    let opened = job.in_time(opening).await;
    let opened = opened.unwrap_or(Err(ExchangeError::ConnectTimeout))?;
    Ok(Connected {
        connection: opened.connection,
        is_reused: false,
        through: opened.through,
    })
}

fn failed_attempt(edge: &Edge, target: TargetKey, error: &ExchangeError) -> FailedAttempt {
    if error.is_not_sent() {
        return FailedAttempt::new(AttemptEnd::NotSent, error.name());
    }
    edge.target_answered(target, true);
    FailedAttempt::cut_off(error)
}

fn request_head(
    job: &Job,
    choice: &Choice,
    target_id: &TargetId,
    last_event: Option<u64>,
    span: Option<&ActiveSpan>,
) -> RequestHead {
    let edge = &job.edge;
    let mut head = RequestHead::default();
    head.method = job.request.method.clone();
    head.uri = job.request.uri.clone();
    head.headers = job.request.headers.clone();
    let fetch_from = choice.fetch_from.and_then(|source| edge.address_of(source));
    let attempt = AttemptHeaders {
        target: target_id,
        workspace: job.request.workspace.as_deref(),
        time_left: job.time_left(),
        rank: job
            .request
            .route
            .is_sticky
            .then_some(job.request.priority.rank),
        last_event,
        fetch_from: fetch_from.map(|(_, address)| address),
    };
    (edge.dialect.write_attempt)(&attempt, &mut head.headers);
    if let Some(model) = &job.request.envelope.model {
        (edge.dialect.write_prompt)(&job.request.envelope, model, &mut head.headers);
    }
    if job.request.envelope.traceparent.is_some()
        && let Some(span) = span
    {
        write_traceparent(&span.traceparent(), &mut head.headers);
    }
    head
}

/// Header of the W3C trace context.
const TRACEPARENT: &str = "traceparent";

fn write_traceparent(traceparent: &str, headers: &mut header::HeaderMap) {
    match header::HeaderValue::from_str(traceparent) {
        Ok(value) => {
            headers.insert(header::HeaderName::from_static(TRACEPARENT), value);
        }
        Err(error) => log::warn!(error:%; "trace_not_sent"),
    }
}

fn start_span(job: &Job, target_id: &TargetId) -> Option<ActiveSpan> {
    let parent = job.span.as_ref()?;
    let spans = job.edge.spans.as_ref()?;
    let mut span = spans.start_child("attempt", SpanKind::Client, &parent.traceparent());
    span.set_attribute("target", target_id.to_string());
    Some(span)
}

/// Logs that the request is sent. First attempts are sampled by the request id, so that all daemons
/// log the same requests.
fn log_sent(
    job: &Job,
    choice: &Choice,
    target_id: &TargetId,
    through: Option<&DaemonId>,
    last_event: Option<u64>,
) {
    if !job.should_log() && through.is_none() {
        return;
    }
    log::info!(
        request:% = job.request.envelope.id,
        target:% = target_id,
        through = through.map(ToString::to_string),
        host = report::shortened(&job.request.host),
        route:% = job.request.route.name,
        service:% = job.request.service,
        version = job.edge.version_label(choice.target),
        config_version = job.request.config_version,
        waited_ms = millis(job.queue_wait),
        config_age_ms = job.edge.config_age().map(millis),
        rank = job.permit_priority.rank,
        reason:? = choice.reason,
        load = choice.load,
        bound = choice.bound,
        load_age_ms = job.edge.load_age(choice.target).map(millis),
        pace_percent = job.edge.pace_percent(choice.target),
        fetch = choice.fetch_from.is_some(),
        sends = job.progress.get().sends,
        last_event,
        time_left_ms = millis(job.time_left());
        "sent"
    );
}
