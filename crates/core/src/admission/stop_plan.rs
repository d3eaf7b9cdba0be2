//! Graceful shutdown, from SIGTERM to the exit of the process.
//!
//! The load balancer still sends new connections for a while, so the daemon first continues to
//! accept requests. It then refuses new ones, which callers retry at another daemon at once, and
//! waits for those in flight. Shortly before the exit it answers the rest with what is known, so that
//! no caller has to learn it from the end of its connection.

use std::time::Duration;

use crate::clock::Moment;

value! {
    /// Timeouts of a graceful shutdown, counted from its start.
    pub struct StopPlan {
        /// How long requests are still accepted: until two health checks of the load balancer have
        /// found the daemon not ready.
        pub accept_for: Duration,
        /// When requests that are still in flight get a final answer.
        pub answer_within: Duration,
        /// When the process exits even if requests are in flight, before it would be killed.
        pub exit_within: Duration,
    }

    /// Phase of a graceful shutdown.
    pub enum StopPhase {
        /// Accepts requests and closes each connection after its answer.
        Accepting,
        /// Refuses new requests and waits for those in flight.
        Draining,
        /// Gives up the requests in flight and answers their callers.
        Answering,
        /// Exits the process.
        Exiting,
    }
}

impl StopPlan {
    /// Phase at `now` of a shutdown that started at `started_at`.
    #[must_use]
    pub fn phase(&self, now: Moment, started_at: Moment, in_flight: usize) -> StopPhase {
        let elapsed = now.saturating_sub(started_at);
        if elapsed < self.accept_for {
            return StopPhase::Accepting;
        }
        if in_flight == 0 || elapsed >= self.exit_within {
            return StopPhase::Exiting;
        }
        if elapsed >= self.answer_within {
            return StopPhase::Answering;
        }
        StopPhase::Draining
    }

    /// Latest time after the start of the shutdown at which a request may be sent to a target. One that would be
    /// given up before its answer is refused instead, as long as it has not run: other daemons have more
    /// time. `expected` is the usual time of its answers, if it is known.
    #[must_use]
    pub fn send_within(&self, expected: Option<Duration>) -> Duration {
        self.answer_within
            .saturating_sub(expected.unwrap_or_default())
    }

    /// Whether a new request is still accepted at `now`.
    #[must_use]
    pub fn accepts_requests(&self, now: Moment, started_at: Moment) -> bool {
        now.saturating_sub(started_at) < self.accept_for
    }
}
