//! How many requests of a service a daemon may have in flight.

use crate::admission::gate::GateLimits;
use crate::membership::{KnownTarget, TrafficShare};
use crate::routing::Service;

/// Requests at a plain target against its slots: as many wait there as run, so that no slot stands
/// idle between two requests.
const FILL: f64 = 2.0;
/// Part of the requests of a service, in percent, that is kept free for urgent ones where the
/// operators say how many a target runs: with less, surges make them wait for more than a fifth of
/// the wait in order of arrival (`soak compare`).
const RESERVED_PERCENT: usize = 30;
/// Part of a target's connections that requests may take; the rest is for idle ones and for
/// daemons whose share just grew.
const CONNECTION_PART: f64 = 0.7;

/// What this daemon takes of a service whose `targets` can be reached.
#[must_use]
pub fn gate_limits<'a>(
    service: &Service,
    targets: impl Iterator<Item = &'a KnownTarget>,
    share: &TrafficShare,
) -> GateLimits {
    let in_flight = flight_limit(service, targets, share);
    let is_stated = service.requests_per_target.is_some();
    GateLimits {
        in_flight,
        reserved: if is_stated {
            in_flight * RESERVED_PERCENT / 100
        } else {
            0
        },
        waiting: service.queue_limit.unwrap_or(usize::MAX),
    }
}

/// Requests that this daemon may have in flight at all `targets` of a service together. Model
/// engines order what waits by urgency themselves and are limited by their connections alone.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn flight_limit<'a>(
    service: &Service,
    targets: impl Iterator<Item = &'a KnownTarget>,
    share: &TrafficShare,
) -> usize {
    let by_connections = CONNECTION_PART * share.of(service.max_connections);
    let limit_at = |target: &KnownTarget| {
        if let Some(requests) = service.requests_per_target {
            return share.of(requests);
        }
        if service.has_engines {
            return by_connections;
        }
        by_connections.min(FILL * share.of(target.entry.slots))
    };
    let limits = targets.map(|target| limit_at(target).ceil().max(1.0) as usize);
    limits.sum::<usize>().max(1)
}
