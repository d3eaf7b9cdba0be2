//! Computes how many requests of a service this daemon may have in flight.

use crate::admission::gate::GateLimits;
use crate::admission::room::TargetRooms;
use crate::clock::Moment;
use crate::membership::{KnownTarget, TrafficShare};
use crate::routing::Service;

/// Requests sent to a plain target per slot. With 2, as many requests queue at the target as run,
/// so that no slot is idle between two requests.
const REQUESTS_PER_SLOT: f64 = 2.0;
/// Percentage of the in-flight limit that is reserved for urgent requests if the configuration sets
/// the number of requests per target. With less, urgent requests in a surge wait for more than a
/// fifth of what they would wait in order of arrival (`soak compare`).
const RESERVED_PERCENT: usize = 30;
/// Fraction of a target's connections that requests may use. The rest is left to idle connections
/// and to daemons whose traffic share has just grown.
const CONNECTION_FRACTION: f64 = 0.7;

/// Limits of this daemon for a service with these reachable `targets`.
#[must_use]
pub fn gate_limits<'a>(
    service: &Service,
    targets: impl Iterator<Item = &'a KnownTarget>,
    share: &TrafficShare,
) -> GateLimits {
    let in_flight = flight_limit(service, targets, share);
    let is_configured = service.requests_per_target.is_some();
    GateLimits {
        in_flight,
        reserved: if is_configured {
            in_flight * RESERVED_PERCENT / 100
        } else {
            0
        },
        queue_limit: service.queue_limit.unwrap_or(usize::MAX),
    }
}

/// Requests that this daemon may have in flight at all `targets` of a service together. Engines
/// order their own queue by urgency, so only their connections limit them.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn flight_limit<'a>(
    service: &Service,
    targets: impl Iterator<Item = &'a KnownTarget>,
    share: &TrafficShare,
) -> usize {
    let limits = targets.map(|target| target_limit(service, target, share) as usize);
    limits.sum::<usize>().max(1)
}

/// Requests that this daemon may have in flight at one target. Invariant: a whole number, at least
/// one.
fn target_limit(service: &Service, target: &KnownTarget, share: &TrafficShare) -> f64 {
    let by_connections = CONNECTION_FRACTION * share.of(service.max_connections);
    let limit = if let Some(requests) = service.requests_per_target {
        share.of(requests)
    } else if service.has_engines {
        by_connections
    } else {
        by_connections.min(REQUESTS_PER_SLOT * share.of(target.entry.slots))
    };
    limit.ceil().max(1.0)
}

/// Limits of this daemon for a service whose configuration sets no number of requests per target.
/// They follow the room of the targets that are under pressure, and are those of [`gate_limits`]
/// if none is.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn room_limits<'a>(
    now: Moment,
    service: &Service,
    targets: impl Iterator<Item = &'a KnownTarget>,
    share: &TrafficShare,
    rooms: &TargetRooms,
) -> GateLimits {
    let room_at = |target: &KnownTarget| {
        let limit = target_limit(service, target, share);
        let slots = share.of(target.entry.slots);
        let is_full = service.has_engines
            && target.entry.slots > 0
            && target.load.estimate(now, 0.0) >= f64::from(target.entry.slots);
        let learned = rooms.requests(now, target.key);
        let room = if is_full {
            Some(learned.unwrap_or(slots).min(slots))
        } else {
            learned
        };
        // As many requests as there are slots don't wait at the target.
        room.map_or(limit, |room| room.max(slots).min(limit))
    };
    let in_flight = targets.map(room_at).sum::<f64>().ceil().max(1.0);
    GateLimits {
        in_flight: in_flight as usize,
        reserved: 0,
        queue_limit: service.queue_limit.unwrap_or(usize::MAX),
    }
}
