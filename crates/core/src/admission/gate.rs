//! How many requests of a service this daemon has in flight, and who waits.
//!
//! A service that is full answers nobody sooner for getting more requests. What exceeds its limit
//! waits here, the most urgent first, as long as it can still be answered on time; the rest is
//! refused at once and told when to come back.

use std::time::Duration;

use crate::clock::Moment;

/// Weight of one request in the average time that a request takes.
const TIME_WEIGHT: f64 = 0.05;
/// Time that a request is taken to need before any was seen; a plain call takes some tens of ms.
const ASSUMED_TIME: Duration = Duration::from_millis(50);
/// Shortest time after which to come back: who returns into the same surge is refused again, or
/// takes the place of one that could still be answered on time.
pub const SOONEST_RETURN: Duration = Duration::from_secs(1);
/// Longest time after which to come back; surges last some seconds.
const LATEST_RETURN: Duration = Duration::from_secs(3);

/// Part of the aim for which a request may wait; the answer needs the rest when targets are full.
const PATIENCE_PERCENT: u32 = 50;

/// Number of a request that waits.
pub type Ticket = u64;

value! {
    /// Whether a request may go on.
    pub enum Entry {
        /// It may.
        Enter,
        /// It waits until its ticket is called.
        Wait(Ticket),
        /// It would be answered too late.
        Refuse {
            /// When to come back.
            come_back: Duration,
        },
    }

    /// A request that waits.
    struct Waiter {
        rank: u8,
        ticket: Ticket,
    }
}

/// Requests of one service at one daemon.
#[derive(Debug, Clone)]
pub struct Gate {
    in_flight: usize,
    /// Invariant: sorted by rank, then by ticket.
    waiting: Vec<Waiter>,
    last_ticket: Ticket,
    /// Average time in flight, in seconds.
    time_s: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            in_flight: 0,
            waiting: Vec::new(),
            last_ticket: 0,
            time_s: ASSUMED_TIME.as_secs_f64(),
        }
    }
}

impl Gate {
    /// Takes a request of a rank, 0 first. `limit` requests may be in flight; a wait longer than
    /// `patience` is of no use.
    pub fn arrive(&mut self, limit: usize, rank: u8, patience: Duration) -> Entry {
        let ahead = self.waiting.partition_point(|waiter| waiter.rank <= rank);
        if self.in_flight < limit && ahead == 0 {
            self.in_flight += 1;
            return Entry::Enter;
        }
        let wait = self.wait_behind(ahead, limit);
        if wait > patience {
            let all = self.wait_behind(self.waiting.len(), limit);
            let come_back = all.clamp(SOONEST_RETURN, LATEST_RETURN);
            return Entry::Refuse { come_back };
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.insert(ahead, Waiter { rank, ticket });
        Entry::Wait(ticket)
    }

    /// Takes the end of a request that was in flight for `took`. Returns those that enter now.
    pub fn leave(&mut self, limit: usize, took: Duration) -> Vec<Ticket> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.time_s += TIME_WEIGHT * (took.as_secs_f64() - self.time_s);
        let free = limit.saturating_sub(self.in_flight);
        let entering = free.min(self.waiting.len());
        self.in_flight += entering;
        let called = self.waiting.drain(..entering);
        called.map(|waiter| waiter.ticket).collect()
    }

    /// Takes back a ticket that was not called. False if it was.
    pub fn give_up(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.ticket != ticket);
        self.waiting.len() < before
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Expected wait of a request with `ahead` others before it.
    #[expect(clippy::cast_precision_loss)]
    fn wait_behind(&self, ahead: usize, limit: usize) -> Duration {
        let wait_s = (ahead + 1) as f64 * self.time_s / limit.max(1) as f64;
        Duration::from_secs_f64(wait_s)
    }
}

/// Longest useful wait of a request whose answer is on time within `aim`: the rest is for the
/// answer itself.
#[must_use]
pub fn patience(aim: Duration, received: Moment, now: Moment) -> Duration {
    (aim * PATIENCE_PERCENT / 100).saturating_sub(now.saturating_sub(received))
}
