//! Bounds what the connections of callers hold together: memory that no request has reserved, and
//! descriptors.
//!
//! Load pattern: a crowd of callers, each inside the limits, connects and stops short in a head, a body or
//! the reading of an answer. Each connection is cheap, but their sum would exceed the memory or the
//! descriptors of the VM, and all requests would end with the process. While there is room every caller has
//! the time that the configuration allows. When it is used up, connections give way whose callers are waited
//! for: those that stopped, then those that are slow. Requests that are being served never give way; if all
//! others are gone, new ones are refused.

use std::time::Duration;

use crate::clock::Moment;

/// Time without progress after which a caller that is waited for gives way first.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time for a head and a body to arrive, before they give way to other callers.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);
/// Time for a caller to take an answer, before it gives way to other callers.
const DELIVERY_TIME: Duration = Duration::from_secs(10);
/// Memory of a connection between two requests, in bytes: its socket and the server's buffers.
const IDLE_BYTES: usize = 12 << 10;
/// Memory of a connection with a request, in bytes: the server's buffers with what they read ahead, the
/// head, the state of the request, and what the system holds unread.
const BUSY_BYTES: usize = 48 << 10;
/// Part of what a busy connection has received that is in [`BUSY_BYTES`].
const INCLUDED_BYTES: usize = 8 << 10;

/// Identifies a connection at its budget.
pub type ConnectionId = u64;

value! {
    /// What a connection is used for.
    #[derive(Copy)]
    pub enum ConnectionPhase {
        /// For nothing: it is new, or between two requests.
        Idle,
        /// The head of a request arrives.
        Head,
        /// The body of a request arrives.
        Body,
        /// A request has arrived and is being served or answered.
        Serving,
    }

    /// Limits of all connections together.
    #[derive(Copy)]
    pub struct ConnectionLimits {
        /// Memory, in bytes.
        pub max_bytes: usize,
        /// Descriptors of the connections, and of those to targets that serve their requests.
        pub max_descriptors: usize,
    }

    /// Times after which a connection is closed, also if there is room.
    #[derive(Copy)]
    pub struct ConnectionTimeouts {
        /// For the head of a request to arrive.
        pub head: Duration,
        /// Without a request.
        pub idle: Duration,
        /// Without a byte that the caller takes of an answer.
        pub delivery: Duration,
    }

    /// Result of [`ConnectionBudget::open`].
    pub struct Opening {
        /// The connection; `None` if it is refused.
        pub id: Option<ConnectionId>,
        /// Connections that give way to it.
        pub evicted: Vec<ConnectionId>,
    }

    /// A connection of a caller.
    struct Connection {
        id: ConnectionId,
        phase: ConnectionPhase,
        phase_began: Moment,
        /// When the caller last sent or took a byte.
        progress_at: Moment,
        /// Since when the caller does not take all that is written for it; `None` if it does.
        blocked_since: Option<Moment>,
        /// Bytes that were received and belong to no request yet.
        held_bytes: usize,
        /// Whether it gives way and is about to be closed.
        is_evicted: bool,
    }
}

impl Connection {
    fn bytes(&self) -> usize {
        if self.phase == ConnectionPhase::Idle && self.blocked_since.is_none() {
            return IDLE_BYTES;
        }
        BUSY_BYTES + self.held_bytes.saturating_sub(INCLUDED_BYTES)
    }

    fn descriptors(&self) -> usize {
        match self.phase {
            ConnectionPhase::Serving => 2,
            _ => 1,
        }
    }

    /// Whether the next byte is up to the caller.
    fn awaits_caller(&self) -> bool {
        let is_arriving = matches!(self.phase, ConnectionPhase::Head | ConnectionPhase::Body);
        is_arriving || self.blocked_since.is_some()
    }

    /// Order in which connections give way, the lowest first; `None` if this one doesn't.
    fn eviction_rank(&self, now: Moment) -> Option<(EvictionClass, Moment)> {
        if self.is_evicted {
            return None;
        }
        if self.awaits_caller() && now.saturating_sub(self.progress_at) >= STALL_TIME {
            return Some((EvictionClass::Stalled, self.progress_at));
        }
        if let Some(since) = self.blocked_since {
            let is_slow = now.saturating_sub(since) >= DELIVERY_TIME;
            return is_slow.then_some((EvictionClass::SlowReader, since));
        }
        let since = self.phase_began;
        match self.phase {
            ConnectionPhase::Serving => None,
            ConnectionPhase::Idle => Some((EvictionClass::Idle, since)),
            ConnectionPhase::Head | ConnectionPhase::Body => {
                let is_slow = now.saturating_sub(since) >= ARRIVAL_TIME;
                let class = if is_slow {
                    EvictionClass::SlowSender
                } else {
                    EvictionClass::Arriving
                };
                Some((class, since))
            }
        }
    }

    /// Whether the caller has used up its time.
    fn is_expired(&self, now: Moment, timeouts: &ConnectionTimeouts) -> bool {
        let in_phase = now.saturating_sub(self.phase_began);
        if self.blocked_since.is_some() {
            return now.saturating_sub(self.progress_at) >= timeouts.delivery;
        }
        match self.phase {
            ConnectionPhase::Idle => in_phase >= timeouts.idle,
            ConnectionPhase::Head => in_phase >= timeouts.head,
            // Whoever reads the body ends its request, which is answered.
            ConnectionPhase::Body | ConnectionPhase::Serving => false,
        }
    }
}

key! {
    /// Why a connection gives way. The first ones go first.
    enum EvictionClass {
        /// Its caller stopped in a head, a body or the reading of an answer.
        Stalled,
        /// Its request arrives slowly.
        SlowSender,
        /// It has no request.
        Idle,
        /// Its request has just begun to arrive.
        Arriving,
        /// Its caller takes its answer slowly.
        SlowReader,
    }
}

/// Counts what the connections of callers hold.
#[derive(Debug, Clone)]
pub struct ConnectionBudget {
    limits: ConnectionLimits,
    /// Invariant: the sum of all connections that were not evicted.
    used_bytes: usize,
    /// Invariant: as `used_bytes`.
    used_descriptors: usize,
    last_id: ConnectionId,
    /// Invariant: sorted by id.
    connections: Vec<Connection>,
}

impl ConnectionBudget {
    /// A budget for all connections together.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            used_bytes: 0,
            used_descriptors: 0,
            last_id: 0,
            connections: Vec::new(),
        }
    }

    /// Number of open connections, with those that are about to be closed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that the connections are taken to hold.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Descriptors of the connections and of those that serve their requests.
    #[must_use]
    pub fn used_descriptors(&self) -> usize {
        self.used_descriptors
    }

    /// Whether the connections hold more than they may, since none of them could give way.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used_bytes > self.limits.max_bytes
            || self.used_descriptors > self.limits.max_descriptors
    }

    /// Adds a connection. Others give way if there is no room; if none does, it is refused.
    pub fn open(&mut self, now: Moment) -> Opening {
        let id = self.last_id + 1;
        self.last_id = id;
        let connection = Connection {
            id,
            phase: ConnectionPhase::Idle,
            phase_began: now,
            progress_at: now,
            blocked_since: None,
            held_bytes: 0,
            is_evicted: false,
        };
        self.add(&connection);
        self.connections.push(connection);
        let evicted = self.make_room(now, id);
        if self.is_exceeded() {
            self.close(id);
            return Opening { id: None, evicted };
        }
        Opening {
            id: Some(id),
            evicted,
        }
    }

    /// Records what a connection is used for from now on. Returns those that give way to it.
    pub fn set_phase(
        &mut self,
        now: Moment,
        id: ConnectionId,
        phase: ConnectionPhase,
    ) -> Vec<ConnectionId> {
        self.change(id, |connection| {
            connection.phase = phase;
            connection.phase_began = now;
            connection.progress_at = now;
        });
        self.make_room(now, id)
    }

    /// Records that the caller sent bytes, and how many of them belong to no request yet. Returns the
    /// connections that give way to this one.
    pub fn record_received(
        &mut self,
        now: Moment,
        id: ConnectionId,
        held_bytes: usize,
    ) -> Vec<ConnectionId> {
        self.change(id, |connection| {
            connection.progress_at = now;
            connection.held_bytes = held_bytes;
        });
        self.make_room(now, id)
    }

    /// Records that the caller took bytes, and whether some are left that it does not take.
    pub fn record_written(&mut self, now: Moment, id: ConnectionId, is_blocked: bool) {
        self.change(id, |connection| {
            if !is_blocked {
                connection.blocked_since = None;
                connection.progress_at = now;
            } else if connection.blocked_since.is_none() {
                connection.blocked_since = Some(now);
                connection.progress_at = now;
            }
        });
    }

    /// Records that a caller that is blocked took some bytes.
    pub fn record_taken(&mut self, now: Moment, id: ConnectionId) {
        self.change(id, |connection| connection.progress_at = now);
    }

    /// Connections whose callers have used up their time; they give way from now on.
    #[must_use]
    pub fn expire(&mut self, now: Moment, timeouts: &ConnectionTimeouts) -> Vec<ConnectionId> {
        let is_expired = |connection: &&Connection| {
            !connection.is_evicted && connection.is_expired(now, timeouts)
        };
        let expired = self.connections.iter().filter(is_expired);
        let expired: Vec<ConnectionId> = expired.map(|connection| connection.id).collect();
        for id in &expired {
            self.evict(*id);
        }
        expired
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(position) = self.position(id) {
            let closed = self.connections.remove(position);
            self.subtract(&closed);
        }
    }

    fn position(&self, id: ConnectionId) -> Option<usize> {
        let found = self
            .connections
            .binary_search_by_key(&id, |connection| connection.id);
        found.ok()
    }

    fn add(&mut self, connection: &Connection) {
        if !connection.is_evicted {
            self.used_bytes += connection.bytes();
            self.used_descriptors += connection.descriptors();
        }
    }

    fn subtract(&mut self, connection: &Connection) {
        if !connection.is_evicted {
            self.used_bytes -= connection.bytes();
            self.used_descriptors -= connection.descriptors();
        }
    }

    fn change(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if let Some(position) = self.position(id) {
            let before = self.connections[position].clone();
            change(&mut self.connections[position]);
            let after = self.connections[position].clone();
            self.subtract(&before);
            self.add(&after);
        }
    }

    fn evict(&mut self, id: ConnectionId) {
        self.change(id, |connection| connection.is_evicted = true);
    }

    /// Lets connections other than `own` give way until there is room.
    fn make_room(&mut self, now: Moment, own: ConnectionId) -> Vec<ConnectionId> {
        let mut evicted = Vec::new();
        while self.is_exceeded() {
            let others = self.connections.iter().filter(|other| other.id != own);
            let ranked = others.filter_map(|other| Some((other.eviction_rank(now)?, other.id)));
            let Some((_, victim)) = ranked.min() else {
                break;
            };
            self.evict(victim);
            evicted.push(victim);
        }
        evicted
    }
}
