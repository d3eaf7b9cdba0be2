//! Which targets may serve a request, and whether each has room for it now.

use std::time::Duration;

use crate::clock::Moment;
use crate::membership::{Directory, KnownTarget};
use crate::routing::choice::{NoTarget, TargetQuery};
use crate::routing::exclusion::bar;

/// Permits that a request asks for before it goes to a target without a limit, or to none. Each one
/// takes a call to another daemon.
const MAX_PERMITS_DENIED: usize = 4;
/// Part of the slots of a target without a limit that requests may use while other targets have
/// limits.
const OVERFLOW_FRACTION: f64 = 0.75;
/// Time until a target without a free slot may have one.
const OVERFLOW_WAIT: Duration = Duration::from_millis(250);
/// Time until a request that has asked for all its permits may find room elsewhere.
const PERMIT_PAUSE: Duration = Duration::from_millis(50);

/// A target that may serve a request.
pub(super) struct Candidate<'a> {
    pub(super) target: &'a KnownTarget,
    pub(super) load: f64,
    pub(super) is_usable: bool,
    pub(super) is_healthy: bool,
    /// Whether it has no limit and takes what others don't take within theirs.
    pub(super) takes_overflow: bool,
    /// Time until the target may have room within its limit; zero if it may now.
    pub(super) room_in: Duration,
}

impl Candidate<'_> {
    pub(super) fn has_limit(&self) -> bool {
        self.target.limit.rate().is_some()
    }

    /// Whether only its limit keeps the target from getting the request.
    pub(super) fn is_limited(&self) -> bool {
        self.is_usable && !self.room_in.is_zero()
    }

    pub(super) fn may_get_request(&self) -> bool {
        self.is_usable && self.room_in.is_zero()
    }
}

/// Why no candidate can get a request.
pub(super) fn why_unavailable(now: Moment, candidates: &[Candidate<'_>]) -> NoTarget {
    let limited = candidates.iter().filter(|one| one.is_limited());
    if let Some(first) = limited.min_by_key(|one| one.room_in) {
        return NoTarget::Limited {
            left: first.room_in,
            target: first.target.key,
        };
    }
    let pauses = candidates.iter().map(|one| one.target.pause.left(now));
    match pauses.min() {
        Some(left) if !left.is_zero() => NoTarget::Paused { left },
        _ => NoTarget::NoneReachable,
    }
}

/// Time until a target may have room for a request within its limit.
fn room_in(now: Moment, target: &KnownTarget, query: &TargetQuery<'_>) -> Duration {
    if !target.needs_permit(now) {
        return Duration::ZERO;
    }
    let room_in = target.limit.room_in(now, query.priority);
    if query.permits_denied < MAX_PERMITS_DENIED {
        return room_in;
    }
    room_in.max(PERMIT_PAUSE)
}

/// The usable candidate with the fewest requests in flight.
pub(super) fn least_loaded(candidates: &[Candidate<'_>]) -> Option<usize> {
    let usable = |position: &usize| candidates[*position].may_get_request();
    (0..candidates.len())
        .filter(usable)
        .min_by(|left, right| candidates[*left].load.total_cmp(&candidates[*right].load))
}

/// Why there is no candidate.
pub(super) fn why_none(directory: &Directory, query: &TargetQuery<'_>) -> NoTarget {
    let mut is_listed = false;
    let mut is_in_homes = false;
    for target in directory.listed(query.service) {
        is_listed = true;
        if directory.is_in_homes(target, &query.homes) {
            is_in_homes = true;
            if query.version.allows(target.version) {
                return NoTarget::Evacuated;
            }
        }
    }
    match (is_listed, is_in_homes) {
        (false, _) => NoTarget::NoneInUse,
        (true, false) => NoTarget::NoneInHomes,
        (true, true) => NoTarget::NoneOfVersion,
    }
}

/// The targets that may serve the request in `query`, and the room that each has. A request that
/// `moves_first` leaves a failure domain as soon as that is evacuated.
pub(super) fn candidates<'a>(
    now: Moment,
    directory: &'a Directory,
    query: &TargetQuery<'a>,
    moves_first: bool,
) -> Vec<Candidate<'a>> {
    let targets = directory.listed(query.service);
    let targets: Vec<&KnownTarget> = targets
        .filter(|target| bar(now, directory, target, query, moves_first).is_none())
        .collect();
    let reports = targets
        .iter()
        .filter_map(|target| target.load.fresh_others(now));
    let (sum, count) = reports.fold((0_u32, 0_u32), |(sum, count), one| (sum + one, count + 1));
    let mean_others = f64::from(sum) / f64::from(count.max(1));
    let is_untried =
        |target: &KnownTarget| target.is_available(now) && !query.tried.contains(&target.key);
    let has_untried = targets.iter().any(|target| is_untried(target));
    let may_repeat = query.may_repeat_target && !has_untried;
    let may_get_request =
        |target: &KnownTarget| is_untried(target) || (may_repeat && target.is_available(now));
    let to_candidate = |target: &'a KnownTarget| Candidate {
        load: target.load.estimate(now, mean_others),
        is_usable: may_get_request(target),
        is_healthy: !target.breaker.is_failing(now),
        takes_overflow: false,
        room_in: room_in(now, target, query),
        target,
    };
    let mut candidates: Vec<Candidate<'_>> = targets.into_iter().map(to_candidate).collect();
    if candidates.iter().any(Candidate::has_limit) {
        for candidate in candidates.iter_mut().filter(|one| !one.has_limit()) {
            candidate.takes_overflow = true;
            candidate.room_in = overflow_wait(candidate);
        }
    }
    candidates
}

/// Time until a target without a limit may have room for what others don't take within theirs. It
/// would answer all of its requests late if most of its slots were taken.
fn overflow_wait(candidate: &Candidate<'_>) -> Duration {
    let slots = f64::from(candidate.target.entry.slots);
    if slots == 0.0 || candidate.load < (slots * OVERFLOW_FRACTION).max(1.0) {
        Duration::ZERO
    } else {
        OVERFLOW_WAIT
    }
}
