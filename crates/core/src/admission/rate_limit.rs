//! Rate limit that one daemon enforces without coordinating with others.

use std::time::Duration;

use crate::clock::Moment;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
    /// Invariant: between 0 and `burst`.
    tokens: f64,
    refilled_at: Moment,
}

impl RateLimit {
    /// Creates a full bucket that refills at `per_second` tokens. A `burst` below 1 counts as 1.
    #[must_use]
    pub fn new(now: Moment, per_second: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            per_second,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Changes the rate and keeps the tokens, up to the new `burst`.
    pub fn set_rate(&mut self, per_second: f64, burst: f64) {
        self.per_second = per_second;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take_token(&mut self, now: Moment) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(Duration::from_secs_f64(missing / self.per_second.max(1e-3)))
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let added = elapsed.as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + added).min(self.burst);
    }
}
