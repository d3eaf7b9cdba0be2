//! How many requests of a service a daemon may have in flight.

use crate::membership::{KnownTarget, TrafficShare};
use crate::routing::Service;

/// Requests at a plain target against its slots: as many wait there as run, so that no slot stands
/// idle between two requests.
const FILL: f64 = 2.0;
/// Part of a target's connections that requests may take; the rest is for idle ones and for
/// daemons whose share just grew.
const CONNECTION_PART: f64 = 0.7;

/// Requests that this daemon may have in flight at all `targets` of a service together. Model
/// engines order what waits by urgency themselves and are limited by their connections alone.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn flight_limit<'a>(
    service: &Service,
    targets: impl Iterator<Item = &'a KnownTarget>,
    share: &TrafficShare,
) -> usize {
    let by_connections = CONNECTION_PART * share.of(service.max_connections);
    let limit_at = |target: &KnownTarget| {
        if service.has_engines {
            return by_connections;
        }
        by_connections.min(FILL * share.of(target.entry.slots))
    };
    let limits = targets.map(|target| limit_at(target).ceil().max(1.0) as usize);
    limits.sum::<usize>().max(1)
}
