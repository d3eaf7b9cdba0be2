//! The open connections of a listener, within the memory and the descriptors that they may use together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use lapismoor_core::Clock;
use lapismoor_core::admission::{
    ConnectionBudget, ConnectionId, ConnectionLimits, ConnectionPhase, ConnectionTimeouts,
};
use tokio_util::sync::CancellationToken;

/// Number of connections that were closed or refused by a listener.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ClosedConnections {
    /// Those that gave way to others.
    pub evicted: u64,
    /// Those whose callers used up their time.
    pub expired: u64,
    /// Those for which there was no room.
    pub refused: u64,
}

/// The connections of one listener.
pub(crate) struct Connections {
    clock: Clock,
    budget: RefCell<ConnectionBudget>,
    /// Cancelled to close a connection. Invariant: sorted by connection.
    tokens: RefCell<Vec<(ConnectionId, CancellationToken)>>,
    /// Since the last call of [`Connections::take_closed`].
    closed: Cell<ClosedConnections>,
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            budget: RefCell::new(ConnectionBudget::new(limits)),
            tokens: RefCell::default(),
            closed: Cell::default(),
        })
    }

    /// Room for the connections of a listener that is not for callers.
    pub(crate) fn of_descriptors(max_descriptors: usize) -> Rc<Self> {
        let limits = ConnectionLimits {
            max_bytes: usize::MAX,
            max_descriptors,
        };
        Self::new(limits, Clock::system())
    }

    /// Counts a connection that was accepted; `None` if there is no room for it.
    pub(crate) fn open(self: &Rc<Self>) -> Option<ConnectionLease> {
        let opening = self.budget.borrow_mut().open(self.clock.now());
        self.evict(&opening.evicted);
        let Some(id) = opening.id else {
            self.count_closed(|closed| closed.refused += 1);
            return None;
        };
        let token = CancellationToken::new();
        // Ids ascend, so that the list stays sorted.
        self.tokens.borrow_mut().push((id, token.clone()));
        Some(ConnectionLease {
            connections: Rc::clone(self),
            id,
            token,
        })
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.budget.borrow().count()
    }

    /// Bytes that the connections are taken to hold.
    pub(crate) fn used_bytes(&self) -> usize {
        self.budget.borrow().used_bytes()
    }

    /// Closes the connections whose callers have used up their time.
    pub(crate) fn close_expired(&self, timeouts: &ConnectionTimeouts) {
        let now = self.clock.now();
        let expired = self.budget.borrow_mut().expire(now, timeouts);
        self.count_closed(|closed| closed.expired += expired.len() as u64);
        self.cancel(&expired);
    }

    /// Returns how many connections were closed since the last call.
    pub(crate) fn take_closed(&self) -> ClosedConnections {
        self.closed.take()
    }

    fn evict(&self, evicted: &[ConnectionId]) {
        if !evicted.is_empty() {
            self.count_closed(|closed| closed.evicted += evicted.len() as u64);
            self.cancel(evicted);
        }
    }

    fn count_closed(&self, change: impl FnOnce(&mut ClosedConnections)) {
        let mut closed = self.closed.get();
        change(&mut closed);
        self.closed.set(closed);
    }

    fn cancel(&self, ids: &[ConnectionId]) {
        let tokens = self.tokens.borrow();
        for id in ids {
            if let Ok(position) = tokens.binary_search_by_key(id, |(id, _)| *id) {
                tokens[position].1.cancel();
            }
        }
    }

    fn remove(&self, id: ConnectionId) {
        self.budget.borrow_mut().close(id);
        let mut tokens = self.tokens.borrow_mut();
        if let Ok(position) = tokens.binary_search_by_key(&id, |(id, _)| *id) {
            tokens.remove(position);
        }
    }
}

/// The place of one open connection, given back when dropped.
pub(crate) struct ConnectionLease {
    connections: Rc<Connections>,
    id: ConnectionId,
    token: CancellationToken,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.connections.remove(self.id);
    }
}

impl ConnectionLease {
    /// Cancelled when the connection has to be closed.
    pub(crate) fn closed(&self) -> CancellationToken {
        self.token.clone()
    }

    /// Whether the connections keep within their limits, this one included.
    pub(crate) fn has_room(&self) -> bool {
        !self.connections.budget.borrow().is_exceeded()
    }

    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        self.update(|budget, now| budget.set_phase(now, self.id, phase));
    }

    pub(crate) fn record_received(&self, held_bytes: usize) {
        self.update(|budget, now| budget.record_received(now, self.id, held_bytes));
    }

    pub(crate) fn record_written(&self, is_blocked: bool) {
        let now = self.connections.clock.now();
        let mut budget = self.connections.budget.borrow_mut();
        budget.record_written(now, self.id, is_blocked);
    }

    pub(crate) fn record_taken(&self) {
        let now = self.connections.clock.now();
        self.connections
            .budget
            .borrow_mut()
            .record_taken(now, self.id);
    }

    fn update(
        &self,
        update: impl FnOnce(&mut ConnectionBudget, lapismoor_core::Moment) -> Vec<ConnectionId>,
    ) {
        let now = self.connections.clock.now();
        let evicted = update(&mut self.connections.budget.borrow_mut(), now);
        self.connections.evict(&evicted);
    }
}
