//! Circuit breaker for one target: stops sending it requests for a backoff time after it could not
//! be reached, and reports a target that answers but fails too often.

use std::time::Duration;

use crate::clock::Moment;

/// First backoff after a target could not be reached: about two round trips of its restart probe.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff, so that a target that recovered gets requests again within two seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Share of failures above which a target is avoided although it answers.
const MAX_FAILURE_SHARE: f64 = 0.45;
/// Time in which the average of failures halves while there is no new outcome.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// State of the breaker of one target, based on this daemon's own attempts.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    open_until: Option<Moment>,
    /// Invariant: zero, or between [`MIN_BACKOFF`] and [`MAX_BACKOFF`].
    backoff: Duration,
    /// Exponential moving average of failures, from 0 to 1.
    failure_share: f64,
    last_outcome_at: Moment,
}

impl Breaker {
    /// Whether requests may be sent to the target.
    #[must_use]
    pub fn is_closed(&self, now: Moment) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Whether attempts at the target fail too often.
    #[must_use]
    pub fn is_failing(&self, now: Moment) -> bool {
        let age = now.saturating_sub(self.last_outcome_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives) > MAX_FAILURE_SHARE
    }

    /// Records an answer and closes the breaker, also if the answer is a failure.
    pub fn record_answer(&mut self, now: Moment, is_failure: bool) {
        self.open_until = None;
        self.backoff = Duration::ZERO;
        self.record_outcome(now, is_failure);
    }

    /// Records that the target could not be reached or broke the connection, and opens the breaker.
    /// Returns the backoff, which doubles from one opening to the next until the target answers.
    pub fn record_unreachable(&mut self, now: Moment) -> Duration {
        self.record_outcome(now, true);
        if !self.is_closed(now) {
            return self.backoff;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.open_until = Some(now + self.backoff);
        self.backoff
    }

    /// Records that the target accepted a connection on another way, and closes the breaker. Says
    /// nothing about its answers.
    pub fn record_reached(&mut self) {
        self.open_until = None;
        self.backoff = Duration::ZERO;
    }

    fn record_outcome(&mut self, now: Moment, is_failure: bool) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.failure_share += OUTCOME_WEIGHT * (outcome - self.failure_share);
        self.last_outcome_at = now;
    }
}
