//! What daemons tell each other of limits and permits.

use std::time::Duration;

use super::notice::{LimitNotice, RequestRate};
use crate::admission::Priority;
use crate::clock::Moment;
use crate::routing::fleet_sample::TargetHash;

value! {
    /// What an answer of a target said about its limit. Daemons have clocks of their own, so that
    /// times are told as ages.
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

    /// The notice by the clock of the daemon that is told it at `now`.
    #[must_use]
    pub fn notice(&self, now: Moment) -> LimitNotice {
        let received_at = now.saturating_sub(self.age);
        LimitNotice {
            rate: self.rate,
            sent_at: received_at.saturating_sub(self.round_trip),
            received_at,
        }
    }
}
