//! Takes a target out of use for a while after attempts failed there.

use std::time::Duration;

use crate::clock::Moment;

/// First pause after a target could not be reached; about two round trips of its restart probe.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause, so that a target that returned is found within a second or two.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Weight of one outcome in the average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Share of failures above which a target that still answers is avoided.
const FAILING_SHARE: f64 = 0.45;
/// Outcomes within which the average halves when nothing new is known.
const FORGET_AFTER: Duration = Duration::from_secs(3);

/// Own evidence about one target.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    open_until: Option<Moment>,
    /// Invariant: zero, or between [`FIRST_PAUSE`] and [`LONGEST_PAUSE`].
    pause: Duration,
    /// Moving average of failures, from 0 to 1.
    failure_share: f64,
    last_outcome: Moment,
}

impl Breaker {
    /// Whether requests may go to the target.
    #[must_use]
    pub fn is_closed(&self, now: Moment) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Whether the target answers, but too often with a failure.
    #[must_use]
    pub fn is_failing(&self, now: Moment) -> bool {
        let age = now.saturating_sub(self.last_outcome);
        let halvings = age.as_secs_f64() / FORGET_AFTER.as_secs_f64();
        self.failure_share * 0.5_f64.powf(halvings) > FAILING_SHARE
    }

    /// Notes an answer, whatever the target made of the request.
    pub fn record_answer(&mut self, now: Moment, is_failure: bool) {
        self.open_until = None;
        self.pause = Duration::ZERO;
        self.average(now, is_failure);
    }

    /// Notes that the target was not reached or broke off. Returns the pause that follows.
    pub fn record_unreachable(&mut self, now: Moment) -> Duration {
        self.average(now, true);
        if !self.is_closed(now) {
            return self.pause;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.open_until = Some(now + self.pause);
        self.pause
    }

    fn average(&mut self, now: Moment, is_failure: bool) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.failure_share += FAILURE_WEIGHT * (outcome - self.failure_share);
        self.last_outcome = now;
    }
}
