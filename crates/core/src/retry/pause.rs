//! Pause that a target asks for when it turns a request away.
//!
//! Unlike the circuit breaker, it says nothing about the health of the target, and its end is
//! known.

use std::time::Duration;

use crate::clock::Moment;

/// Longest pause that is kept. A target that names a longer one is asked again after this time, so
/// that a wrong value does not take it out of use for good.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);

/// Pause of one target at this daemon.
#[derive(Debug, Clone, Default)]
pub struct Pause {
    until: Option<Moment>,
}

impl Pause {
    /// Records that the target wants no request for the time `requested`. Returns the time for
    /// which it gets none. A shorter pause does not end a longer one.
    pub fn record(&mut self, now: Moment, requested: Duration) -> Duration {
        let until = now + requested.min(MAX_PAUSE);
        self.until = self.until.max(Some(until));
        self.left(now)
    }

    /// Time until the end of the pause; zero if there is none.
    #[must_use]
    pub fn left(&self, now: Moment) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }
}
