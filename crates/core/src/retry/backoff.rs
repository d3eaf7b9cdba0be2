//! When an attempt may be followed by another.

use std::time::Duration;

use rand::{Rng, RngExt};

/// First wait before a retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait before a retry.
const LAST_BACKOFF: Duration = Duration::from_millis(640);
/// Retries that may be saved up.
const SAVED_PERCENT: u32 = 1_000;
/// When to come back after the retries were used up.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Price of a retry.
const RETRY_PERCENT: u32 = 100;

/// Retries earned by recent requests, so that retries cannot multiply a failure.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    earned_per_request_percent: u32,
    /// Invariant: at most [`SAVED_PERCENT`].
    saved_percent: u32,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(earned_per_request_percent: u32) -> Self {
        Self {
            earned_per_request_percent,
            saved_percent: SAVED_PERCENT,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        let saved = self.saved_percent + self.earned_per_request_percent;
        self.saved_percent = saved.min(SAVED_PERCENT);
    }

    /// Takes a retry; false when there is none.
    pub fn spend(&mut self) -> bool {
        if self.saved_percent < RETRY_PERCENT {
            return false;
        }
        self.saved_percent -= RETRY_PERCENT;
        true
    }
}

/// Wait before attempt `number`, between half and all of a time that doubles.
pub fn backoff(number: u32, random: &mut impl Rng) -> Duration {
    let doublings = number.saturating_sub(2).min(16);
    let full = FIRST_BACKOFF
        .saturating_mul(1 << doublings)
        .min(LAST_BACKOFF);
    full.mul_f64(random.random_range(0.5..=1.0))
}
