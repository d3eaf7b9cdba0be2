//! Limits how many requests of a service this daemon has in flight, and queues the others.
//!
//! A saturated service does not answer sooner when it gets more requests. Requests above its limit
//! are queued here by urgency if they can still be answered on time. All others are refused at once
//! with a time after which to retry.

use std::time::Duration;

use crate::admission::queue::{Queue, QueuedItem};
use crate::clock::Moment;
use crate::ids::WorkspaceId;

/// Weight of one request in the moving average of the time in flight.
const TIME_IN_FLIGHT_WEIGHT: f64 = 0.05;
/// Initial average of the time in flight. A plain call takes some tens of milliseconds.
const INITIAL_TIME_IN_FLIGHT: Duration = Duration::from_millis(50);
/// Minimum delay before a retry. A retry during the same surge is refused again, or displaces a
/// request that could still be answered on time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum delay before a retry. Surges last some seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Percentage of the latency objective that a request may spend in the queue. The answer needs the
/// rest when targets are full.
const MAX_WAIT_PERCENT: u32 = 50;

/// Age at which the least urgent requests get an occasional turn. Requests with a latency objective
/// never wait this long, so this only affects requests without one.
const AGING_THRESHOLD: Duration = Duration::from_secs(10);

/// Identifies a queued request at its gate.
pub type Ticket = u64;

value! {
    /// Result of [`Gate::admit`].
    pub enum Admission {
        /// The request may be sent now.
        Admit,
        /// The request is queued until [`Gate::release`] returns its ticket.
        Wait {
            /// Ticket of the queued request.
            ticket: Ticket,
            /// Less urgent request that was evicted from the full queue.
            evicted: Option<Ticket>,
        },
        /// The request would be answered too late.
        Refuse {
            /// Delay before a retry.
            retry_after: Duration,
        },
        /// The queue is full, and no queued request is less urgent.
        QueueFull {
            /// Delay before a retry.
            retry_after: Duration,
        },
    }

    /// What a gate would decide about one more request.
    pub struct GatePreview {
        /// Requests in flight.
        pub in_flight: usize,
        /// Maximum number of requests in flight for the rank of the request.
        pub limit: usize,
        /// Queued requests that would be sent before it.
        pub ahead: usize,
        /// Expected wait; zero if it would be sent at once, `None` if as much arrives as ends.
        pub expected_wait: Option<Duration>,
        /// The decision.
        pub admission: Admission,
    }

    /// What decides the position of a request in the queue.
    #[derive(Default)]
    pub struct Priority {
        /// Urgency; 0 is the most urgent.
        pub rank: u8,
        /// Workspaces share the turns of a rank by weight.
        pub workspace: WorkspaceId,
        /// Weight of the workspace.
        pub weight: u32,
    }

    /// Limits on the requests of a service at this daemon.
    pub struct GateLimits {
        /// Maximum number of requests in flight.
        pub in_flight: usize,
        /// Part of `in_flight` that only rank 0 may use.
        pub reserved: usize,
        /// Maximum number of queued requests.
        pub queue_limit: usize,
    }
}

impl GateLimits {
    /// In-flight limit for requests of a rank.
    pub(super) fn for_rank(&self, rank: u8) -> usize {
        if rank == 0 {
            return self.in_flight;
        }
        self.in_flight.saturating_sub(self.reserved).max(1)
    }
}

/// Admission gate of one service at one daemon.
#[derive(Debug, Clone)]
pub struct Gate {
    in_flight: usize,
    queue: Queue<Ticket>,
    last_ticket: Ticket,
    /// Moving average of the time in flight.
    mean_time_in_flight_s: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            in_flight: 0,
            queue: Queue::new(AGING_THRESHOLD),
            last_ticket: 0,
            mean_time_in_flight_s: INITIAL_TIME_IN_FLIGHT.as_secs_f64(),
        }
    }
}

impl Gate {
    /// Admits, queues or refuses a request. It is refused if its expected wait exceeds `max_wait`.
    pub fn admit(
        &mut self,
        now: Moment,
        limits: &GateLimits,
        priority: &Priority,
        max_wait: Duration,
    ) -> Admission {
        let ahead = self
            .queue
            .ahead_of(priority.rank, &priority.workspace, priority.weight);
        if self.in_flight < limits.for_rank(priority.rank) && ahead == 0 {
            self.in_flight += 1;
            return Admission::Admit;
        }
        if self.expected_wait(ahead, limits.for_rank(priority.rank)) > max_wait {
            let retry_after = self.retry_after(limits);
            return Admission::Refuse { retry_after };
        }
        let mut evicted = None;
        if self.queue.len() >= limits.queue_limit {
            let Some(less_urgent) = self.queue.evict_below(priority.rank) else {
                let retry_after = self.retry_after(limits);
                return Admission::QueueFull { retry_after };
            };
            evicted = Some(less_urgent.item);
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.queue.push(QueuedItem {
            rank: priority.rank,
            workspace: priority.workspace.clone(),
            weight: priority.weight,
            queued_at: now,
            item: ticket,
        });
        Admission::Wait { ticket, evicted }
    }

    /// What [`Self::admit`] would decide now. Changes nothing.
    #[must_use]
    pub fn preview(
        &self,
        now: Moment,
        limits: &GateLimits,
        priority: &Priority,
        max_wait: Duration,
    ) -> GatePreview {
        let Priority {
            rank,
            workspace,
            weight,
        } = priority;
        let ahead = self.queue.ahead_of(*rank, workspace, *weight);
        let limit = limits.for_rank(*rank);
        let admission = self.clone().admit(now, limits, priority, max_wait);
        let expected_wait = match admission {
            Admission::Admit => Some(Duration::ZERO),
            _ => Some(self.expected_wait(ahead, limit)),
        };
        GatePreview {
            in_flight: self.in_flight,
            limit,
            ahead,
            expected_wait,
            admission,
        }
    }

    /// Records the end of a request that was in flight for `time_in_flight`. Returns the queued
    /// requests that may be sent now.
    pub fn release(
        &mut self,
        now: Moment,
        limits: &GateLimits,
        time_in_flight: Duration,
    ) -> Vec<Ticket> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.mean_time_in_flight_s +=
            TIME_IN_FLIGHT_WEIGHT * (time_in_flight.as_secs_f64() - self.mean_time_in_flight_s);
        let mut admitted = Vec::new();
        while let Some(rank) = self.queue.next_rank(now)
            && self.in_flight < limits.for_rank(rank)
        {
            let Some(next) = self.queue.pop(now) else {
                break;
            };
            self.in_flight += 1;
            admitted.push(next.item);
        }
        admitted
    }

    /// Removes a request from the queue. Returns false if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove_where(|queued| *queued == ticket) > 0
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn retry_after(&self, limits: &GateLimits) -> Duration {
        let wait = self.expected_wait(self.queue.len(), limits.in_flight);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Expected wait of a request with `ahead` others before it in the queue.
    #[expect(clippy::cast_precision_loss)]
    fn expected_wait(&self, ahead: usize, limit: usize) -> Duration {
        let wait_s = (ahead + 1) as f64 * self.mean_time_in_flight_s / limit.max(1) as f64;
        Duration::from_secs_f64(wait_s)
    }
}

/// Longest time that a request may wait in the queue from `now` on, if its answer is due
/// `latency_objective` after `received`. The rest of the objective is left to the answer itself.
#[must_use]
pub fn max_wait(latency_objective: Duration, received: Moment, now: Moment) -> Duration {
    (latency_objective.saturating_mul(MAX_WAIT_PERCENT) / 100)
        .saturating_sub(now.saturating_sub(received))
}
