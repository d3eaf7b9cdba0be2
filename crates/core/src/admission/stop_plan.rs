//! What a daemon does from SIGTERM to its exit.
//!
//! The balancer still sends callers for a while, so that the daemon goes on taking requests. It
//! then refuses new ones, which callers take elsewhere at once, and waits for those in flight.

use std::time::Duration;

use crate::clock::Moment;

value! {
    /// Times of a planned stop.
    pub struct StopPlan {
        /// How long requests are still taken: until the balancer has seen twice that the daemon is
        /// not ready.
        pub accept_for: Duration,
        /// When the process must have ended by itself.
        pub exit_within: Duration,
    }

    /// What a daemon does.
    pub enum StopPhase {
        /// It takes requests; answers close their connections.
        Accepting,
        /// It refuses requests and waits for those in flight.
        Draining,
        /// It exits.
        Exiting,
    }
}

impl StopPlan {
    /// The phase at `now` of a stop that began at `began`, with requests in flight.
    #[must_use]
    pub fn phase(&self, now: Moment, began: Moment, in_flight: usize) -> StopPhase {
        let since = now.saturating_sub(began);
        if since < self.accept_for {
            return StopPhase::Accepting;
        }
        if in_flight == 0 || since >= self.exit_within {
            return StopPhase::Exiting;
        }
        StopPhase::Draining
    }

    /// Whether a request may still be taken.
    #[must_use]
    pub fn accepts_requests(&self, now: Moment, began: Moment) -> bool {
        now.saturating_sub(began) < self.accept_for
    }
}
