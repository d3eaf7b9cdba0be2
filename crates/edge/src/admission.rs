//! Admission control: limits the requests in flight per service and queues the others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{
    Admission, Gate, GateLimits, GatePreview, MIN_RETRY_AFTER, Ticket, max_wait,
};
use lapismoor_core::admission::{Priority, Refusal, gate_limits};
use lapismoor_core::ids::ServiceId;
use tokio::sync::oneshot::{self, error::TryRecvError};

use crate::context::Edge;

/// Admission state of one service.
#[derive(Default)]
struct ServiceAdmission {
    gate: Gate,
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
    pub service: &'a ServiceId,
    /// Time from `received` within which the answer should arrive.
    pub latency_objective: Duration,
    /// Decides the order in the queue.
    pub priority: &'a Priority,
    pub received: Moment,
}

/// Permit for one request in flight. Dropping it admits queued requests.
pub struct Permit {
    edge: Rc<Edge>,
    service: ServiceId,
    since: Moment,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.edge.now();
        let took = now.saturating_sub(self.since);
        let limits = self.edge.gate_limits(&self.service);
        let notified = self.edge.admission.with(&self.service, |admission| {
            let tickets = admission.gate.release(now, &limits, took);
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
    ticket: Ticket,
    /// Receives the notification; closed if a more urgent request evicted this one.
    notified: oneshot::Receiver<()>,
    has_permit: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.has_permit {
            return;
        }
        match self.notified.try_recv() {
            Ok(()) => drop(self.edge.new_permit(&self.service)),
            Err(TryRecvError::Closed) => {}
            Err(TryRecvError::Empty) => self.edge.admission.with(&self.service, |admission| {
                admission
                    .queued
                    .retain(|(ticket, _)| *ticket != self.ticket);
                admission.gate.cancel(self.ticket);
            }),
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

    /// The gate of a service as it is now.
    fn gate(&self, service: &ServiceId) -> Gate {
        let services = self.services.borrow();
        let found = services.binary_search_by(|(known, _)| known.cmp(service));
        found.map_or_else(
            |_| Gate::default(),
            |position| services[position].1.gate.clone(),
        )
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
        let limits = self.gate_limits(service);
        let max_wait = max_wait(request.latency_objective, request.received, now);
        let (sender, notified) = oneshot::channel();
        let decision = self.admission.with(service, |admission| {
            let gate = &mut admission.gate;
            let decision = gate.admit(now, &limits, request.priority, max_wait);
            if let Admission::Wait { ticket, evicted } = decision {
                // The evicted request sees that its sender was dropped.
                admission
                    .queued
                    .retain(|(queued_ticket, _)| Some(*queued_ticket) != evicted);
                admission.queued.push((ticket, sender));
            }
            decision
        });
        let ticket = match decision {
            Admission::Admit => return Ok(self.new_permit(service)),
            Admission::Refuse { retry_after } => return Err(Refusal::Full { retry_after }),
            Admission::QueueFull { retry_after } => return Err(Refusal::QueueFull { retry_after }),
            Admission::Wait { ticket, .. } => ticket,
        };
        let mut queued = QueuedRequest {
            edge: Rc::clone(self),
            service: service.clone(),
            ticket,
            notified,
            has_permit: false,
        };
        let notification = tokio::time::timeout(max_wait, &mut queued.notified).await;
        if matches!(notification, Ok(Ok(()))) {
            queued.has_permit = true;
            return Ok(self.new_permit(service));
        }
        Err(Refusal::Full {
            retry_after: max_wait.max(MIN_RETRY_AFTER),
        })
    }

    /// What [`Self::acquire_permit`] would decide now. Changes nothing.
    pub(crate) fn preview_permit(&self, request: &PermitRequest<'_>) -> GatePreview {
        let now = self.now();
        let max_wait = max_wait(request.latency_objective, request.received, now);
        let limits = self.gate_limits(request.service);
        let gate = self.admission.gate(request.service);
        gate.preview(now, &limits, request.priority, max_wait)
    }

    fn new_permit(self: &Rc<Self>, service: &ServiceId) -> Permit {
        Permit {
            edge: Rc::clone(self),
            service: service.clone(),
            since: self.now(),
        }
    }

    /// Limits on requests of a service, in flight and queued. A service that is not configured gets
    /// one in flight and an unlimited queue.
    #[must_use]
    fn gate_limits(&self, service: &ServiceId) -> GateLimits {
        let state = self.state.borrow();
        let Some(known) = state.service(service) else {
            return GateLimits {
                in_flight: 1,
                reserved: 0,
                queue_limit: usize::MAX,
            };
        };
        let now = self.now();
        let in_use = state.directory.in_use(service);
        let reachable = in_use.filter(|target| target.is_available(now));
        gate_limits(&known, reachable, &state.traffic_share)
    }
}
