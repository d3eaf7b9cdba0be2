//! One attempt: a request sent to one target, up to the head of the answer.

use std::rc::Rc;

use actix_http::{RequestHead, ResponseHead, header};
use bytes::{Bytes, BytesMut};
use lapismoor_core::ids::{TargetId, TargetKey};
use lapismoor_core::retry::{AnswerKind, AttemptEnd, classify_answer};
use lapismoor_core::routing::Choice;
use opentelemetry::trace::SpanKind;

use super::job::Job;
use super::patience::{Waited, wait};
use crate::context::Edge;
use crate::dialect::{AnswerMarks, AttemptHeaders};
use crate::http::{AnswerBody, Connection, ExchangeError};
use crate::millis::millis;
use crate::spans::Hop;

/// Longest body of a failure that is kept to be passed on, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Counts a request as in flight at a target.
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

/// An answer whose head is there.
pub(crate) struct Answer {
    pub target: TargetKey,
    pub target_id: TargetId,
    pub head: ResponseHead,
    pub marks: AnswerMarks,
    pub body: AnswerBody,
    /// Span of the attempt.
    _hop: Option<Hop>,
    _guard: TargetGuard,
}

/// A whole answer of a target.
pub(crate) struct BufferedAnswer {
    pub head: ResponseHead,
    pub body: Bytes,
}

/// An attempt that brought no answer to go on with.
pub(crate) struct FailedAttempt {
    pub end: AttemptEnd,
    pub cause: &'static str,
    /// Whether the target broke off, as it does when it crashes.
    pub is_broken: bool,
    pub answer: Option<BufferedAnswer>,
}

impl FailedAttempt {
    pub(crate) fn new(end: AttemptEnd, cause: &'static str) -> Self {
        Self {
            end,
            cause,
            is_broken: false,
            answer: None,
        }
    }

    /// The target broke off after the request was sent.
    pub(crate) fn broken(cause: &'static str) -> Self {
        Self {
            is_broken: true,
            ..Self::new(AttemptEnd::Unknown, cause)
        }
    }
}

/// Sends the request. `last_event` is the event after which a stream goes on.
pub(crate) async fn run(
    job: &Job,
    choice: &Choice,
    last_event: Option<u64>,
) -> Result<Answer, FailedAttempt> {
    let edge = &job.edge;
    let Some((target_id, address)) = edge.address_of(choice.target) else {
        return Err(FailedAttempt::new(AttemptEnd::NotSent, "target_forgotten"));
    };
    let guard = TargetGuard::new(edge, choice.target);
    let hop = begin_hop(job, &target_id);
    if let Some(age) = edge.load_age(choice.target) {
        edge.metrics.load_age(age);
    }
    log_sent(job, choice, &target_id, last_event);
    job.sent_at.set(edge.now());
    let connection = match connect(job, choice.target, address).await {
        Ok(connection) => connection,
        Err(error) => {
            edge.target_unreachable(choice.target, error.name());
            if error.is_refused() {
                edge.target_crashed(choice.target);
            }
            return Err(FailedAttempt::new(AttemptEnd::NotSent, error.name()));
        }
    };
    let head = request_head(job, choice, &target_id, last_event, hop.as_ref());
    let is_own = |head: &ResponseHead| {
        let id = (edge.dialect.read_answer)(head.headers()).request_id;
        id.is_none_or(|id| id == job.order.envelope.id)
    };
    let exchange = connection.exchange(head, job.order.body.clone(), is_own);
    let (head, body) = match wait(job, choice.target, exchange).await {
        Ok(answer) => answer,
        Err(Waited::Broken(error)) => return Err(broken(edge, choice.target, &error)),
        Err(Waited::Silent) => {
            edge.target_unreachable(choice.target, "silent");
            return Err(FailedAttempt::new(AttemptEnd::Unknown, "target_silent"));
        }
        Err(Waited::Slow) => {
            edge.target_answered(choice.target, true);
            return Err(FailedAttempt::new(AttemptEnd::Unknown, "answer_late"));
        }
        Err(Waited::TimeUp) => {
            return Err(FailedAttempt::new(AttemptEnd::Unknown, "time_up"));
        }
    };
    let marks = (edge.dialect.read_answer)(head.headers());
    let answer = Answer {
        target: choice.target,
        target_id,
        head,
        marks,
        body,
        _hop: hop,
        _guard: guard,
    };
    judge(job, answer).await
}

async fn judge(job: &Job, mut answer: Answer) -> Result<Answer, FailedAttempt> {
    let edge = &job.edge;
    let marks = &answer.marks;
    if let Some(load) = &marks.load {
        edge.target_told_load(answer.target, load);
    }
    let is_encoded = answer.head.headers().contains_key(header::CONTENT_ENCODING);
    let status = answer.head.status.as_u16();
    let is_signed = marks.is_signed && !is_encoded;
    let kind = classify_answer(status, is_signed, marks.is_not_run);
    let is_failure = !matches!(kind, AnswerKind::Success | AnswerKind::Final);
    edge.target_answered(answer.target, is_failure);
    match kind {
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
            if collect(job, &mut answer, MAX_FAILURE_BYTES).await.is_ok() {
                answer.give_back(job);
            }
            Err(FailedAttempt::new(AttemptEnd::Rejected, cause))
        }
        AnswerKind::Failure => {
            let body = collect(job, &mut answer, MAX_FAILURE_BYTES).await;
            let mut failed = FailedAttempt::new(AttemptEnd::Failed, "target_failed");
            if let Ok(body) = body {
                failed.answer = Some(BufferedAnswer {
                    head: clone_head(&answer.head),
                    body,
                });
                answer.give_back(job);
            } else {
                failed.end = AttemptEnd::Unknown;
            }
            Err(failed)
        }
    }
}

impl Answer {
    /// Keeps the connection for the next request, if the answer is whole. Requests that must not
    /// run twice never use a kept one, so that they leave one at most.
    pub(crate) fn give_back(self, job: &Job) {
        let edge = &job.edge;
        let Some(connection) = self.body.into_connection() else {
            return;
        };
        let most = if job.order.route.is_repeatable() {
            edge.idle_limit(&job.order.service)
        } else {
            1
        };
        let idle_limit = self.marks.idle_limit;
        edge.connections
            .put(edge.now(), self.target, connection, idle_limit, most);
    }
}

/// Collects a body of `limit_bytes` at most, within the time of the request.
pub(crate) async fn collect(
    job: &Job,
    answer: &mut Answer,
    limit_bytes: usize,
) -> Result<Bytes, ExchangeError> {
    let reading = async {
        let mut whole = BytesMut::new();
        while let Some(bytes) = answer.body.next().await? {
            if whole.len() + bytes.len() > limit_bytes {
                return Err(ExchangeError::Malformed {
                    reason: "the body is too long".into(),
                });
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    };
    let limited = tokio::time::timeout(job.time_left(), reading).await;
    limited.unwrap_or(Err(ExchangeError::CutOff))
}

pub(crate) fn clone_head(head: &ResponseHead) -> ResponseHead {
    let mut copy = ResponseHead::new(head.status);
    copy.headers = head.headers.clone();
    copy
}

/// A kept connection may have been closed by the target at the very moment of sending, and then
/// nobody knows whether the request ran. What must not run twice gets a connection of its own.
async fn connect(
    job: &Job,
    target: TargetKey,
    address: std::net::SocketAddr,
) -> Result<Connection, ExchangeError> {
    let edge = &job.edge;
    if job.order.route.is_repeatable()
        && let Some(connection) = edge.connections.take(edge.now(), target)
    {
        return Ok(connection);
    }
    edge.metrics.connections_opened.add(1, &[]);
    let timeout = edge.settings.tuning.connect_timeout.min(job.time_left());
    Connection::open(address, timeout).await
}

fn broken(edge: &Edge, target: TargetKey, error: &ExchangeError) -> FailedAttempt {
    if error.is_not_sent() {
        return FailedAttempt::new(AttemptEnd::NotSent, error.name());
    }
    edge.target_answered(target, true);
    FailedAttempt::broken(error.name())
}

fn request_head(
    job: &Job,
    choice: &Choice,
    target_id: &TargetId,
    last_event: Option<u64>,
    hop: Option<&Hop>,
) -> RequestHead {
    let edge = &job.edge;
    let mut head = RequestHead::default();
    head.method = job.order.method.clone();
    head.uri = job.order.uri.clone();
    head.headers = job.order.headers.clone();
    let fetch_from = choice.fetch_from.and_then(|source| edge.address_of(source));
    let attempt = AttemptHeaders {
        target: target_id,
        workspace: job.order.workspace.as_deref(),
        time_left: job.time_left(),
        rank: job.order.route.is_sticky.then_some(job.order.claim.rank),
        last_event,
        fetch_from: fetch_from.map(|(_, address)| address),
    };
    (edge.dialect.write_attempt)(&attempt, &mut head.headers);
    if let Some(model) = &job.order.envelope.model {
        (edge.dialect.write_prompt)(&job.order.envelope, model, &mut head.headers);
    }
    if job.order.envelope.traceparent.is_some()
        && let Some(hop) = hop
    {
        write_trace(&hop.traceparent(), &mut head.headers);
    }
    head
}

/// Header that carries the trace.
const TRACEPARENT: &str = "traceparent";

fn write_trace(traceparent: &str, headers: &mut header::HeaderMap) {
    match header::HeaderValue::from_str(traceparent) {
        Ok(value) => {
            headers.insert(header::HeaderName::from_static(TRACEPARENT), value);
        }
        Err(error) => log::warn!(error:%; "trace_not_sent"),
    }
}

fn begin_hop(job: &Job, target_id: &TargetId) -> Option<Hop> {
    let request = job.hop.as_ref()?;
    let spans = job.edge.spans.as_ref()?;
    let mut hop = spans.start("attempt", SpanKind::Client, &request.traceparent());
    hop.note("target", target_id.to_string());
    Some(hop)
}

/// Lines of requests that are served at once are sampled by the request's id, so that all daemons
/// log the same requests.
fn log_sent(job: &Job, choice: &Choice, target_id: &TargetId, last_event: Option<u64>) {
    if !job.is_logged() {
        return;
    }
    log::info!(
        request:% = job.order.envelope.id,
        target:% = target_id,
        service:% = job.order.service,
        config_version = job.order.config_version,
        waited_ms = millis(job.waited),
        config_age_ms = job.edge.config_age().map(millis),
        reason:? = choice.reason,
        load = choice.load,
        bound = choice.bound,
        load_age_ms = job.edge.load_age(choice.target).map(millis),
        fetch = choice.fetch_from.is_some(),
        sends = job.progress.sends,
        last_event,
        time_left_ms = millis(job.time_left());
        "sent"
    );
}
