//! How old the daemon's knowledge of the store is.

use std::time::Duration;

use crate::clock::Moment;

/// Part of the revocation bound after which a daemon counts as cut off from the store.
const CUT_OFF_PERCENT: u32 = 60;
/// Kept free of the revocation bound for clocks that run unevenly.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);

/// Age of what is known of the store.
///
/// The clock must count time that the VM was suspended.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// Latest moment at which the store's state is known. Invariant: never falls.
    confirmed_at: Option<Moment>,
    revoke_within: Option<Duration>,
}

impl Freshness {
    /// Nothing is known yet. Keys that were taken away must be refused after `revoke_within`.
    #[must_use]
    pub fn new(revoke_within: Option<Duration>) -> Self {
        Self {
            confirmed_at: None,
            revoke_within,
        }
    }

    /// Notes that the store's state at `at` is known in full.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Age of the knowledge; none when the store was never reached.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a key that is known may still be accepted.
    #[must_use]
    pub fn may_accept_keys(&self, now: Moment) -> bool {
        let Some(age) = self.age(now) else {
            return false;
        };
        self.revoke_within
            .is_none_or(|bound| age + CLOCK_MARGIN < bound)
    }

    /// Whether the daemon lost the store for so long that callers are better served elsewhere.
    #[must_use]
    pub fn is_stale(&self, now: Moment) -> bool {
        let Some(age) = self.age(now) else {
            return true;
        };
        self.revoke_within
            .is_some_and(|bound| age > bound * CUT_OFF_PERCENT / 100)
    }

    /// Whether a route or key that is unknown here may be unknown only because the daemon's
    /// knowledge is older than `within`.
    #[must_use]
    pub fn is_older_than(&self, now: Moment, within: Duration) -> bool {
        self.age(now).is_none_or(|age| age > within)
    }
}
