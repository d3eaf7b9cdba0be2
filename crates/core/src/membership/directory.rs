//! Targets known to this daemon, and its own observations of each.
//!
//! A target is listed while its entry is in the store, in use while it gets new requests, and known
//! while it is in the directory. A target that left stays known for a while.

use std::net::SocketAddr;
use std::time::Duration;

use crate::admission::{LimitView, RequestRate};
use crate::clock::Moment;
use crate::ids::{ServiceId, TargetId, TargetKey, VersionHash, version_hash};
use crate::membership::entry::{TargetEntry, TargetIncarnation, TargetState};
use crate::membership::evacuation::Evacuations;
use crate::membership::warmth::{Coldness, Warmth};
use crate::retry::{Breaker, Pause};
use crate::routing::fleet_sample::{TargetHash, target_hash};
use crate::routing::home_regions::{Homes, Regions};
use crate::routing::{ColdLimit, LoadView};

/// Shortest store outage after which the entries of live targets may have expired: one heartbeat
/// interval of a target.
const EXPIRY_OUTAGE: Duration = Duration::from_secs(1);
/// Time after the store's recovery within which live targets are listed again.
const RELIST_GRACE: Duration = Duration::from_millis(1_800);

/// Whether a target gets new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is listed and gets new requests.
    InUse,
    /// It is draining or gone. Requests in flight may finish there.
    Leaving,
    /// Its entry was removed shortly after an outage of the store, so it may only have expired. The
    /// target may still be alive and stays in use.
    Missing,
}

/// One incarnation of a target and its state at this daemon.
#[derive(Debug, Clone)]
pub struct KnownTarget {
    /// Key of this incarnation of the target.
    pub key: TargetKey,
    /// Names this incarnation in messages between daemons.
    pub hash: TargetHash,
    /// Latest entry in the store.
    pub entry: TargetEntry,
    /// Names the software version in messages between daemons. Invariant: the hash of the entry's
    /// version.
    pub version: VersionHash,
    /// Whether the target gets new requests.
    pub standing: Standing,
    /// Circuit breaker fed by this daemon's own attempts.
    pub breaker: Breaker,
    /// Pause that the target asked for.
    pub pause: Pause,
    /// Limit that the target names.
    pub limit: LimitView,
    /// How warm the target is.
    pub warmth: Warmth,
    /// Limit while it is cold, by the configuration of its service.
    pub cold_limit: Option<ColdLimit>,
    /// Whether [`Directory::warmth_changes`] last reported the target as cold.
    is_reported_cold: bool,
    /// Load as this daemon estimates it.
    pub load: LoadView,
    /// When this daemon last received data from the target.
    pub last_received_at: Moment,
    /// When this daemon learned of the incarnation.
    known_since: Moment,
    /// When the target became [`Standing::Leaving`].
    left_at: Option<Moment>,
}

/// Effect of [`Directory::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// No change to whether the target gets requests.
    Same,
    /// The target is new.
    Added,
    /// A new incarnation replaced a known one. Its requests in flight and its cache are lost.
    Restarted,
    /// The target started to drain.
    Leaving,
    /// The target was leaving or missing and is listed as ready again.
    Returned,
}

/// A target has turned cold or warm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmthChange {
    /// The target.
    pub target: TargetId,
    /// For how long it stays cold, and how that is known; `None` if it is warm now.
    pub cold: Option<(Duration, Coldness)>,
}

/// Known targets, listed or not.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// Invariant: sorted by id.
    targets: Vec<KnownTarget>,
    last_key: TargetKey,
    /// Incarnations that said in an answer that they leave. The store may list them as ready for
    /// longer, or again after it was restored. Invariant: sorted; at most [`MAX_SAID_LEAVING`]
    /// long.
    said_leaving: Vec<(TargetIncarnation, SocketAddr, Moment)>,
    /// Limits of cold targets. Invariant: sorted by service.
    cold_limits: Vec<(ServiceId, ColdLimit)>,
    /// Targets whose entries cannot be parsed. Invariant: sorted; at most [`MAX_UNREADABLE`] long.
    unreadable: Vec<TargetId>,
    /// End of the grace period for entries that expired during an outage of the store.
    relisting_until: Option<Moment>,
    /// Failure domains whose targets get no requests.
    pub evacuations: Evacuations,
    regions: Regions,
}

/// Maximum number of incarnations whose announced end is remembered; the oldest one is forgotten.
const MAX_SAID_LEAVING: usize = 1_024;
/// Maximum number of targets whose unreadable entries are remembered, and reported.
const MAX_UNREADABLE: usize = 256;
/// Minimum time for which a leaving target keeps running to finish its requests.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which a leaving target stays in the directory. Its streams may continue, and its cache
/// can be fetched until it exits.
const LEAVING_RETENTION: Duration = Duration::from_secs(30);

impl Directory {
    /// A directory without targets. An evacuation must be complete within `evacuate_within`.
    #[must_use]
    pub fn new(regions: Regions, evacuate_within: Duration) -> Self {
        Self {
            evacuations: Evacuations::new(evacuate_within),
            regions,
            ..Self::default()
        }
    }

    /// The regions of the failure domains.
    #[must_use]
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Whether a target is in one of the home regions.
    #[must_use]
    pub fn is_in_homes(&self, target: &KnownTarget, homes: &Homes<'_>) -> bool {
        homes.are_everywhere() || homes.allow(self.regions.of(&target.entry.domain))
    }

    /// Whether the target's failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, target: &KnownTarget) -> bool {
        self.evacuations.contains(&target.entry.domain)
    }

    /// Whether no request may be sent to a target any more because its failure domain is evacuated.
    #[must_use]
    pub fn has_been_left(&self, now: Moment, key: TargetKey) -> bool {
        self.get(key)
            .is_some_and(|target| self.evacuations.has_left(now, &target.entry.domain))
    }

    /// Targets of a service that are not leaving, those of evacuated failure domains included.
    pub fn listed<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownTarget> {
        self.targets.iter().filter(move |target| {
            target.entry.service == service && target.standing != Standing::Leaving
        })
    }

    /// All known targets, sorted by id.
    #[must_use]
    pub fn targets(&self) -> &[KnownTarget] {
        &self.targets
    }

    /// Known incarnation of a target with this key; `None` if it was replaced or removed.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&KnownTarget> {
        self.targets.iter().find(|target| target.key == key)
    }

    /// Mutable form of [`Directory::get`].
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut KnownTarget> {
        self.targets.iter_mut().find(|target| target.key == key)
    }

    /// Calls `change` with the load of each known target.
    pub fn for_each_load(&mut self, mut change: impl FnMut(TargetHash, &mut LoadView)) {
        for target in &mut self.targets {
            change(target.hash, &mut target.load);
        }
    }

    /// Calls `change` with the limit of each known target.
    pub fn for_each_limit(
        &mut self,
        mut change: impl FnMut(TargetHash, &mut LimitView, &TargetId),
    ) {
        for target in &mut self.targets {
            change(target.hash, &mut target.limit, &target.entry.id);
        }
    }

    /// Calls `change` with the warmth of the known targets that messages between daemons call `hash`.
    pub fn for_each_warmth(
        &mut self,
        hash: TargetHash,
        mut change: impl FnMut(&mut Warmth, &TargetId),
    ) {
        for target in self.targets.iter_mut().filter(|one| one.hash == hash) {
            change(&mut target.warmth, &target.entry.id);
        }
    }

    /// Replaces the limits of cold targets.
    pub fn set_cold_limits(&mut self, mut limits: Vec<(ServiceId, ColdLimit)>) {
        limits.sort_by(|left, right| left.0.cmp(&right.0));
        self.cold_limits = limits;
        for target in &mut self.targets {
            target.cold_limit = cold_limit(&self.cold_limits, &target.entry.service);
        }
    }

    /// Records that the targets of a failure domain may have become cold unseen.
    pub fn domain_may_be_cold(&mut self, now: Moment, domain: &str) {
        let targets = self.targets.iter_mut();
        for target in targets.filter(|target| target.entry.domain == domain) {
            if let Some(limit) = target.cold_limit {
                target.warmth.record_possibly_cold(now, limit.start);
            }
        }
    }

    /// Targets that have turned cold or warm since the last call, and the number of cold ones.
    pub fn warmth_changes(&mut self, now: Moment) -> (Vec<WarmthChange>, usize) {
        let mut changes = Vec::new();
        let mut cold_targets = 0;
        for target in &mut self.targets {
            let cold = target.cold_rate(now);
            cold_targets += usize::from(cold.is_some());
            if cold.is_some() != target.is_reported_cold {
                target.is_reported_cold = cold.is_some();
                let left = target.cold_left(now);
                changes.push(WarmthChange {
                    target: target.entry.id.clone(),
                    cold: cold.map(|(_, coldness)| (left, coldness)),
                });
            }
        }
        (changes, cold_targets)
    }

    /// Known target that messages between daemons call `hash`.
    #[must_use]
    pub fn find_by_hash(&self, hash: TargetHash) -> Option<&KnownTarget> {
        self.targets.iter().find(|target| target.hash == hash)
    }

    /// Known target with this id, in its latest incarnation.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&KnownTarget> {
        let position = self.position(id).ok()?;
        Some(&self.targets[position])
    }

    /// Whether this incarnation of a target is listed, or may be listed again after an outage of
    /// the store.
    #[must_use]
    pub fn is_listed(&self, target: &TargetIncarnation) -> bool {
        self.find(&target.id).is_some_and(|known| {
            known.standing != Standing::Leaving && known.entry.incarnation() == *target
        })
    }

    /// Whether a target announced its end, so that it exits as planned: it is draining, or its
    /// entry was removed and it kept running for the time that leaving targets have.
    #[must_use]
    pub fn is_exit_planned(&self, now: Moment, key: TargetKey) -> bool {
        self.get(key).is_some_and(|target| {
            let is_past_drain = |at| now.saturating_sub(at) >= MIN_DRAIN_TIME;
            target.entry.state == TargetState::Draining || target.left_at.is_some_and(is_past_drain)
        })
    }

    /// Targets of a service that get new requests.
    pub fn in_use<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownTarget> {
        self.listed(service)
            .filter(|target| !self.is_evacuated(target))
    }

    /// Targets of a service whose cache can be fetched: those in use, and those that started
    /// leaving so recently that they still run. The circuit breaker must be closed.
    pub fn with_cache<'a>(
        &'a self,
        now: Moment,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownTarget> {
        self.targets.iter().filter(move |target| {
            let left_at = target.left_at;
            let may_run = left_at.is_none_or(|at| now.saturating_sub(at) < MIN_DRAIN_TIME);
            target.entry.service == service && may_run && target.breaker.is_closed(now)
        })
    }

    /// Applies the current entry of a target in the store.
    pub fn apply(&mut self, now: Moment, entry: TargetEntry) -> DirectoryChange {
        self.forget_unreadable(&entry.id);
        let position = match self.position(&entry.id) {
            Ok(position) => position,
            Err(position) => {
                let target = self.new_target(now, entry);
                self.targets.insert(position, target);
                return DirectoryChange::Added;
            }
        };
        if self.targets[position].is_other_incarnation(&entry) {
            self.targets[position] = self.new_target(now, entry);
            return DirectoryChange::Restarted;
        }
        let said_leaving = self.has_said_leaving(&entry);
        self.targets[position].update(now, entry, said_leaving)
    }

    /// Marks targets as leaving that are still listed although the new target `id` has their address:
    /// they have ended, and their entries have not expired yet. Of two that became known at the same
    /// time, it is not known which one has ended. Returns the incarnations.
    pub fn end_predecessors(&mut self, now: Moment, id: &str) -> Vec<TargetIncarnation> {
        let Some(address) = self.find(id).map(|target| target.entry.address) else {
            return Vec::new();
        };
        let targets = self.targets.iter_mut();
        let predecessors = targets.filter(|target| {
            let is_older = target.known_since < now;
            is_older && target.entry.address == address && target.entry.id.as_str() != id
        });
        let ended = predecessors.filter_map(|target| {
            let incarnation = target.entry.incarnation();
            target.leave(now).then_some(incarnation)
        });
        ended.collect()
    }

    /// Applies the removal of an entry from the store. Returns the target unless it is unknown or
    /// was already leaving.
    pub fn remove(&mut self, now: Moment, id: &str) -> Option<&KnownTarget> {
        self.forget_unreadable(id);
        let position = self.position(id).ok()?;
        let may_have_expired = self.relisting_until.is_some_and(|until| now < until);
        let target = &mut self.targets[position];
        if target.standing == Standing::Leaving {
            return None;
        }
        if may_have_expired {
            target.standing = Standing::Missing;
        } else {
            target.leave(now);
        }
        Some(target)
    }

    /// Marks a target as leaving because its entry cannot be parsed. Returns whether that changed
    /// its standing.
    pub fn reject(&mut self, now: Moment, id: &str) -> bool {
        let Ok(position) = self.position(id) else {
            return false;
        };
        self.targets[position].leave(now)
    }

    /// Records that the entry of a target, known or not, cannot be parsed. Returns whether it is the
    /// first such entry since the last one that was parsed, or removed.
    pub fn record_unreadable(&mut self, id: &str) -> bool {
        let found = self.unreadable.binary_search_by(|one| one.as_str().cmp(id));
        match found {
            Err(position) if self.unreadable.len() < MAX_UNREADABLE => {
                self.unreadable.insert(position, id.into());
                true
            }
            _ => false,
        }
    }

    fn forget_unreadable(&mut self, id: &str) {
        self.unreadable.retain(|one| one.as_str() != id);
    }

    /// Records that a target said in an answer that it leaves. This holds for its incarnation,
    /// whatever the store lists. Returns whether that changed its standing.
    pub fn record_said_leaving(&mut self, now: Moment, key: TargetKey) -> bool {
        let Some(position) = self.targets.iter().position(|target| target.key == key) else {
            return false;
        };
        let entry = &self.targets[position].entry;
        let (incarnation, address) = (entry.incarnation(), entry.address);
        if let Err(position) = self.search_said_leaving(&incarnation, address) {
            self.said_leaving
                .insert(position, (incarnation, address, now));
        }
        if self.said_leaving.len() > MAX_SAID_LEAVING {
            let oldest = self.said_leaving.iter().enumerate();
            if let Some((oldest, _)) = oldest.min_by_key(|(_, (_, _, at))| *at) {
                self.said_leaving.remove(oldest);
            }
        }
        self.targets[position].leave(now)
    }

    fn search_said_leaving(
        &self,
        incarnation: &TargetIncarnation,
        address: SocketAddr,
    ) -> Result<usize, usize> {
        self.said_leaving
            .binary_search_by(|(known, at, _)| (known, at).cmp(&(incarnation, &address)))
    }

    /// Records that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Moment, outage: Duration) {
        if outage >= EXPIRY_OUTAGE {
            self.relisting_until = Some(now + RELIST_GRACE);
        }
    }

    /// Records that the store was restored from a copy some seconds old. Entries that were written
    /// since are missing until their targets write them again.
    pub fn store_restored(&mut self, now: Moment) {
        self.relisting_until = Some(now + RELIST_GRACE);
    }

    /// Applies an entry from the first list after the store was restored. The copy may still list a
    /// target that left since as ready, so that it does not bring any back into use.
    pub fn apply_restored(&mut self, now: Moment, entry: TargetEntry) -> DirectoryChange {
        let known = self.find(&entry.id);
        let is_left = known.is_some_and(|known| {
            known.standing == Standing::Leaving && !known.is_other_incarnation(&entry)
        });
        if is_left {
            return DirectoryChange::Same;
        }
        self.apply(now, entry)
    }

    /// Marks the targets that are still missing after the grace period as leaving and returns their
    /// ids. Removes targets that left long ago and have no requests in flight from this daemon.
    pub fn sweep(&mut self, now: Moment) -> Vec<TargetId> {
        let mut not_relisted = Vec::new();
        if self.relisting_until.is_some_and(|until| now >= until) {
            self.relisting_until = None;
            let missing = self.targets.iter_mut();
            for target in missing.filter(|target| target.standing == Standing::Missing) {
                target.leave(now);
                not_relisted.push(target.entry.id.clone());
            }
        }
        self.targets.retain(|target| {
            let is_expired = target
                .left_at
                .is_some_and(|at| now.saturating_sub(at) > LEAVING_RETENTION);
            !is_expired || target.load.own_requests() > 0
        });
        not_relisted
    }

    fn new_target(&mut self, now: Moment, entry: TargetEntry) -> KnownTarget {
        self.last_key += 1;
        let mut target = KnownTarget {
            key: self.last_key,
            hash: target_hash(&entry.incarnation()),
            version: version_hash(&entry.version),
            standing: Standing::InUse,
            breaker: Breaker::default(),
            pause: Pause::default(),
            limit: LimitView::default(),
            warmth: Warmth::default(),
            cold_limit: cold_limit(&self.cold_limits, &entry.service),
            is_reported_cold: false,
            load: LoadView::default(),
            last_received_at: now,
            known_since: now,
            left_at: None,
            entry,
        };
        target
            .warmth
            .record(now, now, target.entry.warmup_remaining);
        if target.entry.state == TargetState::Draining || self.has_said_leaving(&target.entry) {
            target.leave(now);
        }
        target
    }

    fn has_said_leaving(&self, entry: &TargetEntry) -> bool {
        let found = self.search_said_leaving(&entry.incarnation(), entry.address);
        found.is_ok()
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|target| target.entry.id.as_str().cmp(id))
    }
}

impl KnownTarget {
    /// Whether an entry belongs to another incarnation of the target. Its software changes only
    /// with a start.
    fn is_other_incarnation(&self, entry: &TargetEntry) -> bool {
        let is_restarted = match (self.entry.started_unix_ms, entry.started_unix_ms) {
            (Some(current), Some(new)) => current != new,
            _ => false,
        };
        is_restarted
            || self.entry.address != entry.address
            || self.entry.service != entry.service
            || self.entry.version != entry.version
    }

    /// Whether requests may be sent to the target now.
    #[must_use]
    pub fn is_available(&self, now: Moment) -> bool {
        self.breaker.is_closed(now) && self.pause.left(now).is_zero()
    }

    /// Requests per second that the target takes while it is cold, and how it is known to be;
    /// `None` if it is warm, or its service has no such limit.
    #[must_use]
    pub fn cold_rate(&self, now: Moment) -> Option<(RequestRate, Coldness)> {
        let limit = self.cold_limit?;
        Some((limit.rate, self.warmth.coldness(now)?))
    }

    /// Whether requests to the target need a permit: it names a limit, or is cold.
    #[must_use]
    pub fn needs_permit(&self, now: Moment) -> bool {
        self.limit.rate().is_some() || self.cold_rate(now).is_some()
    }

    /// Time for which the target stays cold; zero if it is warm, or its service has no limit of cold
    /// targets.
    #[must_use]
    pub fn cold_left(&self, now: Moment) -> Duration {
        let limit = self.cold_limit;
        limit.map_or(Duration::ZERO, |limit| self.warmth.left(now, limit.start))
    }

    fn update(&mut self, now: Moment, entry: TargetEntry, said_leaving: bool) -> DirectoryChange {
        let is_draining = entry.state == TargetState::Draining || said_leaving;
        self.hash = target_hash(&entry.incarnation());
        let is_back = self.standing != Standing::InUse;
        if is_back || self.entry.warmup_remaining != entry.warmup_remaining {
            self.warmth.record(now, now, entry.warmup_remaining);
        }
        self.entry = entry;
        if is_draining {
            return if self.leave(now) {
                DirectoryChange::Leaving
            } else {
                DirectoryChange::Same
            };
        }
        if self.standing == Standing::InUse {
            return DirectoryChange::Same;
        }
        self.standing = Standing::InUse;
        self.left_at = None;
        DirectoryChange::Returned
    }

    /// Returns whether the standing changed.
    fn leave(&mut self, now: Moment) -> bool {
        let is_change = self.standing != Standing::Leaving;
        self.standing = Standing::Leaving;
        self.left_at.get_or_insert(now);
        is_change
    }
}

fn cold_limit(limits: &[(ServiceId, ColdLimit)], service: &str) -> Option<ColdLimit> {
    let found = limits.binary_search_by(|(known, _)| known.as_str().cmp(service));
    found.ok().map(|position| limits[position].1)
}
