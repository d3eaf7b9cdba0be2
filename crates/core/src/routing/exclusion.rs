//! Why a target does not get a request.

use std::time::Duration;

use crate::clock::Moment;
use crate::membership::{KnownTarget, Standing};
use crate::routing::candidates::Candidate;
use crate::routing::choice::TargetQuery;

value! {
    /// Why a target does not get a request now.
    #[derive(Copy)]
    pub enum Exclusion {
        /// It is draining or gone.
        Leaving,
        /// It does not have the software version at which the stream began.
        OtherVersion,
        /// It could not be reached, or broke the connection, and has a backoff time.
        Unreachable,
        /// It has asked for a pause.
        Paused {
            /// Time until the pause ends.
            left: Duration,
        },
        /// The request was already sent to it.
        Tried,
        /// It has no room within its limit, or leaves its room to requests that others have no room
        /// for.
        Limited {
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
            Self::OtherVersion => "other_version",
            Self::Unreachable => "unreachable",
            Self::Paused { .. } => "paused",
            Self::Tried => "tried",
            Self::Limited { .. } => "limited",
            Self::Failing => "failing",
        }
    }

    /// Time after which the target may get requests, if it is known.
    #[must_use]
    pub fn left(&self) -> Option<Duration> {
        match self {
            Self::Paused { left } | Self::Limited { left } => Some(*left),
            _ => None,
        }
    }
}

/// Why a target cannot get the request in `query` at all, now or later; `None` if it is a candidate.
pub(super) fn bar(target: &KnownTarget, query: &TargetQuery<'_>) -> Option<Exclusion> {
    if target.standing == Standing::Leaving {
        return Some(Exclusion::Leaving);
    }
    let has_version = query.version.allows(target.version);
    (!has_version).then_some(Exclusion::OtherVersion)
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
        return Some(Exclusion::Limited { left });
    }
    (!candidate.is_healthy).then_some(Exclusion::Failing)
}
