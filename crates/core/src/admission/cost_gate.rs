//! Admission gate that orders waiting requests by what delaying them costs their callers.
//!
//! Load pattern: a service gets more requests than its targets can answer on time. Those that can
//! still be on time go first, by rank, then by workspace, and within a workspace by the moment at
//! which they must start. Those that can only be late use what is left, the least work first. One
//! that can no longer be answered before its deadline isn't started, and one that isn't expected to
//! be is refused when it arrives.

use std::time::Duration;

use crate::admission::cost::{Prospect, RequestNeed};
use crate::admission::gate::{Admission, GateLimits, GatePreview, Ticket};
use crate::admission::queue::{Queue, QueuedItem};
use crate::clock::Moment;

/// Weight of one request in the moving average of the time in flight.
const TIME_IN_FLIGHT_WEIGHT: f64 = 0.05;
/// Initial average of the time in flight. A plain call takes some tens of milliseconds.
const INITIAL_TIME_IN_FLIGHT: Duration = Duration::from_millis(50);
/// Time over which the arriving work is averaged. Surges last some seconds.
const ARRIVALS_WINDOW: Duration = Duration::from_secs(1);
/// Least delay before a retry of a request that was refused because it could not wait.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest delay before a retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Age at which the least urgent requests get an occasional turn.
const AGING_THRESHOLD: Duration = Duration::from_secs(10);

/// A queued request.
#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    need: RequestNeed,
}

/// Place of a new request in the queue.
struct Place {
    /// Whether it is among those that can be on time.
    is_on_time: bool,
    /// Queued requests that would be sent before it.
    ahead: usize,
    /// Expected wait; `None` if as much arrives as ends.
    wait: Option<Duration>,
}

/// Admission gate of one service at one daemon.
#[derive(Debug, Clone)]
pub struct CostGate {
    in_flight: usize,
    /// Requests that could be on time when they were queued, by rank, workspace and latest start.
    on_time: Queue<Waiting>,
    /// Requests that can only be late, by rank, workspace and work.
    late: Queue<Waiting>,
    /// Requests that were removed from the queue because they are not expected to be answered.
    dropped: Vec<Ticket>,
    last_ticket: Ticket,
    /// Moving average of the time in flight.
    mean_time_in_flight_s: f64,
    arrivals: Arrivals,
}

impl Default for CostGate {
    fn default() -> Self {
        Self {
            in_flight: 0,
            on_time: Queue::new(AGING_THRESHOLD),
            late: Queue::new(AGING_THRESHOLD),
            dropped: Vec::new(),
            last_ticket: 0,
            mean_time_in_flight_s: INITIAL_TIME_IN_FLIGHT.as_secs_f64(),
            arrivals: Arrivals::default(),
        }
    }
}

impl CostGate {
    /// Admits, queues or refuses a request. It is refused if it can't be expected to start in time
    /// for an answer before its deadline. Queued requests for which that has come to hold are
    /// returned by [`Self::take_dropped`].
    pub fn admit(&mut self, now: Moment, limits: &GateLimits, need: &RequestNeed) -> Admission {
        self.arrivals.count(now, need.work_percent);
        self.move_late(now, limits);
        let limit = limits.for_rank(need.priority.rank);
        if self.in_flight < limit && self.ahead(now, need) == 0 {
            self.in_flight += 1;
            return Admission::Admit;
        }
        let place = self.place(now, limit, need);
        let is_lost = |wait| need.prospect(now + wait) == Prospect::Lost;
        if !place.is_on_time && place.wait.is_none_or(is_lost) {
            let retry_after = self.retry_after(limits);
            return Admission::Refuse { retry_after };
        }
        let mut evicted = None;
        if self.queued() >= limits.queue_limit {
            let Some(less_costly) = self.evict_for(now, need) else {
                let retry_after = self.retry_after(limits);
                return Admission::QueueFull { retry_after };
            };
            evicted = Some(less_costly);
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let waiting = Waiting {
            ticket,
            need: need.clone(),
        };
        if place.is_on_time {
            push(&mut self.on_time, now, waiting, position_on_time);
        } else {
            push(&mut self.late, now, waiting, position_late);
        }
        Admission::Wait { ticket, evicted }
    }

    /// What [`Self::admit`] would decide now. Changes nothing.
    #[must_use]
    pub fn preview(&self, now: Moment, limits: &GateLimits, need: &RequestNeed) -> GatePreview {
        let limit = limits.for_rank(need.priority.rank);
        let mut gate = self.clone();
        let admission = gate.admit(now, limits, need);
        let (ahead, expected_wait) = if admission == Admission::Admit {
            (0, Some(Duration::ZERO))
        } else {
            let mut gate = self.clone();
            gate.arrivals.count(now, need.work_percent);
            gate.move_late(now, limits);
            let place = gate.place(now, limit, need);
            (place.ahead, place.wait)
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
        self.admit_queued(now, limits)
    }

    /// Returns the queued requests that may be sent now, after the limits have changed.
    pub fn admit_queued(&mut self, now: Moment, limits: &GateLimits) -> Vec<Ticket> {
        self.move_late(now, limits);
        let mut admitted = Vec::new();
        for queue in [&mut self.on_time, &mut self.late] {
            while let Some(rank) = queue.next_rank(now)
                && self.in_flight < limits.for_rank(rank)
            {
                let Some(next) = queue.pop(now) else {
                    break;
                };
                self.in_flight += 1;
                admitted.push(next.item.ticket);
            }
        }
        admitted
    }

    /// Removes a request from the queue. Returns false if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let is_canceled = |waiting: &Waiting| waiting.ticket == ticket;
        self.on_time.remove_where(is_canceled) + self.late.remove_where(is_canceled) > 0
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    /// Returns the queued requests that were dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.dropped)
    }

    /// Moves the requests that can no longer be on time behind those that can, and drops those that
    /// are not expected to be answered before their deadline.
    fn move_late(&mut self, now: Moment, limits: &GateLimits) {
        let is_late = |waiting: &Waiting| waiting.need.prospect(now) != Prospect::OnTime;
        for queued in self.on_time.take_where(is_late) {
            let need = &queued.item.need;
            let ahead = self.on_time.len() + self.late.len();
            let wait = self.expected_late_wait(now, ahead, limits.for_rank(queued.rank));
            if wait.is_none_or(|wait| need.prospect(now + wait) == Prospect::Lost) {
                self.dropped.push(queued.item.ticket);
                continue;
            }
            let position = position_late(need);
            let work_percent = need.work_percent;
            self.late.push_at(position, work_percent, queued);
        }
        let is_lost = |waiting: &Waiting| waiting.need.prospect(now) == Prospect::Lost;
        let lost = self.late.take_where(is_lost).into_iter();
        self.dropped.extend(lost.map(|queued| queued.item.ticket));
    }

    /// Removes the queued request whose refusal costs least for the work that it spares, if it costs
    /// less than that of a new request and isn't more urgent.
    fn evict_for(&mut self, now: Moment, need: &RequestNeed) -> Option<Ticket> {
        let cost = |need: &RequestNeed| (need.cost_of_refusal(now), 255 - need.priority.rank);
        let queued = self.late.iter().chain(self.on_time.iter());
        let least = queued.min_by_key(|queued| cost(&queued.item.need))?;
        let is_replaced = least.rank >= need.priority.rank && cost(&least.item.need) < cost(need);
        let ticket = least.item.ticket;
        (is_replaced && self.cancel(ticket)).then_some(ticket)
    }

    /// Queued requests that would be sent before a new one.
    fn ahead(&self, now: Moment, need: &RequestNeed) -> usize {
        let is_on_time = need.prospect(now) == Prospect::OnTime;
        let late = if is_on_time { 0 } else { self.late.len() };
        self.ahead_on_time(need) + late
    }

    /// Where a new request would join the queue.
    fn place(&self, now: Moment, limit: usize, need: &RequestNeed) -> Place {
        let ahead = self.ahead(now, need);
        let wait = self.expected_wait(ahead, limit);
        if need.prospect(now + wait) == Prospect::OnTime {
            return Place {
                is_on_time: true,
                ahead,
                wait: Some(wait),
            };
        }
        let ahead = self.queued();
        Place {
            is_on_time: false,
            ahead,
            wait: self.expected_late_wait(now, ahead, limit),
        }
    }

    fn ahead_on_time(&self, need: &RequestNeed) -> usize {
        let priority = &need.priority;
        self.on_time
            .ahead_of(priority.rank, &priority.workspace, priority.weight)
    }

    fn retry_after(&self, limits: &GateLimits) -> Duration {
        let wait_s = self.turn_s(limits.in_flight) * count(self.queued() + 1);
        Duration::from_secs_f64(wait_s).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Time between two ends of requests in flight.
    fn turn_s(&self, limit: usize) -> f64 {
        self.mean_time_in_flight_s / count(limit.max(1))
    }

    /// Expected wait of a request with `ahead` others before it in the queue.
    fn expected_wait(&self, ahead: usize, limit: usize) -> Duration {
        Duration::from_secs_f64(self.turn_s(limit) * count(ahead + 1))
    }

    /// Expected wait of a request with `ahead` others before it and all that arrive meanwhile. `None`
    /// if as much arrives as ends.
    fn expected_late_wait(&self, now: Moment, ahead: usize, limit: usize) -> Option<Duration> {
        let turn_s = self.turn_s(limit);
        let idle_fraction = 1.0 - self.arrivals.per_s(now) * turn_s;
        if idle_fraction <= 0.0 {
            return None;
        }
        let wait_s = turn_s * count(ahead + 1) / idle_fraction;
        Duration::try_from_secs_f64(wait_s).ok()
    }
}

fn push(
    queue: &mut Queue<Waiting>,
    now: Moment,
    waiting: Waiting,
    position: impl Fn(&RequestNeed) -> u64,
) {
    let need = &waiting.need;
    let (position, work_percent) = (position(need), need.work_percent);
    let queued = QueuedItem {
        rank: need.priority.rank,
        workspace: need.priority.workspace.clone(),
        weight: need.priority.weight,
        queued_at: now,
        item: waiting,
    };
    queue.push_at(position, work_percent, queued);
}

/// Requests that must start sooner go first.
fn position_on_time(need: &RequestNeed) -> u64 {
    u64::try_from(need.latest_on_time_start().as_micros()).unwrap_or(u64::MAX)
}

/// More late answers are given if those that take less work go first.
fn position_late(need: &RequestNeed) -> u64 {
    u64::from(need.work_percent)
}

#[expect(clippy::cast_precision_loss)]
fn count(requests: usize) -> f64 {
    requests as f64
}

/// Work that arrived lately, as a number of average requests.
#[derive(Debug, Clone, Default)]
struct Arrivals {
    /// Decays over [`ARRIVALS_WINDOW`].
    requests: f64,
    counted_at: Moment,
}

impl Arrivals {
    fn count(&mut self, now: Moment, work_percent: u32) {
        self.requests = self.decayed(now) + f64::from(work_percent) / 100.0;
        self.counted_at = now;
    }

    fn per_s(&self, now: Moment) -> f64 {
        self.decayed(now) / ARRIVALS_WINDOW.as_secs_f64()
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.counted_at);
        self.requests * (-age.as_secs_f64() / ARRIVALS_WINDOW.as_secs_f64()).exp()
    }
}
