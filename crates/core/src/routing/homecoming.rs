//! Which prompt parts are homed at a target that is cold or became warm lately.
//!
//! Load pattern: a target starts, or a whole failure domain returns, and rendezvous hashing moves the
//! homes of all its parts to it at once, while it takes few requests and has read nothing. Until it
//! is warm, only a share of its parts is homed at it, and the others stay with the next home, which
//! has read them. The share then grows to all within the time that a start takes.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::hash_parts;
use crate::membership::KnownTarget;

/// Share of the parts that are homed at a cold target. The rest of what it takes is left to requests
/// for which no other target has room.
const COLD_SHARE: f64 = 0.25;

/// Whether a part is homed at the target, if the target is the first in the order of the part. The
/// same at all daemons that know how warm the target is.
pub(super) fn takes_part(now: Moment, target: &KnownTarget, part: u64) -> bool {
    let share = part_share(now, target);
    share >= 1.0 || position(target, part) < share
}

/// Share of its parts that are homed at the target, from [`COLD_SHARE`] to 1.
fn part_share(now: Moment, target: &KnownTarget) -> f64 {
    let (Some(limit), Some(warm_for)) = (target.cold_limit, target.warmth.warm_for(now)) else {
        return 1.0;
    };
    if warm_for >= limit.start || limit.start == Duration::ZERO {
        return 1.0;
    }
    let grown = warm_for.as_secs_f64() / limit.start.as_secs_f64();
    COLD_SHARE + (1.0 - COLD_SHARE) * grown
}

/// Where the part stands among those of the target, from 0 to 1.
fn position(target: &KnownTarget, part: u64) -> f64 {
    let hash = hash_parts(&[&target.hash.to_le_bytes(), &part.to_le_bytes()]);
    let high_bits = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(high_bits) / f64::from(u32::MAX)
}
