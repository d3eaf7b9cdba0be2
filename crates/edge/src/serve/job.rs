//! One request and what was done for it so far.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::Refusal;
use lapismoor_core::ids::{Fingerprint, ServiceId, TargetKey, hash_parts};
use lapismoor_core::retry::{AttemptCounts, AttemptEnd, NextStep};
use lapismoor_core::routing::{Choice, NoTarget, TargetQuery};
use opentelemetry::trace::SpanKind;

use super::attempt::FailedAttempt;
use super::order::AdmittedRequest;
use super::report;
use super::request_hash;
use crate::admission::{Entrant, Permit};
use crate::context::Edge;
use crate::dialect::Envelope;
use crate::spans::Hop;

/// Least time for which another attempt is worth while.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Counts a caller's request as in flight.
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

/// One request and what was done for it so far.
pub(crate) struct Job {
    pub edge: Rc<Edge>,
    pub order: AdmittedRequest,
    /// When the caller or the route gives the request up.
    pub until: Moment,
    /// Targets that it was sent to, or was to be.
    pub tried: Vec<TargetKey>,
    /// Whether the last attempt ended with a failure of the target's own.
    pub may_repeat_target: bool,
    pub progress: AttemptCounts,
    /// Hash of workspace, method, path and body.
    pub fingerprint: Fingerprint,
    /// When the last attempt was sent.
    pub sent_at: Cell<Moment>,
    /// Whether its end was logged.
    pub has_ended: Cell<bool>,
    /// Whether part of an answer was passed on.
    pub is_delivering: bool,
    /// How long it waited before it could be sent.
    pub waited: Duration,
    permit: Option<Permit>,
    /// Span of this hop; none if the request is not sampled.
    pub hop: Option<Hop>,
    _guard: CallerGuard,
}

impl Job {
    pub(crate) fn new(edge: Rc<Edge>, guard: CallerGuard, order: AdmittedRequest) -> Self {
        let timeout = order.route.timeout;
        let deadline = order.envelope.deadline.unwrap_or(timeout);
        edge.count_request(&order.service);
        Self {
            until: order.received + deadline.min(timeout),
            tried: Vec::new(),
            may_repeat_target: false,
            progress: AttemptCounts::default(),
            fingerprint: fingerprint(&order),
            sent_at: Cell::new(order.received),
            has_ended: Cell::new(false),
            is_delivering: false,
            waited: Duration::ZERO,
            permit: None,
            hop: begin_hop(&edge, &order.envelope, &order.service),
            _guard: guard,
            edge,
            order,
        }
    }

    /// How long the request is refused because it crashed targets.
    pub(crate) fn ban(&self) -> Option<Duration> {
        let now = self.edge.now();
        self.edge.state.borrow().suspects.ban(now, self.fingerprint)
    }

    /// Waits until the request may be in flight.
    pub(crate) async fn enter(&mut self) -> Result<(), Refusal> {
        let edge = Rc::clone(&self.edge);
        let began = edge.now();
        let entered = edge.enter(Entrant {
            service: &self.order.service,
            aim: self.order.route.latency_objective,
            claim: &self.order.claim,
            received: self.order.received,
        });
        self.permit = Some(entered.await?);
        self.waited = edge.now().saturating_sub(began);
        edge.metrics.waited(self.waited);
        Ok(())
    }

    /// Time until the request is given up.
    pub(crate) fn time_left(&self) -> Duration {
        self.until.saturating_sub(self.edge.now())
    }

    /// Picks the next target.
    pub(crate) fn choose(&self) -> Result<Choice, NoTarget> {
        let now = self.edge.now();
        let parts = if self.order.route.is_sticky {
            self.order.envelope.parts.as_slice()
        } else {
            &[]
        };
        let demand = TargetQuery {
            service: &self.order.service,
            parts,
            request: request_hash(&self.order.envelope.id),
            tried: &self.tried,
            may_repeat_target: self.may_repeat_target,
            preference: self.order.preference.clone(),
        };
        let mut state = self.edge.state.borrow_mut();
        let state = &mut *state;
        state.chooser.choose(now, &state.directory, &demand)
    }

    /// Decides what follows the end of an attempt.
    pub(crate) fn after(&mut self, target: TargetKey, failed: &FailedAttempt) -> NextStep {
        let end = &failed.end;
        if failed.is_broken {
            let now = self.edge.now();
            let suspects = &mut self.edge.state.borrow_mut().suspects;
            suspects.record_interrupted_attempt(now, self.fingerprint, target, self.sent_at.get());
        }
        self.progress.note(end);
        self.tried.push(target);
        self.may_repeat_target = *end == AttemptEnd::Failed;
        let has_time = self.time_left() > MIN_TIME_LEFT;
        let take_budget =
            || *end == AttemptEnd::NotSent || self.edge.take_retry(&self.order.service);
        self.order.route.retry_policy(self.is_delivering).next(
            end,
            self.progress,
            has_time,
            take_budget,
        )
    }

    /// Whether lines of success are logged: of a sample, and of what did not go well at once.
    pub(crate) fn is_logged(&self) -> bool {
        !self.tried.is_empty() || is_sampled(&self.edge, &self.order.envelope.id)
    }

    /// Whether another attempt would be allowed after one that may have run.
    pub(crate) fn may_go_elsewhere(&self) -> bool {
        let rule = self.order.route.retry_policy(self.is_delivering);
        rule.is_repeatable && self.progress.runs + 1 < rule.max_attempts
    }
}

/// A caller that leaves ends its request without an answer.
impl Drop for Job {
    fn drop(&mut self) {
        if !self.has_ended.get() {
            report::caller_left(self);
        }
    }
}

fn fingerprint(order: &AdmittedRequest) -> Fingerprint {
    hash_parts(&[
        order.claim.workspace.as_bytes(),
        order.method.as_str().as_bytes(),
        order.uri.path().as_bytes(),
        &order.body,
    ])
}

/// A caller that sent a trace asked for spans; of the others a sample has them.
fn begin_hop(edge: &Edge, envelope: &Envelope, service: &ServiceId) -> Option<Hop> {
    let spans = edge.spans.as_ref()?;
    let trace = envelope.traceparent.as_deref();
    if trace.is_none() && !is_sampled(edge, &envelope.id) {
        return None;
    }
    let mut hop = spans.start("request", SpanKind::Server, trace.unwrap_or_default());
    hop.note("request", envelope.id.to_string());
    hop.note("service", service.to_string());
    Some(hop)
}

/// Whether a request belongs to the sample that all daemons draw alike.
fn is_sampled(edge: &Edge, id: &str) -> bool {
    let every = u64::from(edge.settings.tuning.log_every.max(1));
    request_hash(id).is_multiple_of(every)
}
