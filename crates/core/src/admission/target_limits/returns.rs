//! Tells callers that were refused for limits when to return.
//!
//! Load pattern: all targets of a service have a limit, and more is asked for than they take.
//! Callers that all return when there is room for one are refused again. Each one is therefore told
//! a time after that of the caller before it, by as much as the daemon needs to serve one.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::ServiceId;

/// Longest time that a caller is told. Limits seldom last longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Shortest time that a caller is told. What it was refused for does not end sooner.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Times at which refused callers return, by service.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// Last time that was told. Invariant: sorted by service.
    services: Vec<(ServiceId, Moment)>,
}

impl ReturnSchedule {
    /// Time after which a caller may return. There may be room in `room_in`; lately the daemon was
    /// permitted `permitted_per_s` requests to the service.
    pub fn next(
        &mut self,
        now: Moment,
        service: &ServiceId,
        room_in: Duration,
        permitted_per_s: f64,
    ) -> Duration {
        let found = self
            .services
            .binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            self.services.insert(position, (service.clone(), now));
            position
        });
        let last = &mut self.services[position].1;
        let spacing_s = 1.0 / permitted_per_s.max(1.0 / MAX_RETRY_AFTER.as_secs_f64());
        let earliest = now + room_in.max(MIN_RETRY_AFTER);
        let told = earliest.max(*last + Duration::from_secs_f64(spacing_s));
        *last = told.min(now + MAX_RETRY_AFTER);
        last.saturating_sub(now)
    }
}
