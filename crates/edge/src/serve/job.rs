//! The state of one request across its attempts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::{Belief, InterruptedAttempt, Refusal, TrialRecord, Verdict};
use lapismoor_core::ids::{Fingerprint, ServiceId, TargetKey, hash_parts};
use lapismoor_core::membership::TargetIncarnation;
use lapismoor_core::retry::{AttemptCounts, AttemptEnd, NextStep};
use lapismoor_core::routing::{Choice, NoTarget, TargetQuery};
use opentelemetry::trace::SpanKind;

use super::admitted_request::AdmittedRequest;
use super::attempt::FailedAttempt;
use super::report;
use super::request_hash;
use crate::admission::{Permit, PermitRequest};
use crate::context::Edge;
use crate::dialect::Envelope;
use crate::spans::ActiveSpan;
use crate::store::{ClaimResult, share_now, trials};

/// Least time before the deadline with which another attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Crashes from which on a request is sent to the least loaded target instead of its homes, and only
/// after the evidence is shared.
const SUSPICIOUS_CRASHES: usize = 2;
/// Longest time for which a request waits for the claim of its trial: two calls of a slow store.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a retry of a request whose trial runs at another daemon or could not be claimed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts a caller's request as in flight until dropped.
pub(crate) struct CallerGuard {
    edge: Rc<Edge>,
}

impl CallerGuard {
    pub(crate) fn new(edge: &Rc<Edge>) -> Self {
        edge.in_flight.set(edge.in_flight.get() + 1);
        Self {
            edge: Rc::clone(edge),
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.edge.in_flight.set(self.edge.in_flight.get() - 1);
    }
}

/// A request and the state of its attempts.
pub(crate) struct Job {
    pub edge: Rc<Edge>,
    pub request: AdmittedRequest,
    /// Deadline of the caller or timeout of the route, whichever is earlier.
    pub deadline: Moment,
    /// Targets of the attempts so far, whether or not the request could be sent.
    pub tried: Vec<TargetKey>,
    /// Whether the same target may be chosen again: the last attempt was answered with a failure.
    pub may_repeat_target: bool,
    pub progress: AttemptCounts,
    /// Hash of workspace, method, path and body; identifies requests that crash targets.
    pub fingerprint: Fingerprint,
    /// When the last attempt was sent.
    pub sent_at: Cell<Moment>,
    /// Target of the last attempt.
    pub sent_to: RefCell<Option<TargetIncarnation>>,
    /// Target whose answer has not begun; none between attempts.
    pub waits_for: Cell<Option<TargetKey>>,
    /// Number of runs before the trial that this job claimed; the trial permits one more.
    trial_after_runs: Option<u32>,
    /// Whether the end of the request was logged and counted.
    pub is_end_reported: Cell<bool>,
    /// Whether part of an answer was forwarded to the caller.
    pub is_delivering: bool,
    /// Time in the admission queue.
    pub queue_wait: Duration,
    permit: Option<Permit>,
    /// Span of the request at this daemon; `None` if the request is not sampled.
    pub span: Option<ActiveSpan>,
    _guard: CallerGuard,
}

impl Job {
    pub(crate) fn new(edge: Rc<Edge>, guard: CallerGuard, request: AdmittedRequest) -> Self {
        let timeout = request.route.timeout;
        let caller_timeout = request.envelope.deadline.unwrap_or(timeout);
        edge.count_request(&request.service);
        Self {
            deadline: request.received + caller_timeout.min(timeout),
            tried: Vec::new(),
            may_repeat_target: false,
            progress: AttemptCounts::default(),
            fingerprint: fingerprint(&request),
            sent_at: Cell::new(request.received),
            sent_to: RefCell::new(None),
            waits_for: Cell::new(None),
            trial_after_runs: None,
            is_end_reported: Cell::new(false),
            is_delivering: false,
            queue_wait: Duration::ZERO,
            permit: None,
            span: start_span(&edge, &request.envelope, &request.service),
            _guard: guard,
            edge,
            request,
        }
    }

    /// How much longer the request is refused because it crashed targets; `None` if it is not.
    pub(crate) fn crash_ban(&self) -> Option<Duration> {
        let now = self.edge.now();
        self.edge.state.borrow().suspects.ban(now, self.fingerprint)
    }

    /// Checks before each attempt whether the request may be sent, and claims a trial if it may be
    /// sent in one only.
    ///
    /// # Errors
    /// The time after which the caller may retry, if the request must not be sent.
    pub(crate) async fn clear_to_send(&mut self) -> Result<(), Duration> {
        if self.trial_after_runs == Some(self.progress.runs) {
            return Ok(());
        }
        let verdict = {
            let state = self.edge.state.borrow();
            state.suspects.verdict(self.edge.now(), self.fingerprint)
        };
        match verdict {
            Verdict::Run if self.has_crashed_targets() => {
                share_now(&self.edge, self.fingerprint).await;
                Ok(())
            }
            Verdict::Run => Ok(()),
            Verdict::Refuse { retry_after } => Err(retry_after),
            Verdict::Trial { number } => self.claim_trial(number).await,
        }
    }

    async fn claim_trial(&mut self, number: u32) -> Result<(), Duration> {
        let trial = TrialRecord {
            fingerprint: self.fingerprint,
            number,
        };
        let claim = trials::claim(&self.edge, trial);
        let limit = self.time_left().min(CLAIM_TIMEOUT);
        let claimed = tokio::time::timeout(limit, claim).await;
        let result = claimed.unwrap_or(ClaimResult::Unanswered);
        report::trial_claimed(self, number, result);
        if result == ClaimResult::Claimed {
            self.trial_after_runs = Some(self.progress.runs);
            return Ok(());
        }
        Err(CLAIM_RETRY_AFTER)
    }

    /// Waits in the admission queue until the request may be sent.
    ///
    /// # Errors
    /// [`Refusal`] when the answer would be late or the queue is full.
    pub(crate) async fn acquire_permit(&mut self) -> Result<(), Refusal> {
        let edge = Rc::clone(&self.edge);
        let started_at = edge.now();
        let permit = edge.acquire_permit(PermitRequest {
            service: &self.request.service,
            latency_objective: self.request.route.latency_objective,
            priority: &self.request.priority,
            received: self.request.received,
        });
        self.permit = Some(permit.await?);
        self.queue_wait = edge.now().saturating_sub(started_at);
        edge.metrics.record_wait(self.queue_wait);
        Ok(())
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.edge.now())
    }

    /// Whether the request was interrupted at several targets.
    fn has_crashed_targets(&self) -> bool {
        let state = self.edge.state.borrow();
        let standing = state.suspects.standing(self.edge.now(), self.fingerprint);
        standing.crashes >= SUSPICIOUS_CRASHES
    }

    /// Chooses the target of the next attempt.
    pub(crate) fn choose_target(&self) -> Result<Choice, NoTarget> {
        let now = self.edge.now();
        // Requests that share a prompt part and were interrupted together would otherwise follow
        // the one that crashes targets from home to home.
        let parts = if self.request.route.is_sticky && !self.has_crashed_targets() {
            self.request.envelope.parts.as_slice()
        } else {
            &[]
        };
        let query = TargetQuery {
            service: &self.request.service,
            parts,
            request: request_hash(&self.request.envelope.id),
            tried: &self.tried,
            may_repeat_target: self.may_repeat_target,
            preference: self.request.preference.clone(),
        };
        let mut state = self.edge.state.borrow_mut();
        let state = &mut *state;
        state.chooser.choose(now, &state.directory, &query)
    }

    /// Records a failed attempt and decides what to do next.
    pub(crate) fn next_step(&mut self, target: TargetKey, failed: &FailedAttempt) -> NextStep {
        let end = &failed.end;
        self.waits_for.set(None);
        if let Some(belief) = failed.interruption {
            self.record_interruption(target, belief, failed.had_answer);
        }
        self.progress.count_attempt(end);
        self.tried.push(target);
        self.may_repeat_target = *end == AttemptEnd::Failed;
        let has_time = self.time_left() > MIN_TIME_LEFT;
        let take_budget =
            || *end == AttemptEnd::NotSent || self.edge.take_retry(&self.request.service);
        self.request.route.retry_policy(self.is_delivering).next(
            end,
            self.progress,
            has_time,
            take_budget,
        )
    }

    /// Whether the target of the attempt in flight has sent nothing since, on any connection.
    pub(crate) fn is_target_unheard(&self) -> bool {
        let target = self.waits_for.get();
        target.is_some_and(|target| self.edge.heard_at(target) <= self.sent_at.get())
    }

    /// Records that the target of the last attempt may have crashed, unless it was about to exit.
    fn record_interruption(&self, target: TargetKey, belief: Belief, had_answer: bool) {
        let now = self.edge.now();
        let Some(incarnation) = self.sent_to.borrow().clone() else {
            return;
        };
        {
            let mut state = self.edge.state.borrow_mut();
            if state.directory.is_exit_planned(now, target) {
                return;
            }
            let is_listed = state.directory.is_listed(&incarnation);
            let attempt = InterruptedAttempt {
                fingerprint: self.fingerprint,
                sent_at: self.sent_at.get(),
                had_answer,
                belief: if is_listed { belief } else { Belief::Confirmed },
                target: incarnation.clone(),
            };
            state.suspects.record_interrupted_attempt(now, attempt);
        }
        self.edge.log_suspect(
            self.fingerprint,
            &incarnation.id,
            "interrupted",
            SUSPICIOUS_CRASHES,
        );
        self.edge.attempt_interrupted.notify_one();
    }

    /// Whether attempts and success are logged: for sampled requests, and for all after a failed
    /// attempt.
    pub(crate) fn should_log(&self) -> bool {
        !self.tried.is_empty() || is_sampled(&self.edge, &self.request.envelope.id)
    }

    /// Whether another attempt would be allowed if the current one may have run.
    pub(crate) fn may_retry(&self) -> bool {
        let policy = self.request.route.retry_policy(self.is_delivering);
        policy.is_repeatable && self.progress.runs + 1 < policy.max_attempts
    }
}

/// A job that is dropped before its end was reported lost its caller.
impl Drop for Job {
    fn drop(&mut self) {
        if let Some(target) = self.waits_for.get()
            && self.is_target_unheard()
        {
            self.record_interruption(target, Belief::Silent, false);
        }
        if !self.is_end_reported.get() {
            report::caller_left(self);
        }
    }
}

fn fingerprint(request: &AdmittedRequest) -> Fingerprint {
    hash_parts(&[
        request.priority.workspace.as_bytes(),
        request.method.as_str().as_bytes(),
        request.uri.path().as_bytes(),
        &request.body,
    ])
}

/// Starts the span of a request if the caller sent a trace or the request is sampled.
fn start_span(edge: &Edge, envelope: &Envelope, service: &ServiceId) -> Option<ActiveSpan> {
    let spans = edge.spans.as_ref()?;
    let trace = envelope.traceparent.as_deref();
    if trace.is_none() && !is_sampled(edge, &envelope.id) {
        return None;
    }
    let mut span = spans.start_child("request", SpanKind::Server, trace.unwrap_or_default());
    span.set_attribute("request", envelope.id.to_string());
    span.set_attribute("service", service.to_string());
    Some(span)
}

/// Whether a request is sampled. The decision depends only on the id, so that all daemons sample
/// the same requests.
fn is_sampled(edge: &Edge, id: &str) -> bool {
    let every = u64::from(edge.settings.tuning.log_every.max(1));
    request_hash(id).is_multiple_of(every)
}
