//! The request rate that a target names in its answers.

use std::time::Duration;

use crate::clock::Moment;

const MILLION: f64 = 1e6;
/// Greatest rate that is kept. No fleet reaches it, so that it limits nothing.
const MAX_PER_S: f64 = 1e9;

key! {
    /// Number of requests per time.
    pub struct RequestRate {
        /// Requests in a million seconds.
        per_million_s: u64,
    }
}

impl RequestRate {
    /// A rate of `per_s` requests per second; `None` if that is negative or not a number.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then(|| Self {
            per_million_s: (per_s.min(MAX_PER_S) * MILLION) as u64,
        })
    }

    /// A rate of `per_million_s` requests in a million seconds.
    #[must_use]
    pub fn from_per_million_s(per_million_s: u64) -> Self {
        Self { per_million_s }
    }

    /// Requests per second.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn per_s(self) -> f64 {
        self.per_million_s as f64 / MILLION
    }

    /// Requests in a million seconds.
    #[must_use]
    pub fn per_million_s(self) -> u64 {
        self.per_million_s
    }
}

value! {
    /// What one answer of a target said about its limit.
    #[derive(Copy)]
    pub struct LimitNotice {
        /// Requests that it takes from all daemons together; `None` if it names no limit.
        pub rate: Option<RequestRate>,
        /// When the answered request was sent.
        pub sent_at: Moment,
        /// When the answer arrived. Invariant: not before `sent_at`.
        pub received_at: Moment,
    }

    /// A change of a target's limit.
    #[derive(Copy)]
    pub struct LimitChange {
        /// The limit before.
        pub before: Option<RequestRate>,
        /// The limit now.
        pub now: Option<RequestRate>,
    }
}

impl LimitNotice {
    /// Time since the answer arrived.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Whether this notice is newer than `known`. Answers overtake each other, so that one without
    /// a limit ends a limit only if its request was sent after the limit had arrived.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        match (self.rate, known.rate) {
            (None, Some(_)) => self.sent_at > known.received_at,
            _ => self.received_at > known.received_at,
        }
    }
}
