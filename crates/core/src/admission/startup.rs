//! Requests that arrive before a daemon has its first configuration.
//!
//! Load pattern: all daemons of a fleet start again at the same moment, while callers keep calling.
//! The configuration arrives within a few hundred milliseconds. A caller that is refused returns
//! much later than that, together with all others that were refused.

use std::time::Duration;

use crate::clock::Moment;

/// Time after its start in which a daemon may expect its configuration. A daemon without one for
/// longer has lost the store, and refuses requests at once.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a request waits for the configuration.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// How long a request that arrives `now` waits for the first configuration of a daemon that started
/// at `started_at`; zero if it should be refused at once.
#[must_use]
pub fn wait_for_configuration(now: Moment, started_at: Moment) -> Duration {
    let startup_left = (started_at + STARTUP_TIME).saturating_sub(now);
    startup_left.min(MAX_WAIT)
}
