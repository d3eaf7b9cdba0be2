//! Picks the target of a request.
//!
//! A request that shares parts of its prompt goes to the home of its longest shared part, which
//! every daemon works out alike. It goes to a later home when the first is above its bound, cannot
//! be reached, or when the part draws so much of the traffic that one target cannot carry it. All
//! other requests go where least is in flight.

use std::collections::BTreeMap;

use crate::clock::Moment;
use crate::ids::{FailureDomain, ServiceId, TargetKey};
use crate::membership::{Directory, KnownTarget};
use crate::routing::popularity::Popularity;
use crate::routing::rendezvous::{rendezvous_first, rendezvous_order};

/// Kept free below the load bound for requests of other daemons that are not seen yet.
const BOUND_MARGIN: f64 = 2.0;
/// Share of an even load per target that one part may bring before it gets a second home.
const LOAD_PER_HOME: f64 = 1.0;
/// Requests from which on the shares of parts are trusted.
const MIN_SAMPLE: f64 = 12.0;
/// Requests more that a target of another failure domain must have less, to be preferred.
const DOMAIN_WORTH: f64 = 1.0;

value! {
    /// A part of a prompt.
    pub struct PromptPart {
        /// Name of the part; the same text has the same name.
        pub id: u64,
        /// Length.
        pub tokens: u32,
    }

    /// Load that a target may have, against the mean of its service.
    pub struct LoadBound {
        /// Multiple of the mean, in percent.
        pub percent: u32,
        /// Requests beside the multiple.
        pub extra: u32,
    }

    /// Why a target was chosen.
    pub enum Reason {
        /// It is the home of the request's shared part.
        Home,
        /// It is a further home of a part that draws much traffic.
        FurtherHome,
        /// The homes before it could not take the request.
        Spilled,
        /// It has the least in flight.
        LeastLoaded,
    }

    /// Why no target was chosen.
    pub enum NoTarget {
        /// The service has no target that may get requests.
        NoneInUse,
        /// All that may get requests were tried or cannot be reached.
        NoneReachable,
    }
}

/// What is asked for.
#[derive(Debug, Clone)]
pub struct TargetQuery<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Parts of the prompt, in order; empty for plain services. The last is the request's own.
    pub parts: &'a [PromptPart],
    /// Hash of the request, which spreads requests of equal standing.
    pub request: u64,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetKey],
    /// Whether one of these may get it again if there is no other: it answered, with a failure.
    pub may_repeat_target: bool,
    /// How reuse of caches and even load are weighed.
    pub preference: Preference,
}

/// How reuse of caches and even load are weighed.
#[derive(Debug, Clone, PartialEq)]
pub struct Preference {
    /// From 0, where a request goes to the least loaded target, to 1, where it goes to its home up to
    /// the load bound.
    pub reuse_weight: f64,
    /// Bound that goes before the fleet's.
    pub bound: Option<LoadBound>,
}

impl Default for Preference {
    fn default() -> Self {
        Self {
            reuse_weight: 1.0,
            bound: None,
        }
    }
}

/// Load of a service, in requests in flight at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Bounds {
    mean: f64,
    /// The greatest load before requests go elsewhere.
    most: f64,
}

impl Bounds {
    /// The load up to which a home is preferred.
    fn at_home(&self, reuse_weight: f64) -> f64 {
        let spread = (self.most - self.mean).max(0.0);
        self.mean.min(self.most) + reuse_weight * spread
    }
}

/// The target of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Target.
    pub target: TargetKey,
    /// Why.
    pub reason: Reason,
    /// Target that keeps parts of the prompt which the chosen one lacks.
    pub fetch_from: Option<TargetKey>,
    /// Requests in flight at the target, as far as is known.
    pub load: f64,
    /// Requests that it may have in flight.
    pub bound: f64,
}

/// Picks targets and keeps what that takes.
#[derive(Debug)]
pub struct Chooser {
    domain: FailureDomain,
    bound: LoadBound,
    popularity: BTreeMap<ServiceId, Popularity>,
}

struct Candidate<'a> {
    target: &'a KnownTarget,
    load: f64,
    is_usable: bool,
    is_sound: bool,
}

impl Chooser {
    /// A chooser for a daemon in `domain`.
    #[must_use]
    pub fn new(domain: FailureDomain, bound: LoadBound) -> Self {
        Self {
            domain,
            bound,
            popularity: BTreeMap::new(),
        }
    }

    /// Picks a target.
    ///
    /// # Errors
    /// [`NoTarget`] when there is none to send the request to.
    pub fn choose(
        &mut self,
        now: Moment,
        directory: &Directory,
        demand: &TargetQuery<'_>,
    ) -> Result<Choice, NoTarget> {
        let candidates = candidates(now, directory, demand);
        if candidates.is_empty() {
            return Err(NoTarget::NoneInUse);
        }
        let bounds = self.bounds(&candidates, demand.preference.bound.as_ref());
        let shared_part = shared(demand.parts).last();
        let choice = match shared_part {
            Some(part) => self.choose_home(now, directory, &candidates, demand, (part, bounds)),
            None => self.choose_least(&candidates, demand, bounds),
        };
        choice.ok_or(NoTarget::NoneReachable)
    }

    fn choose_home(
        &mut self,
        now: Moment,
        directory: &Directory,
        candidates: &[Candidate<'_>],
        demand: &TargetQuery<'_>,
        (part, bounds): (&PromptPart, Bounds),
    ) -> Option<Choice> {
        let names = candidates.iter().map(|one| one.target.entry.id.as_str());
        let order = rendezvous_order(part.id, names);
        let homes = self.homes_wanted(now, demand, part, candidates.len());
        let bound = bounds.at_home(demand.preference.reuse_weight);
        let fits = |position: &&usize| {
            let one = &candidates[**position];
            one.is_usable && one.is_sound && one.load < bound
        };
        let cost = |position: &usize| self.cost(&candidates[*position]);
        let near = order[..homes].iter().filter(fits);
        let chosen = near
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .or_else(|| order.iter().find(fits))
            .copied()
            .or_else(|| least_loaded(candidates))?;
        let one = &candidates[chosen];
        let reason = match order.iter().position(|position| *position == chosen) {
            Some(0) => Reason::Home,
            Some(rank) if rank < homes => Reason::FurtherHome,
            _ => Reason::Spilled,
        };
        Some(Choice {
            target: one.target.key,
            fetch_from: Self::fetch_source(now, directory, demand.service, part, one.target.key),
            reason,
            load: one.load,
            bound: bounds.most,
        })
    }

    fn choose_least(
        &self,
        candidates: &[Candidate<'_>],
        demand: &TargetQuery<'_>,
        bounds: Bounds,
    ) -> Option<Choice> {
        let names = candidates.iter().map(|one| one.target.entry.id.as_str());
        let order = rendezvous_order(demand.request, names);
        let is_fit = |position: &&usize| {
            let one = &candidates[**position];
            one.is_usable && one.is_sound
        };
        let cost = |position: &usize| self.cost(&candidates[*position]);
        let chosen = order
            .iter()
            .filter(is_fit)
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .copied()
            .or_else(|| least_loaded(candidates))?;
        Some(Choice {
            target: candidates[chosen].target.key,
            reason: Reason::LeastLoaded,
            fetch_from: None,
            load: candidates[chosen].load,
            bound: bounds.most,
        })
    }

    /// Load, with what it costs to leave the failure domain.
    fn cost(&self, candidate: &Candidate<'_>) -> f64 {
        let is_near = candidate.target.entry.domain == self.domain;
        candidate.load + if is_near { 0.0 } else { DOMAIN_WORTH }
    }

    /// Homes that a part needs, from its share of the traffic.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn homes_wanted(
        &mut self,
        now: Moment,
        demand: &TargetQuery<'_>,
        part: &PromptPart,
        targets: usize,
    ) -> usize {
        let popularity = self.popularity.entry(demand.service.clone()).or_default();
        let share = popularity.count(now, part.id);
        if popularity.sample_size(now) < MIN_SAMPLE {
            return 1;
        }
        let homes = (share * targets as f64 / LOAD_PER_HOME).ceil() as usize;
        homes.clamp(1, targets)
    }

    /// The home that the part has, or lately had, beside the chosen one. Nothing moves if that one
    /// keeps nothing more.
    fn fetch_source(
        now: Moment,
        directory: &Directory,
        service: &str,
        part: &PromptPart,
        chosen: TargetKey,
    ) -> Option<TargetKey> {
        let others = directory.with_cache(now, service);
        let others: Vec<&KnownTarget> = others.filter(|other| other.key != chosen).collect();
        let names = others.iter().map(|other| other.entry.id.as_str());
        let first = rendezvous_first(part.id, names)?;
        Some(others[first].key)
    }

    #[expect(clippy::cast_precision_loss)]
    fn bounds(&self, candidates: &[Candidate<'_>], own: Option<&LoadBound>) -> Bounds {
        let bound = own.unwrap_or(&self.bound);
        let total: f64 = candidates.iter().map(|one| one.load).sum();
        let mean = total / candidates.len() as f64;
        let multiple = f64::from(bound.percent) / 100.0;
        let most = multiple * mean + f64::from(bound.extra) - BOUND_MARGIN;
        Bounds {
            mean,
            most: most.max(1.0),
        }
    }
}

/// The parts that other requests may share: all but the last.
fn shared(parts: &[PromptPart]) -> &[PromptPart] {
    match parts {
        [] | [_] => parts,
        [shared @ .., _] => shared,
    }
}

fn least_loaded(candidates: &[Candidate<'_>]) -> Option<usize> {
    let usable = |position: &usize| candidates[*position].is_usable;
    (0..candidates.len())
        .filter(usable)
        .min_by(|left, right| candidates[*left].load.total_cmp(&candidates[*right].load))
}

fn candidates<'a>(
    now: Moment,
    directory: &'a Directory,
    demand: &TargetQuery<'a>,
) -> Vec<Candidate<'a>> {
    let targets: Vec<&KnownTarget> = directory.in_use(demand.service).collect();
    let fresh = targets
        .iter()
        .filter_map(|target| target.load.fresh_others(now));
    let (sum, count) = fresh.fold((0_u32, 0_u32), |(sum, count), one| (sum + one, count + 1));
    let typical_others = f64::from(sum) / f64::from(count.max(1));
    let is_fresh =
        |target: &KnownTarget| target.breaker.is_closed(now) && !demand.tried.contains(&target.key);
    let has_fresh = targets.iter().any(|target| is_fresh(target));
    let may_repeat = demand.may_repeat_target && !has_fresh;
    let is_reached =
        |target: &KnownTarget| is_fresh(target) || (may_repeat && target.breaker.is_closed(now));
    let to_candidate = |target: &'a KnownTarget| Candidate {
        load: target.load.estimate(now, typical_others),
        is_usable: is_reached(target),
        is_sound: !target.breaker.is_failing(now),
        target,
    };
    targets.into_iter().map(to_candidate).collect()
}
