//! The targets that the store lists, with what this daemon found out about each.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{TargetId, TargetKey};
use crate::membership::entry::{TargetEntry, TargetState};
use crate::retry::Breaker;
use crate::routing::LoadView;

/// Outage of the store from which on entries may have lapsed though their targets live: one
/// heartbeat of a target.
const LAPSING_OUTAGE: Duration = Duration::from_secs(1);
/// Time after the store's return within which living targets are listed again.
const RELIST_WITHIN: Duration = Duration::from_millis(1_800);

/// Whether a target may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    InUse,
    /// It is leaving or gone; requests in flight end there.
    Leaving,
    /// Its entry lapsed around an outage of the store; it may still live.
    Missing,
}

/// A target and what is known of it.
#[derive(Debug, Clone)]
pub struct KnownTarget {
    /// Number of this run of the target.
    pub key: TargetKey,
    /// Last entry in the store.
    pub entry: TargetEntry,
    /// Whether it gets new requests.
    pub standing: Standing,
    /// Own evidence of failures.
    pub breaker: Breaker,
    /// Load.
    pub load: LoadView,
    /// When it last sent anything to this daemon.
    pub heard_at: Moment,
    /// Since when it has been leaving.
    left_at: Option<Moment>,
}

/// What an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Nothing that matters.
    Same,
    /// A target was not known.
    Added,
    /// A target started again; what ran there and what it kept is lost.
    Restarted,
    /// A target leaves.
    Leaving,
    /// A target that was leaving or missing is in use again.
    Returned,
}

/// All targets.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// Invariant: sorted by id.
    targets: Vec<KnownTarget>,
    last_key: TargetKey,
    /// Until when entries that lapsed are waited for.
    relisting_until: Option<Moment>,
}

/// Time for which a target that left surely runs on, to end what it has begun.
const RUNS_ON: Duration = Duration::from_secs(2);
/// Time for which a target that left is remembered: its streams may last, and its cache can be
/// fetched until it exits.
const REMEMBER_LEFT: Duration = Duration::from_secs(30);

impl Directory {
    /// All targets, sorted by id.
    #[must_use]
    pub fn targets(&self) -> &[KnownTarget] {
        &self.targets
    }

    /// A run of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&KnownTarget> {
        self.targets.iter().find(|target| target.key == key)
    }

    /// A run of a target, to be changed.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut KnownTarget> {
        self.targets.iter_mut().find(|target| target.key == key)
    }

    /// The run of a target that the store lists now.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&KnownTarget> {
        let position = self.position(id).ok()?;
        Some(&self.targets[position])
    }

    /// Targets of a service that get new requests.
    pub fn in_use<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownTarget> {
        self.targets.iter().filter(move |target| {
            target.entry.service == service && target.standing != Standing::Leaving
        })
    }

    /// Targets of a service whose cache can be fetched: those in use, and those that left so
    /// lately that they still run.
    pub fn with_cache<'a>(
        &'a self,
        now: Moment,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownTarget> {
        self.targets.iter().filter(move |target| {
            let left_at = target.left_at;
            let may_run = left_at.is_none_or(|at| now.saturating_sub(at) < RUNS_ON);
            target.entry.service == service && may_run && target.breaker.is_closed(now)
        })
    }

    /// Takes an entry as it stands in the store now.
    pub fn apply(&mut self, now: Moment, entry: TargetEntry) -> DirectoryChange {
        let position = match self.position(&entry.id) {
            Ok(position) => position,
            Err(position) => {
                let target = self.new_target(now, entry);
                self.targets.insert(position, target);
                return DirectoryChange::Added;
            }
        };
        if self.targets[position].is_other_run(&entry) {
            self.targets[position] = self.new_target(now, entry);
            return DirectoryChange::Restarted;
        }
        self.targets[position].update(now, entry)
    }

    /// Takes the absence of an entry. Returns the target if that is news.
    pub fn remove(&mut self, now: Moment, id: &str) -> Option<&KnownTarget> {
        let position = self.position(id).ok()?;
        let may_have_lapsed = self.relisting_until.is_some_and(|until| now < until);
        let target = &mut self.targets[position];
        if target.standing == Standing::Leaving {
            return None;
        }
        if may_have_lapsed {
            target.standing = Standing::Missing;
        } else {
            target.leave(now);
        }
        Some(target)
    }

    /// Takes an entry that cannot be read: it names no target to use.
    pub fn reject(&mut self, now: Moment, id: &str) -> bool {
        let Ok(position) = self.position(id) else {
            return false;
        };
        self.targets[position].leave(now)
    }

    /// Notes that the store answers again after it was `away`.
    pub fn store_recovered(&mut self, now: Moment, away: Duration) {
        if away >= LAPSING_OUTAGE {
            self.relisting_until = Some(now + RELIST_WITHIN);
        }
    }

    /// Gives up targets that are still missing, forgets those that left long ago. Returns the ids
    /// given up.
    pub fn sweep(&mut self, now: Moment) -> Vec<TargetId> {
        let mut given_up = Vec::new();
        if self.relisting_until.is_some_and(|until| now >= until) {
            self.relisting_until = None;
            let missing = self.targets.iter_mut();
            for target in missing.filter(|target| target.standing == Standing::Missing) {
                target.leave(now);
                given_up.push(target.entry.id.clone());
            }
        }
        self.targets.retain(|target| {
            let is_old = target
                .left_at
                .is_some_and(|at| now.saturating_sub(at) > REMEMBER_LEFT);
            !is_old || target.load.own() > 0
        });
        given_up
    }

    fn new_target(&mut self, now: Moment, entry: TargetEntry) -> KnownTarget {
        self.last_key += 1;
        let mut target = KnownTarget {
            key: self.last_key,
            standing: Standing::InUse,
            breaker: Breaker::default(),
            load: LoadView::default(),
            heard_at: now,
            left_at: None,
            entry,
        };
        if target.entry.state == TargetState::Draining {
            target.leave(now);
        }
        target
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|target| target.entry.id.as_str().cmp(id))
    }
}

impl KnownTarget {
    /// Whether an entry is of another run of the target.
    fn is_other_run(&self, entry: &TargetEntry) -> bool {
        let is_restarted = match (self.entry.started_unix_ms, entry.started_unix_ms) {
            (Some(known), Some(new)) => known != new,
            _ => false,
        };
        is_restarted || self.entry.address != entry.address || self.entry.service != entry.service
    }

    fn update(&mut self, now: Moment, entry: TargetEntry) -> DirectoryChange {
        let is_draining = entry.state == TargetState::Draining;
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

    /// Returns whether that is news.
    fn leave(&mut self, now: Moment) -> bool {
        let is_news = self.standing != Standing::Leaving;
        self.standing = Standing::Leaving;
        self.left_at.get_or_insert(now);
        is_news
    }
}
