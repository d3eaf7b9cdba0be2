//! Age of the daemon's copy of the store.

use std::time::Duration;

use crate::clock::Moment;

/// Percentage of the revocation bound after which the copy counts as stale.
const STALE_PERCENT: u32 = 60;
/// Safety margin before the revocation bound, for clock drift.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);

/// Age of the copy of the store, and what may be decided from it.
///
/// The clock must include the time for which the VM was suspended.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// Latest time at which the copy matched the store. Invariant: never decreases.
    confirmed_at: Option<Moment>,
    revoke_within: Option<Duration>,
}

impl Freshness {
    /// Creates a tracker before the first contact with the store. API keys must be refused within
    /// `revoke_within` of their revocation; `None` sets no bound.
    #[must_use]
    pub fn new(revoke_within: Option<Duration>) -> Self {
        Self {
            confirmed_at: None,
            revoke_within,
        }
    }

    /// Records that the copy holds the state that the store had at `at`.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Latest time at which the copy is known to match the store; none if there is no copy yet.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Age of the copy; none if there is no copy yet.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether an API key in the copy may still be accepted.
    #[must_use]
    pub fn may_accept_keys(&self, now: Moment) -> bool {
        let Some(age) = self.age(now) else {
            return false;
        };
        self.revoke_within
            .is_none_or(|bound| age + CLOCK_MARGIN < bound)
    }

    /// Whether the copy is so old that callers should use another daemon.
    #[must_use]
    pub fn is_stale(&self, now: Moment) -> bool {
        let Some(age) = self.age(now) else {
            return true;
        };
        self.revoke_within
            .is_some_and(|bound| age > bound * STALE_PERCENT / 100)
    }

    /// Whether the copy is older than `within`. If so, a route or key that it lacks may have been
    /// added to the store since.
    #[must_use]
    pub fn is_older_than(&self, now: Moment, within: Duration) -> bool {
        self.age(now).is_none_or(|age| age > within)
    }
}
