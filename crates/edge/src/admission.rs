//! Gates of all services, with the requests that wait before them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{
    Admission, Gate, GateLimits, MIN_RETRY_AFTER, Ticket, max_wait,
};
use lapismoor_core::admission::{Priority, Refusal, gate_limits};
use lapismoor_core::ids::ServiceId;
use tokio::sync::oneshot::{self, error::TryRecvError};

use crate::context::Edge;

/// A gate and those who wait before it.
#[derive(Default)]
struct Entrance {
    gate: Gate,
    waiting: Vec<(Ticket, oneshot::Sender<()>)>,
}

/// Gates of all services.
#[derive(Default)]
pub struct Gates {
    /// Invariant: sorted by service.
    entrances: RefCell<Vec<(ServiceId, Entrance)>>,
}

/// A request before a gate.
pub(crate) struct Entrant<'a> {
    /// Service that it is for.
    pub service: &'a ServiceId,
    /// Time within which its answer is on time.
    pub aim: Duration,
    /// What decides its turn.
    pub claim: &'a Priority,
    /// When it came.
    pub received: Moment,
}

/// The right of a request to be in flight.
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
        let called = self.edge.gates.with(&self.service, |entrance| {
            let tickets = entrance.gate.release(now, &limits, took);
            let is_called = |ticket: &Ticket| tickets.contains(ticket);
            entrance
                .waiting
                .extract_if(.., |(ticket, _)| is_called(ticket))
                .collect::<Vec<_>>()
        });
        for (ticket, call) in called {
            if call.send(()).is_err() {
                log::error!(ticket; "called_request_gone");
            }
        }
    }
}

/// A request before a gate. Dropped, it takes its ticket back, or its place if it was called.
struct Waiting {
    edge: Rc<Edge>,
    service: ServiceId,
    ticket: Ticket,
    /// Brings the call; closed if a more urgent request took the place in the queue.
    called: oneshot::Receiver<()>,
    has_entered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.has_entered {
            return;
        }
        match self.called.try_recv() {
            Ok(()) => drop(self.edge.permit(&self.service)),
            Err(TryRecvError::Closed) => {}
            Err(TryRecvError::Empty) => self.edge.gates.with(&self.service, |entrance| {
                entrance
                    .waiting
                    .retain(|(ticket, _)| *ticket != self.ticket);
                entrance.gate.cancel(self.ticket);
            }),
        }
    }
}

impl Gates {
    fn with<T>(&self, service: &ServiceId, act: impl FnOnce(&mut Entrance) -> T) -> T {
        let mut entrances = self.entrances.borrow_mut();
        let found = entrances.binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            entrances.insert(position, (service.clone(), Entrance::default()));
            position
        });
        act(&mut entrances[position].1)
    }
}

impl Edge {
    /// Lets a request in flight, perhaps after a wait.
    ///
    /// # Errors
    /// [`Refusal`] when it would be answered too late.
    pub(crate) async fn enter(self: &Rc<Self>, entrant: Entrant<'_>) -> Result<Permit, Refusal> {
        let service = entrant.service;
        let now = self.now();
        let limits = self.gate_limits(service);
        let patience = max_wait(entrant.aim, entrant.received, now);
        let (call, called) = oneshot::channel();
        let entry = self.gates.with(service, |entrance| {
            let gate = &mut entrance.gate;
            let entry = gate.admit(now, &limits, entrant.claim, patience);
            if let Admission::Wait { ticket, evicted } = entry {
                // The evicted request sees its call dropped.
                entrance
                    .waiting
                    .retain(|(waiting, _)| Some(*waiting) != evicted);
                entrance.waiting.push((ticket, call));
            }
            entry
        });
        let ticket = match entry {
            Admission::Admit => return Ok(self.permit(service)),
            Admission::Refuse { retry_after } => return Err(Refusal::Full { retry_after }),
            Admission::QueueFull { retry_after } => return Err(Refusal::QueueFull { retry_after }),
            Admission::Wait { ticket, .. } => ticket,
        };
        let mut waiting = Waiting {
            edge: Rc::clone(self),
            service: service.clone(),
            ticket,
            called,
            has_entered: false,
        };
        let is_called = tokio::time::timeout(patience, &mut waiting.called).await;
        if matches!(is_called, Ok(Ok(()))) {
            waiting.has_entered = true;
            return Ok(self.permit(service));
        }
        Err(Refusal::Full {
            retry_after: patience.max(MIN_RETRY_AFTER),
        })
    }

    fn permit(self: &Rc<Self>, service: &ServiceId) -> Permit {
        Permit {
            edge: Rc::clone(self),
            service: service.clone(),
            since: self.now(),
        }
    }

    /// Requests of a service that may be in flight, and that may wait.
    #[must_use]
    fn gate_limits(&self, service: &ServiceId) -> GateLimits {
        let state = self.state.borrow();
        let Some(known) = state.service(service) else {
            return GateLimits {
                in_flight: 1,
                reserved: 0,
                waiting: usize::MAX,
            };
        };
        let now = self.now();
        let in_use = state.directory.in_use(service);
        let reachable = in_use.filter(|target| target.breaker.is_closed(now));
        gate_limits(&known, reachable, &state.share)
    }
}
