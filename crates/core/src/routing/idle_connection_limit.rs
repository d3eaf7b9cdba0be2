//! Limit on the idle connections that a daemon keeps to a target.

use crate::membership::TrafficShare;

/// Share of a target's connections that the fleet may keep idle. The rest stays available for
/// requests in flight, as a surge opens many connections at once.
const MAX_IDLE_SHARE: f64 = 0.25;
/// Idle connections beyond this number are of no use.
const MAX_IDLE_CONNECTIONS: f64 = 32.0;

/// Returns the number of idle connections that this daemon may keep to a target that accepts
/// `max_connections` from the whole fleet; at least 1.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn idle_connection_limit(max_connections: u32, share: &TrafficShare) -> usize {
    (MAX_IDLE_SHARE * share.of(max_connections)).clamp(1.0, MAX_IDLE_CONNECTIONS) as usize
}
