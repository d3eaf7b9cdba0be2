//! Admission control: limits the requests in flight per service and queues the others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{
    Admission, Gate, GateLimits, GatePreview, MIN_RETRY_AFTER, Ticket, max_wait,
};
use lapismoor_core::admission::{CostGate, Refusal, RequestNeed, gate_limits, room_limits};
use lapismoor_core::ids::ServiceId;
use tokio::sync::oneshot::{self, error::TryRecvError};

use crate::context::Edge;
use crate::millis::millis;

/// Admission state of one service.
#[derive(Default)]
struct ServiceAdmission {
    /// Admits the requests if the configuration sets the number of requests per target.
    gate: Gate,
    /// Admits the requests otherwise.
    cost_gate: CostGate,
    /// Notifies queued requests that they may be sent; dropped when a request is evicted.
    queued: Vec<(Ticket, oneshot::Sender<()>)>,
}

/// Admission state of all services.
#[derive(Default)]
pub struct AdmissionControl {
    /// Invariant: sorted by service.
    services: RefCell<Vec<(ServiceId, ServiceAdmission)>>,
}

/// A request that asks for a permit.
pub(crate) struct PermitRequest<'a> {
    /// Id for logs.
    pub id: &'a str,
    pub service: &'a ServiceId,
    /// Time from `received` within which the answer should arrive.
    pub latency_objective: Duration,
    /// Decides the order in the queue.
    pub need: RequestNeed,
    pub received: Moment,
    /// Differs between requests; decides which of a rank are sent while targets reject some.
    pub hash: u64,
}

/// What admission would decide about a request.
pub(crate) struct PermitPreview {
    /// What the gate in force would decide, if the request is not turned away before.
    pub gate: GatePreview,
    /// `None` if the configuration sets the number of requests per target.
    pub by_cost: Option<CostPreview>,
}

/// Whether a request would be sent while targets reject others.
pub(crate) struct CostPreview {
    pub is_sent: bool,
    /// Fraction of the requests of its rank that are sent.
    pub sent_fraction: f64,
}

impl PermitPreview {
    /// Why the request would be refused now; `None` if it would be sent or queued.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        if self.is_turned_away() {
            let retry_after = MIN_RETRY_AFTER;
            return Some(Refusal::Full { retry_after });
        }
        match self.gate.admission {
            Admission::Admit | Admission::Wait { .. } => None,
            Admission::Refuse { retry_after } => Some(Refusal::Full { retry_after }),
            Admission::QueueFull { retry_after } => Some(Refusal::QueueFull { retry_after }),
        }
    }

    /// Name of the decision in reports.
    pub(crate) fn decision(&self) -> &'static str {
        if self.is_turned_away() {
            return "turned_away";
        }
        match self.gate.admission {
            Admission::Admit => "admit",
            Admission::Wait { .. } => "queued",
            Admission::Refuse { .. } | Admission::QueueFull { .. } => "refused",
        }
    }

    fn is_turned_away(&self) -> bool {
        self.by_cost
            .as_ref()
            .is_some_and(|by_cost| !by_cost.is_sent)
    }
}

/// Permit for one request in flight. Dropping it admits queued requests.
pub struct Permit {
    edge: Rc<Edge>,
    service: ServiceId,
    /// Whether the request was admitted by [`CostGate`].
    is_by_cost: bool,
    since: Moment,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.edge.now();
        let took = now.saturating_sub(self.since);
        let (limits, _) = self.edge.gate_limits(&self.service);
        let notified = self.edge.admission.with(&self.service, |admission| {
            let tickets = if self.is_by_cost {
                admission.cost_gate.release(now, &limits, took)
            } else {
                admission.gate.release(now, &limits, took)
            };
            admission.drop_hopeless();
            let is_admitted = |ticket: &Ticket| tickets.contains(ticket);
            admission
                .queued
                .extract_if(.., |(ticket, _)| is_admitted(ticket))
                .collect::<Vec<_>>()
        });
        for (ticket, sender) in notified {
            if sender.send(()).is_err() {
                log::error!(ticket; "called_request_gone");
            }
        }
    }
}

/// A request in the queue. Dropping it removes it from the queue, or releases its permit if it was
/// notified already.
struct QueuedRequest {
    edge: Rc<Edge>,
    service: ServiceId,
    is_by_cost: bool,
    ticket: Ticket,
    /// Receives the notification; closed if another request evicted this one, or if it was dropped.
    notified: oneshot::Receiver<()>,
    has_permit: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.has_permit {
            return;
        }
        match self.notified.try_recv() {
            Ok(()) => drop(self.edge.new_permit(&self.service, self.is_by_cost)),
            Err(TryRecvError::Closed) => {}
            Err(TryRecvError::Empty) => self.edge.admission.with(&self.service, |admission| {
                admission
                    .queued
                    .retain(|(ticket, _)| *ticket != self.ticket);
                if self.is_by_cost {
                    admission.cost_gate.cancel(self.ticket);
                } else {
                    admission.gate.cancel(self.ticket);
                }
            }),
        }
    }
}

impl ServiceAdmission {
    /// Lets the requests that the gate has dropped see that their senders are gone.
    fn drop_hopeless(&mut self) {
        let dropped = self.cost_gate.take_dropped();
        if !dropped.is_empty() {
            self.queued.retain(|(ticket, _)| !dropped.contains(ticket));
        }
    }
}

impl AdmissionControl {
    fn with<T>(&self, service: &ServiceId, act: impl FnOnce(&mut ServiceAdmission) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let found = services.binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            services.insert(position, (service.clone(), ServiceAdmission::default()));
            position
        });
        act(&mut services[position].1)
    }

    /// Looks at the state of a service without adding it.
    fn look_at<T>(&self, service: &ServiceId, look: impl FnOnce(&ServiceAdmission) -> T) -> T {
        let services = self.services.borrow();
        match services.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(position) => look(&services[position].1),
            Err(_) => look(&ServiceAdmission::default()),
        }
    }
}

impl Edge {
    /// Waits until a request may be sent.
    ///
    /// # Errors
    /// [`Refusal`] when the answer would be late or the queue is full.
    pub(crate) async fn acquire_permit(
        self: &Rc<Self>,
        request: PermitRequest<'_>,
    ) -> Result<Permit, Refusal> {
        let service = request.service;
        let now = self.now();
        let (limits, is_by_cost) = self.gate_limits(service);
        let need = &request.need;
        if is_by_cost && !self.is_sent_under_pressure(service, need, request.hash) {
            let retry_after = MIN_RETRY_AFTER;
            self.log_admission(&request, &limits, "turned_away", false);
            return Err(Refusal::Full { retry_after });
        }
        let max_wait = if is_by_cost {
            need.latest_start().saturating_sub(now)
        } else {
            max_wait(request.latency_objective, request.received, now)
        };
        let (sender, notified) = oneshot::channel();
        let decision = self.admission.with(service, |admission| {
            let decision = if is_by_cost {
                admission.cost_gate.admit(now, &limits, need)
            } else {
                let priority = &need.priority;
                admission.gate.admit(now, &limits, priority, max_wait)
            };
            if let Admission::Wait { ticket, evicted } = decision {
                // The evicted request sees that its sender was dropped.
                admission
                    .queued
                    .retain(|(queued_ticket, _)| Some(*queued_ticket) != evicted);
                admission.queued.push((ticket, sender));
            }
            admission.drop_hopeless();
            decision
        });
        if is_by_cost && decision != Admission::Admit {
            let (name, has_evicted) = match &decision {
                Admission::Wait { evicted, .. } => ("queued", evicted.is_some()),
                _ => ("refused", false),
            };
            self.log_admission(&request, &limits, name, has_evicted);
        }
        let ticket = match decision {
            Admission::Admit => return Ok(self.new_permit(service, is_by_cost)),
            Admission::Refuse { retry_after } => return Err(Refusal::Full { retry_after }),
            Admission::QueueFull { retry_after } => return Err(Refusal::QueueFull { retry_after }),
            Admission::Wait { ticket, .. } => ticket,
        };
        let mut queued = QueuedRequest {
            edge: Rc::clone(self),
            service: service.clone(),
            is_by_cost,
            ticket,
            notified,
            has_permit: false,
        };
        let notification = tokio::time::timeout(max_wait, &mut queued.notified).await;
        if matches!(notification, Ok(Ok(()))) {
            queued.has_permit = true;
            return Ok(self.new_permit(service, is_by_cost));
        }
        if is_by_cost {
            self.log_dropped(&request, now);
        }
        Err(Refusal::Full {
            retry_after: max_wait.max(MIN_RETRY_AFTER),
        })
    }

    /// What [`Self::acquire_permit`] would decide now. Changes nothing.
    pub(crate) fn preview_permit(&self, request: &PermitRequest<'_>) -> PermitPreview {
        let now = self.now();
        let (service, need) = (request.service, &request.need);
        let (limits, is_by_cost) = self.gate_limits(service);
        if !is_by_cost {
            let max_wait = max_wait(request.latency_objective, request.received, now);
            let preview = |admission: &ServiceAdmission| {
                let priority = &need.priority;
                admission.gate.preview(now, &limits, priority, max_wait)
            };
            return PermitPreview {
                gate: self.admission.look_at(service, preview),
                by_cost: None,
            };
        }
        let shedding = &self.state.borrow().shedding;
        let sent_fraction = shedding.preview(now, service, need.priority.rank);
        let is_sent = draw(request.hash) < sent_fraction;
        let preview =
            |admission: &ServiceAdmission| admission.cost_gate.preview(now, &limits, need);
        PermitPreview {
            gate: self.admission.look_at(service, preview),
            by_cost: Some(CostPreview {
                is_sent,
                sent_fraction,
            }),
        }
    }

    /// Whether a request is sent while targets reject others, in favour of which less urgent ones are
    /// turned away.
    fn is_sent_under_pressure(&self, service: &ServiceId, need: &RequestNeed, hash: u64) -> bool {
        if !self.settings.tuning.urgent_first {
            return true;
        }
        let now = self.now();
        let shedding = &mut self.state.borrow_mut().shedding;
        shedding.admit(now, service, need.priority.rank, draw(hash))
    }

    /// Logs the inputs of a decision that did not admit a request at once.
    fn log_admission(
        &self,
        request: &PermitRequest<'_>,
        limits: &GateLimits,
        decision: &'static str,
        has_evicted: bool,
    ) {
        let (service, need) = (request.service, &request.need);
        let (in_flight, queued) = self.admission.with(service, |admission| {
            let gate = &admission.cost_gate;
            (gate.in_flight() as u64, gate.queued() as u64)
        });
        let now = self.now();
        let rank = need.priority.rank;
        self.metrics.count_delayed(decision, rank);
        log::info!(
            request:% = request.id,
            service:%,
            decision,
            has_evicted,
            rank,
            workspace:% = need.priority.workspace,
            due_in_ms = millis(need.due_at.saturating_sub(now)),
            deadline_in_ms = millis(need.deadline.saturating_sub(now)),
            answer_time_ms = millis(need.answer_time),
            work_percent = need.work_percent,
            in_flight,
            limit = limits.in_flight as u64,
            queued;
            "room_exhausted"
        );
    }

    /// Logs that a queued request was dropped because it can't be answered before its deadline, or
    /// that a request whose refusal costs more took its place.
    fn log_dropped(&self, request: &PermitRequest<'_>, queued_at: Moment) {
        let (service, need) = (request.service, &request.need);
        let now = self.now();
        let rank = need.priority.rank;
        self.metrics.count_delayed("dropped", rank);
        log::info!(
            request:% = request.id,
            service:%,
            rank,
            workspace:% = need.priority.workspace,
            waited_ms = millis(now.saturating_sub(queued_at)),
            deadline_in_ms = millis(need.deadline.saturating_sub(now)),
            answer_time_ms = millis(need.answer_time),
            work_percent = need.work_percent;
            "queued_request_dropped"
        );
    }

    fn new_permit(self: &Rc<Self>, service: &ServiceId, is_by_cost: bool) -> Permit {
        Permit {
            edge: Rc::clone(self),
            service: service.clone(),
            is_by_cost,
            since: self.now(),
        }
    }

    /// Limits on requests of a service, in flight and queued, and whether they follow the room of its
    /// targets. A service that is not configured gets one in flight and an unlimited queue.
    #[must_use]
    fn gate_limits(&self, service: &ServiceId) -> (GateLimits, bool) {
        let state = self.state.borrow();
        let Some(known) = state.service(service) else {
            let limits = GateLimits {
                in_flight: 1,
                reserved: 0,
                queue_limit: usize::MAX,
            };
            return (limits, false);
        };
        let now = self.now();
        let in_use = state.directory.in_use(service);
        let reachable = in_use.filter(|target| target.is_available(now));
        let share = &state.traffic_share;
        let is_by_cost = self.settings.tuning.admission_by_cost;
        if known.requests_per_target.is_some() || !is_by_cost {
            return (gate_limits(&known, reachable, share), false);
        }
        let rooms = &state.target_rooms;
        (room_limits(now, &known, reachable, share, rooms), true)
    }
}

/// Number from 0 to 1 for the hash of a request.
#[expect(clippy::cast_precision_loss)]
fn draw(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
