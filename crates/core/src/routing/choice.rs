//! Chooses the target of a request.
//!
//! A request that shares parts of its prompt goes to the home of its longest shared part. Every
//! daemon computes the same homes, by rendezvous hashing. The request goes to a later home if the
//! first one is above its load bound, failing or unreachable, or if the part draws more traffic
//! than one target can carry. All other requests go to the target with the fewest requests in
//! flight.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::Priority;
use crate::clock::Moment;
use crate::ids::{FailureDomain, ServiceId, TargetKey};
use crate::membership::{Directory, KnownTarget};
use crate::routing::candidates::{Candidate, candidates, least_loaded, why_none, why_unavailable};
use crate::routing::home_regions::Homes;
use crate::routing::homecoming::takes_part;
use crate::routing::pace::TypicalTime;
use crate::routing::popularity::Popularity;
use crate::routing::preview::{self, PartPlacement, Preview};
use crate::routing::rendezvous::{rendezvous_first, rendezvous_order};
use crate::stream::VersionBinding;

/// Capacity left free below the load bound for requests of other daemons that this daemon has not
/// seen yet.
const BOUND_MARGIN_REQUESTS: f64 = 2.0;
/// Load that one part may put on a home before it gets another one, as a multiple of the mean load
/// per target.
const MAX_MEAN_LOADS_PER_HOME: f64 = 0.5;
/// Added to the load of targets in other failure domains when loads are compared, so that one of
/// them is preferred only if it has this many requests fewer in flight.
const DOMAIN_COST_REQUESTS: f64 = 1.0;

value! {
    /// A contiguous part of a prompt, the unit of cache reuse.
    pub struct PromptPart {
        /// Identifier; parts with the same text have the same identifier.
        pub id: u64,
        /// Length of the part.
        pub tokens: u32,
    }

    /// Upper bound of a target's load, relative to the mean load of its service.
    pub struct LoadBound {
        /// Multiple of the mean, in percent.
        pub percent: u32,
        /// Requests allowed on top of the multiple.
        pub extra: u32,
    }

    /// Why a target was chosen.
    pub enum Reason {
        /// It is the first home of the request's shared part.
        Home,
        /// It is an additional home of a part that draws much traffic.
        FurtherHome,
        /// No home of the part could take the request.
        Spilled,
        /// It has the fewest requests in flight; the request shares no part.
        LeastLoaded,
    }

    /// Why no target was chosen.
    pub enum NoTarget {
        /// The service has no target in use.
        NoneInUse,
        /// No target is in a home region of the request.
        NoneInHomes,
        /// No target has the software version at which the stream began.
        NoneOfVersion,
        /// The failure domains of all targets that could get the request are evacuated.
        Evacuated,
        /// All targets in use were already tried or are unreachable.
        NoneReachable,
        /// All targets that could get the request have reached their limits.
        Limited {
            /// Time until the first of them may have room.
            left: Duration,
            /// That target.
            target: TargetKey,
        },
        /// All targets in use have asked for a pause.
        Paused {
            /// Time until the first pause ends.
            left: Duration,
        },
    }
}

/// The properties of a request that determine its target.
#[derive(Debug, Clone)]
pub struct TargetQuery<'a> {
    /// Service that the target must belong to.
    pub service: &'a ServiceId,
    /// Parts of the prompt, in order; empty for plain services. The last one is unique to the
    /// request.
    pub parts: &'a [PromptPart],
    /// Software version at which a stream that has begun may go on.
    pub version: VersionBinding,
    /// Hash of the request, which breaks ties between equally loaded targets.
    pub request: u64,
    /// Targets that the request was already sent to.
    pub tried: &'a [TargetKey],
    /// Whether a tried target may get the request again if no other is left. This holds if the last
    /// one answered with a failure, or closed a connection that was idle before.
    pub may_repeat_target: bool,
    /// Trade-off between cache reuse and even load.
    pub preference: AffinityPreference,
    /// Urgency and workspace, by which targets with a limit have room or not.
    pub priority: &'a Priority,
    /// Regions in which the request may be served.
    pub homes: Homes<'a>,
    /// Permits that were asked for in vain. The request is counted once, and asks for a few.
    pub permits_denied: usize,
}

/// Trade-off between cache reuse and even load.
#[derive(Debug, Clone, PartialEq)]
pub struct AffinityPreference {
    /// From 0, where a home is used only below the mean load, to 1, where it is used up to the load
    /// bound.
    pub reuse_weight: f64,
    /// Bound that overrides the fleet's.
    pub bound: Option<LoadBound>,
}

impl Default for AffinityPreference {
    fn default() -> Self {
        Self {
            reuse_weight: 1.0,
            bound: None,
        }
    }
}

/// Mean and maximum load of a service's targets, in requests in flight at one target.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Bounds {
    mean: f64,
    /// Load at which further requests go to other targets.
    max_load: f64,
}

impl Bounds {
    /// Load below which a home is preferred to other targets.
    fn home_bound(&self, reuse_weight: f64) -> f64 {
        let spread = (self.max_load - self.mean).max(0.0);
        self.mean.min(self.max_load) + reuse_weight * spread
    }
}

/// Homes of a shared part among the candidates.
struct Placement<'a> {
    part: &'a PromptPart,
    /// Positions of the candidates, the first home first.
    order: Vec<usize>,
    /// Number of homes.
    homes: usize,
    /// Load below which a home is preferred to other targets.
    bound: f64,
}

/// The chosen target of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Target to send the request to.
    pub target: TargetKey,
    /// Why it was chosen.
    pub reason: Reason,
    /// Target whose cache may hold the shared part of the prompt, if the chosen one lacks it.
    pub fetch_from: Option<TargetKey>,
    /// Estimated number of requests in flight at the target.
    pub load: f64,
    /// Load bound of the service's targets, in requests in flight.
    pub bound: f64,
    /// Target that would have been chosen if it had room within its limit.
    pub limited: Option<TargetKey>,
}

/// Chooses targets, and tracks the popularity of prompt parts by service.
#[derive(Debug)]
pub struct Chooser {
    domain: FailureDomain,
    bound: LoadBound,
    popularity: BTreeMap<ServiceId, Popularity>,
    /// Answer times of services whose targets report no load.
    typical_times: BTreeMap<ServiceId, TypicalTime>,
}

impl Chooser {
    /// Creates a chooser for a daemon in `domain`; `bound` is the load bound of the fleet.
    #[must_use]
    pub fn new(domain: FailureDomain, bound: LoadBound) -> Self {
        Self {
            domain,
            bound,
            popularity: BTreeMap::new(),
            typical_times: BTreeMap::new(),
        }
    }

    /// Popularity of the parts of a service's requests.
    pub(crate) fn popularity(&mut self, service: &ServiceId) -> &mut Popularity {
        self.popularity.entry(service.clone()).or_default()
    }

    /// Popularity of the parts by service.
    pub(crate) fn popularities(&mut self) -> impl Iterator<Item = (&ServiceId, &mut Popularity)> {
        self.popularity.iter_mut()
    }

    /// Records the time of an answer of a target that states neither its load nor its pace, from the
    /// end of the request to the head of the answer.
    pub fn record_answer_time(
        &mut self,
        now: Moment,
        directory: &mut Directory,
        target: TargetKey,
        time: Duration,
    ) {
        let Some(known) = directory.get_mut(target) else {
            return;
        };
        let service = known.entry.service.clone();
        let typical = self.typical_times.entry(service).or_default();
        if let Some(percent) = typical.record(known.load.time_at_target(time)) {
            known.load.pace.record(now, percent);
        }
    }

    /// Chooses a target for the request in `query`.
    ///
    /// # Errors
    /// [`NoTarget`] if the service has no target that can get the request.
    pub fn choose(
        &mut self,
        now: Moment,
        directory: &Directory,
        query: &TargetQuery<'_>,
    ) -> Result<Choice, NoTarget> {
        let moves_first = self.moves_first(now, directory, query);
        let candidates = candidates(now, directory, query, moves_first);
        if let Some(part) = counted_part(query)
            && !candidates.is_empty()
        {
            let popularity = self.popularity(query.service);
            popularity.count_request(now, part.id, shared_tokens(query.parts));
        }
        self.decide(now, directory, query, &candidates).1
    }

    /// Where the request in `query` would go now, and why. Counts nothing.
    #[must_use]
    pub fn preview<'a>(
        &self,
        now: Moment,
        directory: &'a Directory,
        query: &TargetQuery<'a>,
    ) -> Preview<'a> {
        let moves_first = self.moves_first(now, directory, query);
        let candidates = candidates(now, directory, query, moves_first);
        let known = self.popularity.get(query.service);
        let mut popularity = known.cloned().unwrap_or_default();
        if let Some(part) = counted_part(query) {
            popularity.count_request(now, part.id, shared_tokens(query.parts));
        }
        let counted = Self {
            domain: self.domain.clone(),
            bound: self.bound.clone(),
            popularity: BTreeMap::from([(query.service.clone(), popularity)]),
            typical_times: BTreeMap::new(),
        };
        let (placement, choice) = counted.decide(now, directory, query, &candidates);
        let key = |position: &usize| candidates[*position].target.key;
        let is_cold =
            |position: &&usize, part| !takes_part(now, candidates[**position].target, part);
        Preview {
            targets: preview::targets(now, directory, query, &candidates, moves_first),
            placement: placement.map(|placement| PartPlacement {
                part: placement.part.id,
                homes: placement.homes,
                order: placement.order.iter().map(key).collect(),
                cold: placement
                    .order
                    .iter()
                    .filter(|position| is_cold(position, placement.part.id))
                    .map(key)
                    .collect(),
                bound: placement.bound,
            }),
            choice,
        }
    }

    /// Whether the request leaves a failure domain as soon as that is evacuated.
    fn moves_first(&self, now: Moment, directory: &Directory, query: &TargetQuery<'_>) -> bool {
        let has_evacuations = !directory.evacuations.domains().is_empty();
        has_evacuations && self.is_popular(now, directory, query)
    }

    /// Chooses a target, once the request is counted.
    fn decide<'a>(
        &self,
        now: Moment,
        directory: &Directory,
        query: &TargetQuery<'a>,
        candidates: &[Candidate<'_>],
    ) -> (Option<Placement<'a>>, Result<Choice, NoTarget>) {
        if candidates.is_empty() {
            return (None, Err(why_none(directory, query)));
        }
        let evacuated = evacuated_loads(now, directory, query, candidates);
        let bounds = self.bounds(candidates, evacuated, query.preference.bound.as_ref());
        let shared_part = placement_parts(query.parts).last();
        let placement = shared_part.map(|part| self.place(now, candidates, query, (part, bounds)));
        let choice = match &placement {
            Some(placement) => {
                self.choose_home(now, directory, candidates, query, (placement, bounds))
            }
            None => self.choose_least_loaded(candidates, query, bounds),
        };
        let choice = choice.ok_or_else(|| why_unavailable(now, candidates));
        (placement, choice)
    }

    /// Ranks the candidates as homes of a shared part.
    fn place<'a>(
        &self,
        now: Moment,
        candidates: &[Candidate<'_>],
        query: &TargetQuery<'_>,
        (part, bounds): (&'a PromptPart, Bounds),
    ) -> Placement<'a> {
        let names = candidates
            .iter()
            .map(|candidate| candidate.target.entry.id.as_str());
        let mut order = rendezvous_order(part.id, names);
        order.sort_by_key(|one| !takes_part(now, candidates[*one].target, part.id));
        let reuse_value = self.reuse_value(query);
        let bound = bounds.home_bound(query.preference.reuse_weight * reuse_value);
        Placement {
            part,
            order,
            homes: self.home_count(now, query, part, candidates.len()),
            bound,
        }
    }

    fn choose_home(
        &self,
        now: Moment,
        directory: &Directory,
        candidates: &[Candidate<'_>],
        query: &TargetQuery<'_>,
        (placement, bounds): (&Placement<'_>, Bounds),
    ) -> Option<Choice> {
        let Placement {
            part,
            ref order,
            homes,
            bound,
        } = *placement;
        let suits = |position: &&usize| {
            let candidate = &candidates[**position];
            candidate.is_usable && candidate.is_healthy && candidate.load < bound
        };
        let fits = |position: &&usize| suits(position) && candidates[**position].may_get_request();
        // Targets with limits have room at times, so that a part would be read at one after another.
        let is_limited = |position: &&usize| candidates[**position].has_limit();
        let cost = |position: &usize| self.cost(&candidates[*position]);
        let home_positions = order[..homes].iter().filter(fits);
        let chosen = home_positions
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .or_else(|| order.iter().find(|one| fits(one) && !is_limited(one)))
            .or_else(|| order.iter().find(fits))
            .copied()
            .or_else(|| least_loaded(candidates))?;
        let first_choice = order.iter().find(suits).map(|first| &candidates[*first]);
        let limited = first_choice.filter(|candidate| candidate.is_limited());
        let candidate = &candidates[chosen];
        let reason = match order.iter().position(|position| *position == chosen) {
            Some(0) => Reason::Home,
            Some(rank) if rank < homes => Reason::FurtherHome,
            _ => Reason::Spilled,
        };
        Some(Choice {
            target: candidate.target.key,
            fetch_from: Self::fetch_source(now, directory, query, part, candidate.target),
            reason,
            load: candidate.load,
            bound: bounds.max_load,
            limited: limited.map(|candidate| candidate.target.key),
        })
    }

    fn choose_least_loaded(
        &self,
        candidates: &[Candidate<'_>],
        query: &TargetQuery<'_>,
        bounds: Bounds,
    ) -> Option<Choice> {
        let names = candidates
            .iter()
            .map(|candidate| candidate.target.entry.id.as_str());
        let order = rendezvous_order(query.request, names);
        let cost = |position: &usize| self.cost(&candidates[*position]);
        let cheapest = |is_suitable: &dyn Fn(&Candidate<'_>) -> bool| {
            let suitable = order.iter().filter(|one| is_suitable(&candidates[**one]));
            suitable
                .min_by(|left, right| cost(left).total_cmp(&cost(right)))
                .copied()
        };
        let chosen = cheapest(&|one| one.may_get_request() && one.is_healthy)
            .or_else(|| least_loaded(candidates))?;
        let first_choice = cheapest(&|one| one.is_usable && one.is_healthy);
        let limited = first_choice.map(|first| &candidates[first]);
        let limited = limited.filter(|candidate| candidate.is_limited());
        Some(Choice {
            target: candidates[chosen].target.key,
            reason: Reason::LeastLoaded,
            fetch_from: None,
            load: candidates[chosen].load,
            bound: bounds.max_load,
            limited: limited.map(|candidate| candidate.target.key),
        })
    }

    /// Load of the candidate, plus a penalty if it is in another failure domain.
    fn cost(&self, candidate: &Candidate<'_>) -> f64 {
        let is_near = candidate.target.entry.domain == self.domain;
        candidate.load + if is_near { 0.0 } else { DOMAIN_COST_REQUESTS }
    }

    /// How much the reuse of the shared parts is worth, from 0 to 1, compared with the other
    /// requests of the service. A chat with a short prompt is moved at little cost, and takes as
    /// much load along as one with a long prompt.
    fn reuse_value(&self, query: &TargetQuery<'_>) -> f64 {
        let popularity = self.popularity.get(query.service);
        let mean = popularity.map_or(0.0, Popularity::mean_tokens).max(1.0);
        (f64::from(shared_tokens(query.parts)) / mean).min(1.0)
    }

    /// Number of homes that the traffic share of `part` requires.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn home_count(
        &self,
        now: Moment,
        query: &TargetQuery<'_>,
        part: &PromptPart,
        targets: usize,
    ) -> usize {
        let popularity = self.popularity.get(query.service);
        let share = popularity.map_or(0.0, |popularity| popularity.share(now, part.id));
        let homes = (share * targets as f64 / MAX_MEAN_LOADS_PER_HOME).ceil() as usize;
        homes.clamp(1, targets)
    }

    /// Whether the shared part of a request has several homes.
    #[expect(clippy::cast_precision_loss)]
    fn is_popular(&self, now: Moment, directory: &Directory, query: &TargetQuery<'_>) -> bool {
        let targets = directory.listed(query.service).count() as f64;
        let Some(part) = placement_parts(query.parts).last() else {
            return false;
        };
        let popularity = self.popularity.get(query.service);
        let share = popularity.map_or(0.0, |popularity| popularity.share(now, part.id));
        share * targets > MAX_MEAN_LOADS_PER_HOME
    }

    /// The first home of the part, other than the chosen target, among the targets that are or
    /// recently were in use and have the same software version. Nothing is transferred if its cache
    /// no longer holds the part.
    fn fetch_source(
        now: Moment,
        directory: &Directory,
        query: &TargetQuery<'_>,
        part: &PromptPart,
        chosen: &KnownTarget,
    ) -> Option<TargetKey> {
        let others = directory.with_cache(now, query.service);
        let fits = |other: &&KnownTarget| {
            other.key != chosen.key
                && other.version == chosen.version
                && directory.is_in_homes(other, &query.homes)
        };
        let mut others: Vec<&KnownTarget> = others.filter(fits).collect();
        let has_read = |other: &KnownTarget| takes_part(now, other, part.id);
        if others.iter().any(|other| has_read(other)) {
            others.retain(|other| has_read(other));
        }
        let names = others.iter().map(|other| other.entry.id.as_str());
        let first = rendezvous_first(part.id, names)?;
        Some(others[first].key)
    }

    #[expect(clippy::cast_precision_loss)]
    fn bounds(
        &self,
        candidates: &[Candidate<'_>],
        evacuated: Vec<f64>,
        override_bound: Option<&LoadBound>,
    ) -> Bounds {
        let bound = override_bound.unwrap_or(&self.bound);
        // Targets with a limit have less than an even share, which the others carry.
        let unlimited = candidates.iter().filter(|one| !one.has_limit());
        let mut loads: Vec<f64> = unlimited.map(|candidate| candidate.load).collect();
        if loads.is_empty() {
            loads = candidates.iter().map(|candidate| candidate.load).collect();
        }
        loads.extend(evacuated);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let multiple = f64::from(bound.percent) / 100.0;
        let max_load = multiple * mean + f64::from(bound.extra) - BOUND_MARGIN_REQUESTS;
        Bounds {
            mean,
            max_load: max_load.max(1.0),
        }
    }
}

/// Loads of the evacuated targets that are no candidates. They count in the mean load of the service,
/// to which the load bound of the others is relative.
fn evacuated_loads(
    now: Moment,
    directory: &Directory,
    query: &TargetQuery<'_>,
    candidates: &[Candidate<'_>],
) -> Vec<f64> {
    let is_candidate = |key| candidates.iter().any(|one| one.target.key == key);
    let evacuated = directory
        .listed(query.service)
        .filter(|target| directory.is_evacuated(target) && !is_candidate(target.key));
    evacuated
        .map(|target| target.load.estimate(now, 0.0))
        .collect()
}

/// The part by which a request is counted, once for all of its permits.
fn counted_part<'a>(query: &TargetQuery<'a>) -> Option<&'a PromptPart> {
    let part = placement_parts(query.parts).last();
    part.filter(|_| query.permits_denied == 0)
}

/// The parts of a prompt that other requests may share: all but the last.
#[must_use]
pub fn shared_prompt_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// The parts by which a request is placed: the shared ones, or the only one.
pub(super) fn placement_parts(parts: &[PromptPart]) -> &[PromptPart] {
    match parts {
        [] | [_] => parts,
        _ => shared_prompt_parts(parts),
    }
}

fn shared_tokens(parts: &[PromptPart]) -> u32 {
    let tokens = placement_parts(parts).iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}
