//! Gates of all services, with the requests that wait before them.

use std::cell::RefCell;
use std::rc::Rc;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Entry, Gate, SOONEST_RETURN, Ticket, patience};
use lapismoor_core::admission::{Refusal, flight_limit};
use lapismoor_core::ids::ServiceId;
use lapismoor_core::routing::Route;
use tokio::sync::oneshot;

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

/// The right of a request to be in flight.
pub struct Permit {
    edge: Rc<Edge>,
    service: ServiceId,
    since: Moment,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let took = self.edge.now().saturating_sub(self.since);
        let limit = self.edge.flight_limit(&self.service);
        let called = self.edge.gates.with(&self.service, |entrance| {
            let tickets = entrance.gate.leave(limit, took);
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

/// Takes a ticket back when a caller leaves while it waits, or its place if it was called.
struct Waiting {
    edge: Rc<Edge>,
    service: ServiceId,
    ticket: Ticket,
    has_entered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.has_entered {
            return;
        }
        let was_waiting = self.edge.gates.with(&self.service, |entrance| {
            entrance
                .waiting
                .retain(|(ticket, _)| *ticket != self.ticket);
            entrance.gate.give_up(self.ticket)
        });
        if !was_waiting {
            drop(self.edge.permit(&self.service));
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
    pub(crate) async fn enter(
        self: &Rc<Self>,
        service: &ServiceId,
        route: &Route,
        rank: u8,
        received: Moment,
    ) -> Result<Permit, Refusal> {
        let limit = self.flight_limit(service);
        let patience = patience(route.aim, received, self.now());
        let (call, called) = oneshot::channel();
        let entry = self.gates.with(service, |entrance| {
            let entry = entrance.gate.arrive(limit, rank, patience);
            if let Entry::Wait(ticket) = entry {
                entrance.waiting.push((ticket, call));
            }
            entry
        });
        let ticket = match entry {
            Entry::Enter => return Ok(self.permit(service)),
            Entry::Refuse { come_back } => return Err(Refusal::Full { come_back }),
            Entry::Wait(ticket) => ticket,
        };
        let mut waiting = Waiting {
            edge: Rc::clone(self),
            service: service.clone(),
            ticket,
            has_entered: false,
        };
        let is_called = tokio::time::timeout(patience, called).await;
        if matches!(is_called, Ok(Ok(()))) {
            waiting.has_entered = true;
            return Ok(self.permit(service));
        }
        Err(Refusal::Full {
            come_back: patience.max(SOONEST_RETURN),
        })
    }

    fn permit(self: &Rc<Self>, service: &ServiceId) -> Permit {
        Permit {
            edge: Rc::clone(self),
            service: service.clone(),
            since: self.now(),
        }
    }

    /// Requests of a service that may be in flight.
    #[must_use]
    pub fn flight_limit(&self, service: &ServiceId) -> usize {
        let state = self.state.borrow();
        let config = state.config.as_ref();
        let Some(known) = config.and_then(|config| config.service(service)) else {
            return 1;
        };
        let now = self.now();
        let in_use = state.directory.in_use(service);
        let reachable = in_use.filter(|target| target.breaker.is_closed(now));
        flight_limit(known, reachable, &state.share)
    }
}
