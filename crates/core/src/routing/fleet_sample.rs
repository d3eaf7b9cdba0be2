//! What the daemons of a large fleet see together.
//!
//! Load pattern: hundreds of daemons with a few requests per second each send the same shared parts
//! to the same targets. A daemon alone gets an answer of a target every half minute and sees a part
//! once in minutes, so it knows neither the load of a home nor which parts are popular.
//!
//! Each daemon therefore sends its new observations to a daemon that collects them for some dozens
//! of others, and gets the merged sample back. A daemon whose collector fails decides by its own
//! observations until it has another one.

use std::time::Duration;

use crate::admission::target_limits::{LimitChange, LimitNotice, TargetLimit};
use crate::clock::Moment;
use crate::ids::{ServiceId, TargetId, hash_parts};
use crate::membership::{Directory, KnownTarget, TargetIncarnation};
use crate::routing::choice::Chooser;
use crate::routing::pace::{PacePercent, PaceView};
use crate::routing::popularity::{PartRequests, PartShare};
use crate::stream::StreamOrigin;

/// Longest list of loads in one message; the freshest ones are kept. With 8 bytes each, once per
/// [`EXCHANGE_INTERVAL`], they take two thirds of the 6 KB/s that control may cost a daemon.
const MAX_LOADS: usize = 128;
/// Longest list of popular parts of a service in one message; the most popular ones are kept.
const MAX_PARTS: usize = 32;
/// Longest list of limits in one message; those that changed last are kept. The others are learned
/// from the targets' answers, and with permits.
const MAX_LIMITS: usize = 64;
/// Age above which a report is not passed on: the load has changed since.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Time between two exchanges. Most requests are in flight for longer, so that a load seldom
/// changes much in between.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two exchanges of collectors, most of which cross failure domains, where traffic
/// costs more.
pub const COLLECTOR_INTERVAL: Duration = Duration::from_millis(500);

/// Hash of an incarnation of a target, equal at all daemons. Two targets with the same hash get
/// each other's loads, which makes choices among them worse, but not wrong.
pub type TargetHash = u32;
/// Hash of the name of a service, equal at all daemons.
pub type ServiceHash = u32;

value! {
    /// Load that a target reported.
    pub struct TargetLoad {
        /// The target.
        pub target: TargetHash,
        /// Its requests, running and waiting; zero if it reports none, and only its pace is known.
        pub requests: u32,
        /// Age of the report.
        pub age: Duration,
        /// Time that work takes there now, in percent of the usual, if it is known.
        pub pace_percent: Option<u16>,
    }

    /// New observations of one daemon.
    #[derive(Default)]
    pub struct Observations {
        /// Loads that targets reported to it.
        pub loads: Vec<TargetLoad>,
        /// Requests that it got, by service and part.
        pub requests: Vec<(ServiceHash, Vec<PartRequests>)>,
        /// Limits of targets that have changed.
        pub limits: Vec<TargetLimit>,
        /// Unfinished streams, to be written to the store.
        pub streams: Vec<StreamOrigin>,
    }

    /// Merged observations of several daemons.
    #[derive(Default)]
    pub struct FleetSample {
        /// Loads that targets reported.
        pub loads: Vec<TargetLoad>,
        /// Parts that need more than one home, by service.
        pub popular: Vec<(ServiceHash, Vec<PartShare>)>,
        /// Limits of targets that have changed.
        pub limits: Vec<TargetLimit>,
    }
}

/// What this daemon has observed itself after `since`.
pub fn take_observations(
    now: Moment,
    since: Moment,
    directory: &Directory,
    chooser: &mut Chooser,
) -> Observations {
    let requests = chooser.popularities().filter_map(|(service, popularity)| {
        let requests = popularity.take_unmerged();
        (!requests.is_empty()).then(|| (service_hash(service), requests))
    });
    Observations {
        requests: requests.collect(),
        loads: loads(now, since, directory, Origin::Own),
        limits: changed_limits(now, since, directory),
        streams: Vec::new(),
    }
}

/// What a collector tells another one: the loads that reached it after `since`. Requests are left
/// out, because those of its own failure domain are a representative sample, and would be counted
/// more than once if they were passed on.
#[must_use]
pub fn collected_observations(now: Moment, since: Moment, directory: &Directory) -> Observations {
    Observations {
        requests: Vec::new(),
        loads: loads(now, since, directory, Origin::Any),
        limits: changed_limits(now, since, directory),
        streams: Vec::new(),
    }
}

/// Merges what another daemon has observed.
pub fn merge_observations(
    now: Moment,
    observations: &Observations,
    directory: &mut Directory,
    chooser: &mut Chooser,
) {
    merge_loads(
        now,
        &observations.loads,
        directory,
        PaceView::record_relayed,
    );
    for (service, requests) in &observations.requests {
        if let Some(service) = service_by_hash(directory, *service) {
            chooser.popularity(&service).merge(now, requests);
        }
    }
}

/// What this daemon knows from its own observations and merged ones: the loads that reached it
/// after `since`, and all popular parts.
pub fn fleet_sample(
    now: Moment,
    since: Moment,
    directory: &Directory,
    chooser: &mut Chooser,
) -> FleetSample {
    let popular = chooser.popularities().map(|(service, popularity)| {
        let targets = u32::try_from(directory.in_use(service).count()).unwrap_or(u32::MAX);
        let mut shares = popularity.shares_above(now, 0.5 / f64::from(targets.max(1)));
        shares.sort_by_key(|share| std::cmp::Reverse(share.millionths));
        shares.truncate(MAX_PARTS);
        (service_hash(service), shares)
    });
    FleetSample {
        popular: popular.collect(),
        loads: loads(now, since, directory, Origin::Any),
        limits: changed_limits(now, since, directory),
    }
}

/// Applies a sample that another daemon has merged.
pub fn apply_sample(
    now: Moment,
    sample: FleetSample,
    directory: &mut Directory,
    chooser: &mut Chooser,
) {
    merge_loads(now, &sample.loads, directory, PaceView::record_merged);
    for (service, shares) in sample.popular {
        if let Some(service) = service_by_hash(directory, service) {
            chooser.popularity(&service).set_fleet_shares(now, shares);
        }
    }
}

/// Name of an incarnation of a target in messages between daemons.
#[must_use]
pub fn target_hash(target: &TargetIncarnation) -> TargetHash {
    let started = target.started_unix_ms.to_le_bytes();
    low_bits(hash_parts(&[target.id.as_bytes(), &started]))
}

fn service_hash(service: &ServiceId) -> ServiceHash {
    low_bits(hash_parts(&[service.as_bytes()]))
}

#[expect(clippy::cast_possible_truncation)]
fn low_bits(hash: u64) -> u32 {
    hash as u32
}

/// Whose observations are told.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// Those of this daemon.
    Own,
    /// Those of other daemons too.
    Any,
}

fn loads(now: Moment, since: Moment, directory: &Directory, origin: Origin) -> Vec<TargetLoad> {
    let is_told = |is_own: bool| is_own || origin == Origin::Any;
    let to_load = |target: &KnownTarget| {
        let view = &target.load;
        let report = view.report_since(since);
        let report = report.filter(|_| is_told(view.is_own_report()));
        let pace = match origin {
            Origin::Own => view.pace.own_since(since),
            Origin::Any => view.pace.merged_since(since),
        };
        let pace_percent = pace.map(|(percent, _)| percent);
        let pace_only = || pace.map(|(_, observed_at)| (0, observed_at));
        let (requests, observed_at) = report.or_else(pace_only)?;
        Some(TargetLoad {
            target: target.hash,
            requests,
            age: now.saturating_sub(observed_at),
            pace_percent,
        })
    };
    let mut loads: Vec<TargetLoad> = directory
        .targets()
        .iter()
        .filter_map(to_load)
        .filter(|load| load.age < MAX_REPORT_AGE)
        .collect();
    loads.sort_by_key(|load| load.age);
    loads.truncate(MAX_LOADS);
    loads
}

/// The limits that have changed at this daemon after `since`, and the targets that turned cold.
fn changed_limits(now: Moment, since: Moment, directory: &Directory) -> Vec<TargetLimit> {
    let changed = directory.targets().iter().filter_map(|target| {
        let notice = target.limit.changed_since(since)?;
        Some(TargetLimit::told(now, target.hash, &notice))
    });
    let mut limits: Vec<TargetLimit> = changed.collect();
    let targets = directory.targets().iter();
    let changed = targets.filter(|target| target.warmth.has_changed_since(since));
    limits.extend(changed.filter_map(|target| TargetLimit::of_cold(now, target)));
    limits.sort_by_key(|limit| limit.age);
    limits.truncate(MAX_LIMITS);
    limits
}

/// Merges what another daemon told of cold targets. Returns those that were not known to be cold, or
/// not for so long, and for how long they stay cold.
pub fn merge_cold_targets(
    now: Moment,
    limits: &[TargetLimit],
    directory: &mut Directory,
) -> Vec<(TargetId, Duration)> {
    let mut changes = Vec::new();
    for limit in limits.iter().filter(|limit| !limit.cold_left.is_zero()) {
        let told_at = limit.cold_told_at(now);
        directory.for_each_warmth(limit.target, |warmth, id| {
            if warmth.record(now, told_at, limit.cold_left) {
                changes.push((id.clone(), limit.cold_left));
            }
        });
    }
    changes
}

/// Merges limits that another daemon told. Returns what has changed here.
pub fn merge_limits(
    now: Moment,
    limits: &[TargetLimit],
    directory: &mut Directory,
) -> Vec<(TargetId, LimitChange)> {
    let notices = limits.iter();
    let notices = notices.filter_map(|limit| Some((limit.target, limit.limit_notice(now)?)));
    let mut sorted: Vec<(TargetHash, LimitNotice)> = notices.collect();
    sorted.sort_by_key(|(target, _)| *target);
    let mut changes = Vec::new();
    directory.for_each_limit(|target, view, id| {
        if let Ok(position) = sorted.binary_search_by_key(&target, |(known, _)| *known)
            && let Some(change) = view.record(now, sorted[position].1)
        {
            changes.push((id.clone(), change));
        }
    });
    changes
}

fn merge_loads(
    now: Moment,
    loads: &[TargetLoad],
    directory: &mut Directory,
    record_pace: impl Fn(&mut PaceView, Moment, Moment, PacePercent),
) {
    let mut sorted: Vec<&TargetLoad> = loads.iter().collect();
    sorted.sort_by_key(|load| load.target);
    directory.for_each_load(|target, view| {
        if let Ok(position) = sorted.binary_search_by_key(&target, |load| load.target) {
            let load = sorted[position];
            let observed_at = now.saturating_sub(load.age);
            if load.requests > 0 || load.pace_percent.is_none() {
                view.record_relayed_report(now, observed_at, load.requests);
            }
            if let Some(percent) = load.pace_percent {
                record_pace(&mut view.pace, now, observed_at, percent);
            }
        }
    });
}

fn service_by_hash(directory: &Directory, hash: ServiceHash) -> Option<ServiceId> {
    let mut services = directory.targets().iter().map(|one| &one.entry.service);
    services
        .find(|service| service_hash(service) == hash)
        .cloned()
}
