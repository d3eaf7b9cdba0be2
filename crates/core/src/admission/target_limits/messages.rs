//! What daemons tell each other of limits and permits.

use std::time::Duration;

use super::notice::{LimitNotice, RequestRate};
use crate::admission::Priority;
use crate::clock::Moment;
use crate::membership::KnownTarget;
use crate::routing::fleet_sample::TargetHash;

value! {
    /// What an answer of a target said about its limit, and for how long it stays cold. Daemons have
    /// clocks of their own, so that times are told as ages. If it is cold and `rate` is `None`, this
    /// says nothing about a limit, and `age` is that of the word that it is cold.
    #[derive(Copy)]
    pub struct TargetLimit {
        /// The target.
        pub target: TargetHash,
        /// The limit; `None` if the answer names none.
        pub rate: Option<RequestRate>,
        /// Age of the answer.
        pub age: Duration,
        /// Time from the request to the answer.
        pub round_trip: Duration,
        /// Time for which the target stays cold; zero if it is warm.
        pub cold_left: Duration,
    }

    /// Request for a permit.
    pub struct PermitRequest {
        /// The limit as the daemon that asks knows it.
        pub limit: TargetLimit,
        /// Urgency and workspace of the request that is to be sent.
        pub priority: Priority,
    }

    /// Answer to a request for a permit.
    pub struct PermitAnswer {
        /// Whether the request may be sent.
        pub result: PermitResult,
        /// The limit as the daemon that answers knows it.
        pub limit: TargetLimit,
    }

    /// Whether a request may be sent to a target.
    #[derive(Copy)]
    pub enum PermitResult {
        /// One request may be sent now.
        Granted,
        /// There is no permit.
        Denied {
            /// Time until there may be one.
            wait: Duration,
        },
        /// The target has no limit any more.
        Unlimited,
        /// The daemon hands out no permits for this target.
        NotAllocator,
    }
}

impl TargetLimit {
    /// The notice as it is told to another daemon at `now`.
    #[must_use]
    pub fn told(now: Moment, target: TargetHash, notice: &LimitNotice) -> Self {
        Self {
            target,
            rate: notice.rate,
            age: notice.age(now),
            round_trip: notice.received_at.saturating_sub(notice.sent_at),
            cold_left: Duration::ZERO,
        }
    }

    /// What this daemon knows of a target, as it is told to another one at `now`; `None` if it knows
    /// neither a limit nor that the target is cold.
    #[must_use]
    pub fn of(now: Moment, target: &KnownTarget) -> Option<Self> {
        let cold = Self::of_cold(now, target);
        let Some(notice) = target.limit.notice() else {
            return cold;
        };
        let told = Self::told(now, target.hash, &notice);
        match cold {
            Some(cold) if told.rate.is_none() => Some(cold),
            cold => Some(Self {
                cold_left: cold.map_or(Duration::ZERO, |cold| cold.cold_left),
                ..told
            }),
        }
    }

    /// That a target is cold by its own word; `None` if it is not.
    #[must_use]
    pub fn of_cold(now: Moment, target: &KnownTarget) -> Option<Self> {
        target.cold_limit?;
        let (left, age) = target.warmth.told(now)?;
        Some(Self::told_cold(target.hash, left, age))
    }

    /// Says that a target stays cold for `left`, by a word of the age `age`.
    #[must_use]
    pub fn told_cold(target: TargetHash, left: Duration, age: Duration) -> Self {
        Self {
            target,
            rate: None,
            age,
            round_trip: Duration::ZERO,
            cold_left: left,
        }
    }

    /// The notice of a limit by the clock of the daemon that is told it at `now`; `None` if this is
    /// only about a cold target.
    #[must_use]
    pub fn limit_notice(&self, now: Moment) -> Option<LimitNotice> {
        let is_about_limit = self.rate.is_some() || self.cold_left.is_zero();
        is_about_limit.then(|| self.notice(now))
    }

    /// When the target said that it is cold, by the clock of the daemon that is told it at `now`.
    #[must_use]
    pub fn cold_told_at(&self, now: Moment) -> Moment {
        if self.rate.is_some() {
            return now;
        }
        now.saturating_sub(self.age)
    }

    fn notice(&self, now: Moment) -> LimitNotice {
        let received_at = now.saturating_sub(self.age);
        LimitNotice {
            rate: self.rate,
            sent_at: received_at.saturating_sub(self.round_trip),
            received_at,
        }
    }
}
