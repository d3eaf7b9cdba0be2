//! Decides at one daemon which requests are tried while the targets of a service take fewer than it
//! gets.
//!
//! Load pattern: all targets of a service have a limit, and more is asked for than they take. Each
//! request finds room at one of them at some time if it asks for long enough, so that what is
//! urgent gets no more than the rest. Requests are therefore refused here before they ask, by
//! urgency and fairly between workspaces, in favour of those that the daemon can get served.

use std::time::Duration;

use super::share::ShareBook;
use crate::admission::Priority;
use crate::clock::Moment;
use crate::ids::ServiceId;

/// Time for which a service is overloaded after a request found no room.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);
/// Growth of the rate of requests that are tried, with each one that finds room.
const GROWTH: f64 = 0.05;
/// Decrease of that rate with each request that finds none: about one of three does, so that more room
/// is noticed.
const DECREASE: f64 = 0.1;
/// Requests per second that are tried at least.
const MIN_TRIED_PER_S: f64 = 0.5;

/// Overload of the services at one daemon.
#[derive(Debug, Clone, Default)]
pub struct Overloads {
    /// Invariant: sorted by service.
    services: Vec<(ServiceId, Overload)>,
}

impl Overloads {
    /// Counts a request, and decides whether it is tried.
    pub fn admit(&mut self, now: Moment, service: &ServiceId, priority: &Priority) -> bool {
        self.service(service).admit(now, priority)
    }

    /// Records that a request found room at a target, or that it found none.
    pub fn record(&mut self, now: Moment, service: &ServiceId, has_found_room: bool) {
        self.service(service).record(now, has_found_room);
    }

    fn service(&mut self, service: &ServiceId) -> &mut Overload {
        let found = self
            .services
            .binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            self.services
                .insert(position, (service.clone(), Overload::default()));
            position
        });
        &mut self.services[position].1
    }
}

#[derive(Debug, Clone, Default)]
struct Overload {
    /// Requests per second that are tried. Invariant: at least [`MIN_TRIED_PER_S`] while the service
    /// is overloaded.
    tried_per_s: f64,
    /// When a request last found no room; `None` before the first one.
    limited_at: Option<Moment>,
    shares: ShareBook,
}

impl Overload {
    fn admit(&mut self, now: Moment, priority: &Priority) -> bool {
        let is_overloaded = self.is_overloaded(now);
        let turn = self.shares.ask(now, self.tried_per_s, priority);
        if !is_overloaded {
            self.tried_per_s = self.shares.demand_per_s();
        }
        let is_admitted = turn.is_due || !is_overloaded;
        if is_admitted {
            self.shares.take(priority);
        }
        is_admitted
    }

    fn record(&mut self, now: Moment, has_found_room: bool) {
        if !has_found_room {
            self.limited_at = Some(now);
        }
        if self.is_overloaded(now) {
            let change = if has_found_room { GROWTH } else { -DECREASE };
            let tried_per_s = self.tried_per_s * (1.0 + change);
            let demand_per_s = self.shares.demand_per_s().max(MIN_TRIED_PER_S);
            self.tried_per_s = tried_per_s.clamp(MIN_TRIED_PER_S, demand_per_s);
        }
    }

    fn is_overloaded(&self, now: Moment) -> bool {
        self.limited_at
            .is_some_and(|at| now.saturating_sub(at) < OVERLOAD_TIME)
    }
}
