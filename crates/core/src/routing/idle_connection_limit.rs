//! How many idle connections to a target a daemon keeps.

use crate::membership::TrafficShare;

/// Part of a target's connections that the fleet may hold idle; the rest is for requests in
/// flight, of which a surge brings many at once.
const IDLE_PART: f64 = 0.25;
/// Idle connections that are of use at most.
const MOST: f64 = 32.0;

/// Idle connections that this daemon may keep to a target that takes `max_connections` from all.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn idle_connection_limit(max_connections: u32, share: &TrafficShare) -> usize {
    (IDLE_PART * share.of(max_connections)).clamp(1.0, MOST) as usize
}
