//! One request and what was done for it so far.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{Method, Uri};
use actix_web::HttpRequest;
use bytes::Bytes;
use lapismoor_core::Moment;
use lapismoor_core::admission::Refusal;
use lapismoor_core::ids::{ServiceId, TargetKey, WorkspaceId};
use lapismoor_core::retry::{AttemptEnd, NextStep, Progress};
use lapismoor_core::routing::{Choice, Demand, NoTarget, Route};
use opentelemetry::trace::SpanKind;

use super::{Admitted, request_hash};
use crate::context::Edge;
use crate::dialect::Envelope;
use crate::gates::Permit;
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
    pub envelope: Envelope,
    pub config_version: u64,
    pub route: Rc<Route>,
    pub service: ServiceId,
    pub workspace: Option<WorkspaceId>,
    pub rank: u8,
    pub method: Method,
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub received: Moment,
    /// When the caller or the route gives the request up.
    pub until: Moment,
    /// Targets that it was sent to, or was to be.
    pub tried: Vec<TargetKey>,
    /// Whether the last attempt ended with a failure of the target's own.
    pub may_repeat_target: bool,
    pub progress: Progress,
    /// How long it waited before it could be sent.
    pub waited: Duration,
    permit: Option<Permit>,
    /// Span of this hop; none if the request is not sampled.
    pub hop: Option<Hop>,
    _guard: CallerGuard,
}

impl Job {
    pub(crate) fn new(
        edge: Rc<Edge>,
        guard: CallerGuard,
        admitted: Admitted,
        envelope: Envelope,
        request: &HttpRequest,
        body: Bytes,
        received: Moment,
    ) -> Self {
        let route = admitted.route;
        let deadline = envelope.deadline.unwrap_or(route.timeout);
        let shared = envelope.parts.iter().rev().nth(1);
        let split_key = shared.map_or_else(|| request_hash(&envelope.id), |part| part.id);
        let service = route.service_for(split_key).clone();
        edge.count_request(&service);
        let (workspace, rank) = match admitted.workspace {
            Some(workspace) => (Some(workspace.name), workspace.rank),
            None => (None, None),
        };
        Self {
            config_version: admitted.config.version(),
            headers: passed_on(&edge, request.headers()),
            method: request.method().clone(),
            uri: request.uri().clone(),
            until: received + deadline.min(route.timeout),
            rank: rank.unwrap_or(route.rank),
            tried: Vec::new(),
            may_repeat_target: false,
            progress: Progress::default(),
            waited: Duration::ZERO,
            permit: None,
            hop: begin_hop(&edge, &envelope.id, &service),
            _guard: guard,
            edge,
            envelope,
            route,
            service,
            workspace,
            body,
            received,
        }
    }

    /// Waits until the request may be in flight.
    pub(crate) async fn enter(&mut self) -> Result<(), Refusal> {
        let edge = Rc::clone(&self.edge);
        let began = edge.now();
        let entered = edge.enter(&self.service, &self.route, self.rank, self.received);
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
        let parts = if self.route.is_sticky {
            self.envelope.parts.as_slice()
        } else {
            &[]
        };
        let demand = Demand {
            service: &self.service,
            parts,
            request: request_hash(&self.envelope.id),
            tried: &self.tried,
            may_repeat_target: self.may_repeat_target,
        };
        let mut state = self.edge.state.borrow_mut();
        let state = &mut *state;
        state.chooser.choose(now, &state.directory, &demand)
    }

    /// Decides what follows the end of an attempt.
    pub(crate) fn after(&mut self, target: TargetKey, end: &AttemptEnd) -> NextStep {
        self.progress.note(end);
        self.tried.push(target);
        self.may_repeat_target = *end == AttemptEnd::Failed;
        let has_time = self.time_left() > MIN_TIME_LEFT;
        let take_budget = || *end == AttemptEnd::NotSent || self.edge.take_retry(&self.service);
        self.route
            .retry_rule()
            .next(end, self.progress, has_time, take_budget)
    }

    /// Whether lines of success are logged: of a sample, and of what did not go well at once.
    pub(crate) fn is_logged(&self) -> bool {
        !self.tried.is_empty() || is_sampled(&self.edge, &self.envelope.id)
    }

    /// Whether another attempt would be allowed after one that may have run.
    pub(crate) fn may_go_elsewhere(&self) -> bool {
        self.route.is_repeatable() && self.progress.runs + 1 < self.route.max_attempts
    }
}

fn begin_hop(edge: &Edge, id: &str, service: &ServiceId) -> Option<Hop> {
    let spans = edge.spans.as_ref().filter(|_| is_sampled(edge, id))?;
    let mut hop = spans.begin("request", SpanKind::Server);
    hop.note("request", id.to_owned());
    hop.note("service", service.to_string());
    Some(hop)
}

/// Whether a request belongs to the sample that all daemons draw alike.
fn is_sampled(edge: &Edge, id: &str) -> bool {
    let every = u64::from(edge.settings.tuning.log_every.max(1));
    request_hash(id).is_multiple_of(every)
}

/// Headers of a caller that targets get, too.
fn passed_on(edge: &Edge, headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = is_hop_by_hop(name)
            || *name == header::CONTENT_LENGTH
            || named.iter().any(|other| other == name.as_str())
            || (edge.dialect.is_withheld)(name);
        if !is_dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Names of further headers that concern one connection only.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Whether a header concerns one connection only.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "expect"
    )
}
