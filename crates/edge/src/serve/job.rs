//! The state of one request across its attempts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::max_wait;
use lapismoor_core::admission::suspects::followed_parts;
use lapismoor_core::admission::{
    Belief, BufferOwner, Growth, Priority, Refusal, RequestNeed, SuspectKind,
};
use lapismoor_core::ids::{Fingerprint, ServiceId, StreamKey, TargetKey, hash_parts, stream_key};
use lapismoor_core::membership::{Directory, KnownTarget, TargetIncarnation};
use lapismoor_core::retry::{
    AttemptCounts, AttemptEnd, MAX_SOUND_SILENCE, NextStep, Obstacle, OverdueRequest, RetryPolicy,
    may_replace,
};
use lapismoor_core::routing::{Choice, NoTarget, PromptPart, TargetQuery};
use lapismoor_core::stream::VersionBinding;
use opentelemetry::trace::SpanKind;

use super::admitted_request::AdmittedRequest;
use super::attempt::FailedAttempt;
use super::report;
use super::request_hash;
use crate::admission::{Permit, PermitRequest};
use crate::buffers::BufferLease;
use crate::context::Edge;
use crate::dialect::Envelope;
use crate::in_flight::CallerGuard;
use crate::spans::ActiveSpan;

/// Cause of an attempt whose answer was not complete at the deadline.
pub(super) const TIME_UP: &str = "time_up";
/// Cause of an attempt that was given up because the daemon exits.
pub(super) const GIVEN_UP_AT_EXIT: &str = "given_up_at_exit";
/// Least time before the deadline with which another attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Least time before the deadline with which another target can be expected to answer instead of
/// one that has the request.
const MIN_REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// Time until a request may find room that was not tried in favour of others.
const OVERLOAD_WAIT: Duration = Duration::from_millis(500);
/// Number of permits after which a request asks for none.
pub(super) const ASKS_NO_PERMIT: usize = usize::MAX;
/// Time between two looks for a target while there is none.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt that was sent to a target and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub target: TargetKey,
    /// Incarnation of the target; `None` if it was forgotten.
    pub incarnation: Option<TargetIncarnation>,
    pub sent_at: Moment,
    /// Whether another daemon forwards the connection.
    pub is_relayed: bool,
    /// Whether part of the answer has arrived.
    pub has_answer: bool,
}

/// What may crash the targets of a request: its content, or a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Subject {
    pub fingerprint: Fingerprint,
    /// Id of the prompt part; `None` for the content.
    pub part: Option<u64>,
}

impl Subject {
    pub(crate) fn kind(&self) -> SuspectKind {
        match self.part {
            Some(_) => SuspectKind::PromptPart,
            None => SuspectKind::Content,
        }
    }
}

/// A request and the state of its attempts.
pub(crate) struct Job {
    pub edge: Rc<Edge>,
    pub request: AdmittedRequest,
    /// Deadline of the caller or timeout of the route, whichever is earlier.
    pub deadline: Moment,
    /// Targets of the attempts so far, whether or not the request could be sent.
    pub tried: RefCell<Vec<TargetKey>>,
    /// Targets that did not take over the request from the one that has it.
    pub declined: RefCell<Vec<TargetKey>>,
    /// Whether the same target may be chosen again, as of the last attempt.
    pub may_repeat_target: Cell<bool>,
    /// Counts of the attempts that have ended.
    pub progress: Cell<AttemptCounts>,
    /// Decides which requests get permits for targets with limits.
    pub permit_priority: Priority,
    /// Hash of workspace, method, path and body; identifies requests that crash targets.
    pub fingerprint: Fingerprint,
    /// What may crash targets: the content, then the shared parts of the prompt.
    pub subjects: Vec<Subject>,
    /// The subject for which the request was last held back.
    pub suspect: Cell<Option<Subject>>,
    /// The attempts that were sent and have not ended. Invariant: one for each target; more than one
    /// only while another target is offered an overdue request.
    pub in_flight: RefCell<Vec<InFlight>>,
    /// Number of runs before the trial that this job claimed; the trial permits one more.
    pub trial_after_runs: Option<u32>,
    /// Whether a target had no room for the request within its limit.
    pub is_limited: Cell<bool>,
    /// Whether the end of the request was logged and counted.
    pub is_end_reported: Cell<bool>,
    /// Whether the head of a stream was forwarded to the caller, so that no other answer than a
    /// successful one can follow.
    pub is_streaming: bool,
    /// Whether events of a stream were forwarded to the caller.
    pub is_delivering: bool,
    /// Software version at which the stream may go on, once events were forwarded to the caller.
    pub version: Cell<VersionBinding>,
    /// Time in the admission queue.
    pub queue_wait: Duration,
    permit: Option<Permit>,
    /// Span of the request at this daemon; `None` if the request is not sampled.
    pub span: Option<ActiveSpan>,
    _guard: CallerGuard,
}

impl Job {
    pub(crate) fn new(edge: Rc<Edge>, guard: CallerGuard, request: AdmittedRequest) -> Self {
        edge.count_request(&request.service);
        let fingerprint = fingerprint(&request);
        Self {
            deadline: deadline(&request),
            tried: RefCell::default(),
            declined: RefCell::default(),
            may_repeat_target: Cell::new(false),
            progress: Cell::default(),
            permit_priority: permit_priority(&request),
            subjects: subjects(&request, fingerprint),
            suspect: Cell::new(None),
            fingerprint,
            in_flight: RefCell::default(),
            trial_after_runs: None,
            is_limited: Cell::new(false),
            is_end_reported: Cell::new(false),
            is_streaming: false,
            is_delivering: false,
            version: Cell::default(),
            queue_wait: Duration::ZERO,
            permit: None,
            span: start_span(&edge, &request.envelope, &request.service),
            _guard: guard,
            edge,
            request,
        }
    }

    /// Waits in the admission queue until the request may be sent.
    ///
    /// # Errors
    /// [`Refusal`] when the answer would be late or the queue is full.
    pub(crate) async fn acquire_permit(&mut self) -> Result<(), Refusal> {
        let edge = Rc::clone(&self.edge);
        let started_at = edge.now();
        let permit = edge.acquire_permit(permit_request(&edge, &self.request));
        let permit = tokio::select! {
            biased;
            permit = permit => permit?,
            () = self.latest_send() => return Err(Refusal::Stopping),
        };
        self.permit = Some(permit);
        self.queue_wait = edge.now().saturating_sub(started_at);
        edge.metrics.record_wait(self.queue_wait);
        Ok(())
    }

    /// Time at which the request can no longer be sent, as this daemon is shutting down; `None` as long as it
    /// is not.
    fn send_until(&self) -> Option<Moment> {
        let stop_began = self.edge.stopping_since.get()?;
        let expected = {
            let state = self.edge.state.borrow();
            let route = &self.request.route;
            let expected = state.answer_times.expected(&route.name, self.work());
            expected.map(|expected| expected.usual_time)
        };
        Some(stop_began + self.edge.stop_plan().send_within(expected))
    }

    /// Whether this daemon shuts down before an answer can be expected.
    pub(crate) fn is_too_late_to_send(&self) -> bool {
        let now = self.edge.now();
        self.send_until().is_some_and(|latest| now >= latest)
    }

    /// Waits until the request can no longer be sent.
    async fn latest_send(&self) {
        self.edge.stopping.cancelled().await;
        let latest = self.send_until().unwrap_or_default();
        tokio::time::sleep(latest.saturating_sub(self.edge.now())).await;
    }

    /// Work of the request in units that are comparable within a route: tokens of the prompt.
    pub(crate) fn work(&self) -> u32 {
        work(&self.request)
    }

    /// Opens a buffer for an answer of a target.
    pub(crate) fn open_answer_buffer(&self, target: TargetKey, growth: Growth) -> BufferLease {
        let owner = BufferOwner {
            group: self.request.service.clone(),
            member: target,
        };
        self.edge.answer_buffers.open(owner, growth)
    }

    /// Time until the deadline, or until this daemon, which is shutting down, gives its requests up.
    pub(crate) fn time_left(&self) -> Duration {
        let gives_up_at = self.edge.gives_up_at().unwrap_or(self.deadline);
        let ends_at = self.deadline.min(gives_up_at);
        ends_at.saturating_sub(self.edge.now())
    }

    /// Runs `work` until it ends; `None` if the time that is left passes before.
    pub(crate) async fn in_time<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.edge.in_time(self.time_left(), work).await
    }

    /// Why an attempt ends whose time has passed.
    pub(crate) fn cause_of_timeout(&self) -> &'static str {
        if self.edge.now() < self.deadline && self.edge.stopping.is_cancelled() {
            GIVEN_UP_AT_EXIT
        } else {
            TIME_UP
        }
    }

    /// Whether the request is tried while the targets of its service take fewer than it gets.
    pub(crate) fn is_admitted_in_overload(&self) -> bool {
        let now = self.edge.now();
        let service = &self.request.service;
        let overloads = &mut self.edge.state.borrow_mut().overloads;
        overloads.admit(now, service, &self.permit_priority)
    }

    /// Why the request is not tried: its home has no room, and that of others is left to more urgent
    /// requests. `None` if its home needs no permit, or is only cold and another target is not.
    pub(crate) fn reason_for_overload(&self) -> Option<NoTarget> {
        let choice = self.choose(&[], false, ASKS_NO_PERMIT);
        let reason = overload_reason(choice, |target| self.edge.names_limit(target))?;
        if let NoTarget::Limited { left, target } = reason {
            report::limit_reached(self, target, Some(left), "refused");
        }
        Some(reason)
    }

    fn record_room(&self, has_found_room: bool) {
        let now = self.edge.now();
        let overloads = &mut self.edge.state.borrow_mut().overloads;
        overloads.record(now, &self.request.service, has_found_room);
    }

    /// Chooses the target of the next attempt and takes a permit for it, if it has a limit. Waits
    /// until `give_up_at` at most while all targets have reached their limits.
    ///
    /// # Errors
    /// [`NoTarget`] if no target can get the request.
    pub(crate) async fn choose_target(&self, give_up_at: Moment) -> Result<Choice, NoTarget> {
        let mut permits_denied = 0;
        let mut has_waited = false;
        loop {
            let chosen = self.choose(
                &self.tried.borrow(),
                self.may_repeat_target.get(),
                permits_denied,
            );
            let reason = match chosen {
                Ok(choice) if self.take_permit(&choice).await => {
                    self.record_room(true);
                    if let Some(limited) = choice.limited {
                        report::limit_reached(self, limited, None, "sent_elsewhere");
                    }
                    return Ok(choice);
                }
                Ok(_) => {
                    permits_denied += 1;
                    continue;
                }
                Err(reason) => reason,
            };
            let NoTarget::Limited { left, target } = reason else {
                return Err(reason);
            };
            if has_waited || self.edge.now() + left > give_up_at {
                self.record_room(false);
                report::limit_reached(self, target, Some(left), "refused");
                return Err(reason);
            }
            tokio::time::sleep(left).await;
            has_waited = true;
            permits_denied = 1;
        }
    }

    /// Until when a request that was not sent yet may wait for room within the limits of targets:
    /// as long as in the admission queue.
    pub(crate) fn limit_wait_end(&self) -> Moment {
        let now = self.edge.now();
        let objective = self.request.route.latency_objective;
        now + max_wait(objective, self.request.received, now)
    }

    /// Takes a permit to send the request to the target of `choice`. Returns whether there was one.
    pub(crate) async fn take_permit(&self, choice: &Choice) -> bool {
        let priority = &self.permit_priority;
        self.edge.take_permit(choice.target, priority).await
    }

    fn choose(
        &self,
        tried: &[TargetKey],
        may_repeat_target: bool,
        permits_denied: usize,
    ) -> Result<Choice, NoTarget> {
        let now = self.edge.now();
        // Requests that share a prompt part and were interrupted together would otherwise follow
        // the one that crashes targets from home to home.
        let parts = if self.has_crashed_targets() {
            &[]
        } else {
            placement_parts(&self.request)
        };
        let query = TargetQuery {
            parts,
            version: self.version.get(),
            tried,
            may_repeat_target,
            permits_denied,
            ..first_query(&self.request, &self.permit_priority)
        };
        let mut state = self.edge.state.borrow_mut();
        let state = &mut *state;
        state.chooser.choose(now, &state.directory, &query)
    }

    /// Whether a target has the version and is in the regions that bind the request.
    fn suits(&self, directory: &Directory, target: &KnownTarget) -> bool {
        let is_in_homes = directory.is_in_homes(target, &self.request.homes());
        is_in_homes && self.version.get().allows(target.version)
    }

    /// Whether listed targets have the software version at which the stream may go on.
    pub(crate) fn serves_version(&self) -> bool {
        match self.version.get() {
            VersionBinding::Free => true,
            VersionBinding::Only(version) => {
                self.edge.serves_version(&self.request.service, version)
            }
            VersionBinding::Unknown => false,
        }
    }

    /// Whether a target may get the stream, now or once it returns. Where targets of other versions
    /// serve, only untried ones of its own version are waited for.
    fn can_go_on(&self) -> bool {
        let tried = self.tried.borrow();
        let may_repeat = self.may_repeat_target.get();
        let state = self.edge.state.borrow();
        let directory = &state.directory;
        let (own, others): (Vec<_>, Vec<_>) = directory
            .listed(&self.request.service)
            .partition(|target| self.suits(directory, target));
        if are_evacuated(directory, &own) {
            return false;
        }
        let is_untried = |target: &&KnownTarget| {
            !directory.is_evacuated(target) && (may_repeat || !tried.contains(&target.key))
        };
        others.is_empty() || own.iter().any(is_untried)
    }

    /// Whether the failure domains of all targets that may serve the request are evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        let state = self.edge.state.borrow();
        let directory = &state.directory;
        let listed = directory.listed(&self.request.service);
        let own: Vec<_> = listed
            .filter(|target| self.suits(directory, target))
            .collect();
        are_evacuated(directory, &own)
    }

    /// Waits until a target can be chosen, for as long as sound targets may be silent. Returns
    /// whether there is one.
    pub(crate) async fn wait_for_target(&self) -> bool {
        let give_up_at = self.edge.now() + MAX_SOUND_SILENCE;
        while !self.has_target() {
            let is_late = self.edge.now() >= give_up_at || self.time_left() < MIN_REPLACEMENT_TIME;
            if is_late || !self.can_go_on() {
                return false;
            }
            tokio::time::sleep(TARGET_POLL_INTERVAL).await;
        }
        true
    }

    fn has_target(&self) -> bool {
        let now = self.edge.now();
        let state = self.edge.state.borrow();
        let tried = self.tried.borrow();
        let may_repeat = self.may_repeat_target.get();
        let mut targets = state.directory.in_use(&self.request.service);
        targets.any(|target| {
            let is_untried = may_repeat || !tried.contains(&target.key);
            target.is_available(now) && is_untried && self.suits(&state.directory, target)
        })
    }

    /// Chooses the target that replaces one from which nothing was heard since `silent_since`.
    ///
    /// # Errors
    /// The [`Obstacle`] for which no other target gets the request.
    pub(crate) fn choose_replacement(&self, silent_since: Moment) -> Result<Choice, Obstacle> {
        let request = OverdueRequest {
            counts: self.progress.get(),
            has_time: self.time_left() >= MIN_REPLACEMENT_TIME && !self.is_too_late_to_send(),
            is_suspected: self.trial_after_runs.is_some() || self.has_crashed_targets(),
            has_retry: self.edge.retries_left(&self.request.service) > 0,
        };
        self.retry_policy().replace(request, || {
            let unsuitable = self.unsuitable_replacements(silent_since)?;
            self.choose(&unsuitable, false, 0).ok()
        })
    }

    /// The targets in use that can't replace the one that has the request; `None` if that are all.
    fn unsuitable_replacements(&self, silent_since: Moment) -> Option<Vec<TargetKey>> {
        let now = self.edge.now();
        let state = self.edge.state.borrow();
        let (tried, declined) = (self.tried.borrow(), self.declined.borrow());
        let in_flight = self.in_flight.borrow();
        let is_known = |key: &TargetKey| {
            let has_request = in_flight.iter().any(|attempt| attempt.target == *key);
            has_request || tried.contains(key) || declined.contains(key)
        };
        let directory = &state.directory;
        let mut unsuitable = Vec::new();
        let mut has_suitable = false;
        for target in directory.listed(&self.request.service) {
            let is_suitable = self.suits(directory, target)
                && !directory.is_evacuated(target)
                && target.is_available(now)
                && may_replace(now, silent_since, target.last_received_at)
                && !is_known(&target.key);
            has_suitable |= is_suitable;
            if !is_suitable {
                unsuitable.push(target.key);
            }
        }
        has_suitable.then_some(unsuitable)
    }

    /// Records that events are forwarded to the caller, the first ones from this target.
    pub(crate) fn begin_delivery(&mut self, target: TargetKey) {
        if self.is_delivering {
            return;
        }
        self.is_delivering = true;
        let version = self.edge.version_of(target);
        let bound = self.version.get().bind(version);
        self.version.set(bound);
        if let VersionBinding::Only(version) = bound
            && self.request.route.is_resumable()
        {
            let request = &self.request;
            let timeout = request.envelope.deadline.unwrap_or_default();
            let timeout = timeout.max(request.route.timeout);
            let stream = self.stream_key(&request.envelope.id);
            self.edge
                .stream_began(stream, version, &request.service, timeout);
        }
    }

    /// Records that all events were forwarded to the caller.
    pub(crate) fn finish_stream(&self) {
        let stream = self.stream_key(&self.request.envelope.id);
        self.edge.stream_finished(stream);
    }

    /// Names a stream of the caller's workspace by the request that brought its first event.
    pub(crate) fn stream_key(&self, request: &str) -> StreamKey {
        let workspace = self.request.workspace.as_deref().unwrap_or_default();
        stream_key(workspace, request)
    }

    /// Whether another target may get the request while the current attempt is open.
    pub(crate) fn allows_replacement(&self) -> bool {
        self.retry_policy().allows_replacement(self.progress.get())
    }

    fn retry_policy(&self) -> RetryPolicy {
        self.request.route.retry_policy(self.is_delivering)
    }

    /// Records that a target did not take over the request from the one that has it.
    pub(crate) fn end_offer(&self, target: TargetKey, failed: &FailedAttempt) {
        let is_sent = {
            let in_flight = self.in_flight.borrow();
            in_flight.iter().any(|attempt| attempt.target == target)
        };
        self.declined.borrow_mut().push(target);
        if is_sent {
            let may_repeat_target = self.may_repeat_target.get();
            self.end_attempt(target, failed);
            self.may_repeat_target.set(may_repeat_target);
        }
    }

    /// Records that the request is at the target of the last attempt only. That attempt counts as
    /// sent after the one it replaced.
    pub(crate) fn end_replaced_attempt(&self, target: TargetKey, failed: &FailedAttempt) {
        self.end_attempt(target, failed);
        self.declined.borrow_mut().clear();
        if let Some(last) = self.in_flight.borrow_mut().last_mut() {
            last.sent_at = self.edge.now();
        }
    }

    /// Records an attempt that ended without a usable answer.
    pub(crate) fn end_attempt(&self, target: TargetKey, failed: &FailedAttempt) {
        let attempt = self.take_in_flight(target);
        if let (Some(attempt), Some(belief)) = (attempt, failed.interruption) {
            self.record_interruption(&attempt, belief, failed.had_answer);
        }
        let mut progress = self.progress.get();
        progress.count_attempt(&failed.end);
        self.progress.set(progress);
        self.tried.borrow_mut().push(target);
        self.may_repeat_target.set(failed.may_repeat_target);
    }

    /// When the current attempt was sent to a target.
    pub(crate) fn sent_at(&self, target: TargetKey) -> Option<Moment> {
        let in_flight = self.in_flight.borrow();
        let mut attempts = in_flight.iter();
        attempts
            .find(|attempt| attempt.target == target)
            .map(|attempt| attempt.sent_at)
    }

    fn take_in_flight(&self, target: TargetKey) -> Option<InFlight> {
        let mut in_flight = self.in_flight.borrow_mut();
        let position = in_flight
            .iter()
            .position(|attempt| attempt.target == target)?;
        Some(in_flight.remove(position))
    }

    /// Records that part of the answer of a target has arrived.
    pub(crate) fn answer_began(&self, target: TargetKey) {
        let mut in_flight = self.in_flight.borrow_mut();
        let mut attempts = in_flight.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.target == target) {
            attempt.has_answer = true;
        }
    }

    /// Records a failed attempt and decides what to do next.
    pub(crate) fn next_step(&self, target: TargetKey, failed: &FailedAttempt) -> NextStep {
        self.end_attempt(target, failed);
        let end = &failed.end;
        let take_budget =
            || *end == AttemptEnd::NotSent || self.edge.take_retry(&self.request.service);
        let has_chance = self.time_left() > MIN_TIME_LEFT && self.can_go_on();
        self.retry_policy()
            .next(end, self.progress.get(), has_chance, take_budget)
    }

    /// Whether attempts and success are logged: for sampled requests, and for all after a failed
    /// attempt, or for which a target had no room.
    pub(crate) fn should_log(&self) -> bool {
        let is_notable = !self.tried.borrow().is_empty() || self.is_limited.get();
        is_notable || is_sampled(&self.edge, &self.request.envelope.id)
    }
}

/// A job that is dropped before its end was reported lost its caller.
impl Drop for Job {
    fn drop(&mut self) {
        if !self.is_end_reported.get() {
            report::caller_left(self);
        }
        for attempt in self.in_flight.take() {
            self.record_interruption(&attempt, Belief::Unknown, attempt.has_answer);
        }
    }
}

fn are_evacuated(directory: &Directory, targets: &[&KnownTarget]) -> bool {
    let mut targets = targets.iter();
    targets.len() > 0 && targets.all(|target| directory.is_evacuated(target))
}

fn fingerprint(request: &AdmittedRequest) -> Fingerprint {
    hash_parts(&[
        request.priority.workspace.as_bytes(),
        request.method.as_str().as_bytes(),
        request.uri.path().as_bytes(),
        &request.body,
    ])
}

/// Ranks that a route can have among requests with the same rank.
const RANKS_WITHIN_RANK: u8 = 16;

/// Deadline of the caller or timeout of the route, whichever is earlier.
fn deadline(request: &AdmittedRequest) -> Moment {
    let timeout = request.route.timeout;
    let route_deadline = request.arrived.saturating_add(timeout);
    let caller_timeout = request.envelope.deadline;
    let caller_deadline = caller_timeout.map(|timeout| request.received.saturating_add(timeout));
    caller_deadline.map_or(route_deadline, |deadline| deadline.min(route_deadline))
}

fn work(request: &AdmittedRequest) -> u32 {
    let tokens = request.envelope.parts.iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add).max(1)
}

/// What admission is asked about a request.
pub(super) fn permit_request<'a>(edge: &Edge, request: &'a AdmittedRequest) -> PermitRequest<'a> {
    let route = &request.route;
    let expected = {
        let state = edge.state.borrow();
        state.answer_times.expected(&route.name, work(request))
    };
    PermitRequest {
        id: &request.envelope.id,
        service: &request.service,
        latency_objective: route.latency_objective,
        need: RequestNeed::new(
            request.priority.clone(),
            request.received,
            route.latency_objective,
            deadline(request),
            expected.as_ref(),
        ),
        received: request.received,
        hash: request_hash(&request.envelope.id),
    }
}

/// What determines the target of the first attempt of a request.
pub(super) fn first_query<'a>(
    request: &'a AdmittedRequest,
    permit_priority: &'a Priority,
) -> TargetQuery<'a> {
    TargetQuery {
        service: &request.service,
        parts: placement_parts(request),
        version: VersionBinding::Free,
        request: request_hash(&request.envelope.id),
        tried: &[],
        may_repeat_target: false,
        preference: request.preference.clone(),
        priority: permit_priority,
        homes: request.homes(),
        permits_denied: 0,
    }
}

/// Why a request is not tried in favour of others, by the choice that it would get without asking for
/// permits; `None` if its home needs none, or is only cold and another target is not.
pub(super) fn overload_reason(
    choice: Result<Choice, NoTarget>,
    names_limit: impl FnOnce(TargetKey) -> bool,
) -> Option<NoTarget> {
    let (target, left) = match choice {
        Ok(choice) => (
            choice.limited.filter(|target| names_limit(*target))?,
            OVERLOAD_WAIT,
        ),
        Err(NoTarget::Limited { left, target }) => (target, left),
        Err(_) => return None,
    };
    Some(NoTarget::Limited { left, target })
}

/// The prompt parts by which a request is routed, if its route is sticky.
fn placement_parts(request: &AdmittedRequest) -> &[PromptPart] {
    if request.route.is_sticky {
        &request.envelope.parts
    } else {
        &[]
    }
}

/// A workspace's rank goes before that of the route, which decides between requests with the same
/// one.
pub(super) fn permit_priority(request: &AdmittedRequest) -> Priority {
    let rank = request.priority.rank.saturating_mul(RANKS_WITHIN_RANK);
    let rank_of_route = request.route.rank.min(RANKS_WITHIN_RANK - 1);
    Priority {
        rank: rank.saturating_add(rank_of_route),
        ..request.priority.clone()
    }
}

fn subjects(request: &AdmittedRequest, fingerprint: Fingerprint) -> Vec<Subject> {
    let content = Subject {
        fingerprint,
        part: None,
    };
    let parts = followed_parts(&request.service, &request.envelope.parts);
    let parts = parts.into_iter().map(|(id, fingerprint)| Subject {
        fingerprint,
        part: Some(id),
    });
    std::iter::once(content).chain(parts).collect()
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
