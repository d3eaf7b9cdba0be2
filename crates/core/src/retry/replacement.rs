//! Decides whether an attempt whose answer is overdue is replaced by one at another target.
//!
//! Load pattern: most or all targets of a service fall silent at the same moment and go on after a
//! second or so. All their requests are overdue then. Targets that are part of the silence don't get
//! requests of others, and requests beyond the retry budget keep their open attempts.

use std::time::Duration;

use super::outcome::{AttemptCounts, RetryPolicy};
use crate::clock::Moment;

/// Longest silence of a target that is sound.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_secs(2);

value! {
    /// Why an overdue attempt stays open without an alternative.
    #[derive(Copy)]
    pub enum Obstacle {
        /// The request must not run once more.
        Attempts,
        /// The deadline is too close.
        Time,
        /// The request may crash targets.
        Suspected,
        /// The retry budget is used up.
        Budget,
        /// No other target can get the request.
        Target,
    }
}

/// State of a request whose answer is overdue.
#[derive(Debug, Clone, Copy)]
pub struct OverdueRequest {
    /// Attempts that have ended, without the open one.
    pub counts: AttemptCounts,
    /// Whether another target can be expected to answer in time.
    pub has_time: bool,
    /// Whether the request was interrupted at several targets that may have crashed.
    pub is_suspected: bool,
    /// Whether the budget has a retry left.
    pub has_retry: bool,
}

impl RetryPolicy {
    /// Whether a request with an open attempt may run at another target instead.
    #[must_use]
    pub fn allows_replacement(&self, counts: AttemptCounts) -> bool {
        self.is_repeatable
            && counts.runs + 1 < self.max_attempts
            && counts.sends + 1 < self.max_sends
    }

    /// Returns the target that replaces the one whose answer is overdue. `find_target` is called only
    /// if all other conditions hold.
    ///
    /// # Errors
    /// The [`Obstacle`] for which the open attempt has to go on alone.
    pub fn replace<T>(
        &self,
        request: OverdueRequest,
        find_target: impl FnOnce() -> Option<T>,
    ) -> Result<T, Obstacle> {
        if !self.allows_replacement(request.counts) {
            return Err(Obstacle::Attempts);
        }
        if !request.has_time {
            return Err(Obstacle::Time);
        }
        if request.is_suspected {
            return Err(Obstacle::Suspected);
        }
        if !request.has_retry {
            return Err(Obstacle::Budget);
        }
        find_target().ok_or(Obstacle::Target)
    }
}

/// Whether a target that was last heard at `heard_at` can replace one that is silent since
/// `silent_since`. Targets that fall silent together were last heard at about the same time, so it
/// must have been quiet for less than half as long, unless the silence is longer than that of sound
/// targets.
#[must_use]
pub fn may_replace(now: Moment, silent_since: Moment, heard_at: Moment) -> bool {
    let silence = now.saturating_sub(silent_since);
    let quiet = now.saturating_sub(heard_at);
    quiet < silence / 2 || silence >= MAX_SOUND_SILENCE
}
