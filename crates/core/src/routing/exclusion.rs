//! Why a target does not get a request.

use std::time::Duration;

use crate::clock::Moment;
use crate::membership::{Directory, KnownTarget, Standing};
use crate::routing::candidates::Candidate;
use crate::routing::choice::{TargetQuery, placement_parts};

value! {
    /// Why a target does not get a request now.
    #[derive(Copy)]
    pub enum Exclusion {
        /// It is draining or gone.
        Leaving,
        /// It is in none of the home regions of the request.
        OutsideHomes,
        /// It does not have the software version at which the stream began.
        OtherVersion,
        /// Its failure domain is evacuated, and the request is served elsewhere.
        Evacuated,
        /// It could not be reached, or broke the connection, and has a backoff time.
        Unreachable,
        /// It has asked for a pause.
        Paused {
            /// Time until the pause ends.
            left: Duration,
        },
        /// The request was already sent to it.
        Tried,
        /// It has no room within its limit.
        Limited {
            /// Time until it may have room.
            left: Duration,
        },
        /// It is cold and has no room within the limit of cold targets.
        Cold {
            /// Time until it may have room.
            left: Duration,
        },
        /// It has no limit, and most of its slots are taken while others have reached theirs.
        Full {
            /// Time until it may have room.
            left: Duration,
        },
        /// It answers, but fails too often. It gets the request if no other target can.
        Failing,
    }
}

impl Exclusion {
    /// Name in reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::OutsideHomes => "outside_homes",
            Self::OtherVersion => "other_version",
            Self::Evacuated => "evacuated",
            Self::Unreachable => "unreachable",
            Self::Paused { .. } => "paused",
            Self::Tried => "tried",
            Self::Limited { .. } => "limited",
            Self::Cold { .. } => "cold",
            Self::Full { .. } => "full",
            Self::Failing => "failing",
        }
    }

    /// Time after which the target may get requests, if it is known.
    #[must_use]
    pub fn left(&self) -> Option<Duration> {
        match self {
            Self::Paused { left }
            | Self::Limited { left }
            | Self::Cold { left }
            | Self::Full { left } => Some(*left),
            _ => None,
        }
    }
}

/// Why a target cannot get the request in `query`, whatever its load and room; `None` if it is a
/// candidate. A request that `moves_first` leaves a failure domain as soon as that is evacuated.
pub(super) fn bar(
    now: Moment,
    directory: &Directory,
    target: &KnownTarget,
    query: &TargetQuery<'_>,
    moves_first: bool,
) -> Option<Exclusion> {
    if target.standing == Standing::Leaving {
        Some(Exclusion::Leaving)
    } else if !directory.is_in_homes(target, &query.homes) {
        Some(Exclusion::OutsideHomes)
    } else if !query.version.allows(target.version) {
        Some(Exclusion::OtherVersion)
    } else if has_moved(now, directory, target, query, moves_first) {
        Some(Exclusion::Evacuated)
    } else {
        None
    }
}

/// Whether the target's failure domain is evacuated, and the request is served elsewhere now.
fn has_moved(
    now: Moment,
    directory: &Directory,
    target: &KnownTarget,
    query: &TargetQuery<'_>,
    moves_first: bool,
) -> bool {
    if !directory.is_evacuated(target) {
        return false;
    }
    let part = placement_parts(query.parts).last();
    let order = part.map_or(query.request, |part| part.id);
    let domain = &target.entry.domain;
    moves_first || directory.evacuations.has_moved(now, domain, order)
}

/// Why a candidate does not get the request in `query` now, or only if no other can.
pub(super) fn obstacle(
    now: Moment,
    candidate: &Candidate<'_>,
    query: &TargetQuery<'_>,
) -> Option<Exclusion> {
    let target = candidate.target;
    if !candidate.is_usable {
        let left = target.pause.left(now);
        return Some(if !target.breaker.is_closed(now) {
            Exclusion::Unreachable
        } else if !left.is_zero() {
            Exclusion::Paused { left }
        } else {
            debug_assert!(query.tried.contains(&target.key));
            Exclusion::Tried
        });
    }
    if candidate.is_limited() {
        let left = candidate.room_in;
        return Some(if candidate.has_limit() {
            Exclusion::Limited { left }
        } else if candidate.takes_overflow {
            Exclusion::Full { left }
        } else {
            Exclusion::Cold { left }
        });
    }
    (!candidate.is_healthy).then_some(Exclusion::Failing)
}
