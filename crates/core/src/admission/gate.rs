//! How many requests of a service this daemon has in flight, and who waits.
//!
//! A service that is full answers nobody sooner for getting more requests. What exceeds its limit
//! waits here, the most urgent first, as long as it can still be answered on time; the rest is
//! refused at once and told when to come back.

use std::time::Duration;

use crate::admission::queue::{Queue, Waiting};
use crate::clock::Moment;
use crate::ids::WorkspaceId;

/// Weight of one request in the average time that a request takes.
const TIME_WEIGHT: f64 = 0.05;
/// Time that a request is taken to need before any was seen; a plain call takes some tens of ms.
const ASSUMED_TIME: Duration = Duration::from_millis(50);
/// Shortest time after which to come back: who returns into the same surge is refused again, or
/// takes the place of one that could still be answered on time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which to come back; surges last some seconds.
const LATEST_RETURN: Duration = Duration::from_secs(3);

/// Part of the aim for which a request may wait; the answer needs the rest when targets are full.
const PATIENCE_PERCENT: u32 = 50;

/// Age from which on the least urgent work gets a turn now and then; longer than a request of any
/// aim waits, so that it concerns work without one.
const AGE_BOUND: Duration = Duration::from_secs(10);

/// Number of a request that waits.
pub type Ticket = u64;

value! {
    /// Whether a request may go on.
    pub enum Admission {
        /// It may.
        Admit,
        /// It waits until its ticket is called.
        Wait {
            /// The ticket.
            ticket: Ticket,
            /// Less urgent request that had to give its place up.
            evicted: Option<Ticket>,
        },
        /// It would be answered too late.
        Refuse {
            /// When to come back.
            retry_after: Duration,
        },
        /// As many wait as may, and none of them is less urgent.
        QueueFull {
            /// When to come back.
            retry_after: Duration,
        },
    }

    /// What decides the turn of a request.
    pub struct Priority {
        /// Urgency, 0 first.
        pub rank: u8,
        /// Workspace; requests of the same rank share by workspace.
        pub workspace: WorkspaceId,
        /// Weight of the workspace.
        pub weight: u32,
    }

    /// How many requests of a service this daemon takes.
    pub struct GateLimits {
        /// Requests in flight.
        pub in_flight: usize,
        /// Of these, those kept free for the most urgent rank.
        pub reserved: usize,
        /// Requests that wait.
        pub waiting: usize,
    }
}

impl GateLimits {
    /// Requests in flight up to which one of a rank may enter.
    fn for_rank(&self, rank: u8) -> usize {
        if rank == 0 {
            return self.in_flight;
        }
        self.in_flight.saturating_sub(self.reserved).max(1)
    }
}

/// Requests of one service at one daemon.
#[derive(Debug, Clone)]
pub struct Gate {
    in_flight: usize,
    waiting: Queue<Ticket>,
    last_ticket: Ticket,
    /// Average time in flight, in seconds.
    time_s: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            in_flight: 0,
            waiting: Queue::new(AGE_BOUND),
            last_ticket: 0,
            time_s: ASSUMED_TIME.as_secs_f64(),
        }
    }
}

impl Gate {
    /// Takes a request. A wait longer than `patience` is of no use.
    pub fn admit(
        &mut self,
        now: Moment,
        limits: &GateLimits,
        claim: &Priority,
        patience: Duration,
    ) -> Admission {
        let ahead = self
            .waiting
            .ahead_of(claim.rank, &claim.workspace, claim.weight);
        if self.in_flight < limits.for_rank(claim.rank) && ahead == 0 {
            self.in_flight += 1;
            return Admission::Admit;
        }
        if self.wait_behind(ahead, limits.for_rank(claim.rank)) > patience {
            let retry_after = self.retry_after(limits);
            return Admission::Refuse { retry_after };
        }
        let mut evicted = None;
        if self.waiting.len() >= limits.waiting {
            let Some(less_urgent) = self.waiting.evict_below(claim.rank) else {
                let retry_after = self.retry_after(limits);
                return Admission::QueueFull { retry_after };
            };
            evicted = Some(less_urgent.item);
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.push(Waiting {
            rank: claim.rank,
            workspace: claim.workspace.clone(),
            weight: claim.weight,
            since: now,
            item: ticket,
        });
        Admission::Wait { ticket, evicted }
    }

    /// Takes the end of a request that was in flight for `took`. Returns those that enter now.
    pub fn release(&mut self, now: Moment, limits: &GateLimits, took: Duration) -> Vec<Ticket> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.time_s += TIME_WEIGHT * (took.as_secs_f64() - self.time_s);
        let mut called = Vec::new();
        while let Some(rank) = self.waiting.next_rank(now)
            && self.in_flight < limits.for_rank(rank)
        {
            let Some(next) = self.waiting.pop(now) else {
                break;
            };
            self.in_flight += 1;
            called.push(next.item);
        }
        called
    }

    /// Takes back a ticket that was not called. False if it was.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove_where(|waiting| *waiting == ticket) > 0
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

    fn retry_after(&self, limits: &GateLimits) -> Duration {
        let all = self.wait_behind(self.waiting.len(), limits.in_flight);
        all.clamp(MIN_RETRY_AFTER, LATEST_RETURN)
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
pub fn max_wait(aim: Duration, received: Moment, now: Moment) -> Duration {
    (aim * PATIENCE_PERCENT / 100).saturating_sub(now.saturating_sub(received))
}
