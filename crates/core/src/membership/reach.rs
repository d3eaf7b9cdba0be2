//! Estimates which daemon reaches which target, from what each of them sees.
//!
//! Load pattern: some daemons, or those of a whole failure domain, lose their paths to some or all
//! targets for seconds, while callers and other daemons still reach them. A target that one daemon
//! cannot connect to and another one can is sound, and only the path is lost: requests reach it
//! through the other daemon until the path is back.
//!
//! Nothing is exchanged while all paths are sound. A daemon learns what others reach from their
//! answers to its own calls.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{DaemonId, FailureDomain, TargetKey};
use crate::membership::DaemonRecord;
use crate::routing::home_regions::{Homes, Regions};
use crate::routing::rendezvous::rendezvous_order;

/// Time between two probes of a lost path.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes in one interval, at most; the others are delayed.
const MAX_PROBES: usize = 8;
/// Time after which a path counts as lost for the first time again.
const STABLE_TIME: Duration = Duration::from_secs(5);
/// Connections in a row that end the loss of a path that was lost repeatedly.
const SUCCESSES_AFTER_FLAPPING: u32 = 3;
/// Time for which a daemon that has no path to a target, or no room, is not asked for it.
const HELPER_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a daemon with an obstacle is asked after others, also for other targets.
const DOUBT_TIME: Duration = Duration::from_secs(5);
/// Time after a connection in which a path counts as sound when others are lost.
const RECENT: Duration = Duration::from_secs(2);
/// Daemons of a failure domain with an obstacle from which on the others are asked later.
const MIN_DOUBTFUL_OF_DOMAIN: usize = 2;
/// Lost paths from which on further ones are presumed to be lost.
const MIN_LOST_TO_PRESUME: usize = 2;

value! {
    /// This daemon's path to one target.
    struct Path {
        target: TargetKey,
        /// Since when no connection could be opened; `None` while the path is sound.
        lost_since: Option<Moment>,
        /// Whether another daemon has reached the target since then, or is presumed to.
        is_confirmed: bool,
        /// When the last connection was opened.
        connected_at: Option<Moment>,
        /// When the path was last found to be back.
        back_at: Option<Moment>,
        /// Connections in a row since the last failure.
        successes: u32,
        /// Connections in a row that end the loss.
        needed: u32,
        probe_at: Moment,
    }

    /// Another daemon, as it answered to this one.
    struct Helper {
        daemon: DaemonId,
        /// Until when it is not asked, since it did not answer.
        failed_until: Moment,
        /// Targets to which it has no path or for which it has no room, and until when it is not asked
        /// for them. Invariant: sorted by target.
        without_path: Vec<(TargetKey, Moment)>,
        /// When it last reached a target.
        reached_at: Option<Moment>,
        /// When it last had an obstacle; `None` once it has reached a target.
        doubted_at: Option<Moment>,
    }

    /// What a connection shows of a path.
    #[derive(Copy)]
    pub enum PathChange {
        /// Nothing new.
        Same,
        /// The path is lost, and another daemon reaches the target.
        Lost,
        /// The path is back.
        Back,
    }
}

/// What one daemon knows of its own paths and of those of others.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// Invariant: sorted by target, one for each.
    paths: Vec<Path>,
    /// Invariant: sorted by daemon, one for each.
    helpers: Vec<Helper>,
    /// When paths may be probed again.
    next_probes_at: Moment,
}

impl Reach {
    /// Records that this daemon opened a connection to a target itself.
    pub fn record_connected(&mut self, now: Moment, target: TargetKey) -> PathChange {
        let path = self.path_mut(target);
        path.connected_at = Some(now);
        if path.lost_since.is_none() {
            return PathChange::Same;
        }
        path.successes += 1;
        path.probe_at = now + PROBE_INTERVAL;
        if path.is_confirmed && path.successes < path.needed {
            return PathChange::Same;
        }
        let was_confirmed = path.is_confirmed;
        path.lost_since = None;
        path.is_confirmed = false;
        path.back_at = Some(now);
        if was_confirmed {
            PathChange::Back
        } else {
            PathChange::Same
        }
    }

    /// Records that this daemon could not open a connection to a target. Whether the path or the
    /// target is at fault is known once another daemon has tried.
    pub fn record_not_connected(&mut self, now: Moment, target: TargetKey) {
        let path = self.path_mut(target);
        path.successes = 0;
        path.probe_at = now + PROBE_INTERVAL;
        if path.lost_since.is_none() {
            let was_back = path.back_at.is_some_and(|at| now < at + STABLE_TIME);
            path.needed = if was_back {
                SUCCESSES_AFTER_FLAPPING
            } else {
                1
            };
            path.lost_since = Some(now);
        }
    }

    /// Records that another daemon reaches a target.
    pub fn record_relayed(
        &mut self,
        now: Moment,
        daemon: &DaemonId,
        target: TargetKey,
    ) -> PathChange {
        let helper = self.helper_mut(daemon);
        helper.failed_until = now;
        helper.reached_at = Some(now);
        helper.doubted_at = None;
        helper.without_path.retain(|(other, _)| *other != target);
        let path = self.path_mut(target);
        if path.lost_since.is_none() || path.is_confirmed {
            return PathChange::Same;
        }
        path.is_confirmed = true;
        PathChange::Lost
    }

    /// Records that another daemon has no path to a target, or no room for a connection to it.
    pub fn record_without_path(&mut self, now: Moment, daemon: &DaemonId, target: TargetKey) {
        let until = now + HELPER_BACKOFF;
        let helper = self.helper_mut(daemon);
        helper.doubted_at = Some(now);
        helper.without_path.retain(|(_, until)| now < *until);
        let targets = &mut helper.without_path;
        match targets.binary_search_by_key(&target, |(target, _)| *target) {
            Ok(position) => targets[position].1 = until,
            Err(position) => targets.insert(position, (target, until)),
        }
    }

    /// Records that another daemon did not answer, or stops.
    pub fn record_helper_failed(&mut self, now: Moment, daemon: &DaemonId) {
        let helper = self.helper_mut(daemon);
        helper.failed_until = now + HELPER_BACKOFF;
        helper.doubted_at = Some(now);
    }

    /// Whether requests reach a target through other daemons: the path is known to be lost, or most
    /// others are. A path that is presumed to be lost is probed like one that is known to be.
    pub fn is_lost(&mut self, now: Moment, target: TargetKey) -> bool {
        if self.is_known_lost(target) {
            return true;
        }
        if !self.presumes_loss(now, target) {
            return false;
        }
        let path = self.path_mut(target);
        path.lost_since.get_or_insert(now);
        path.is_confirmed = true;
        path.successes = 0;
        path.needed = 1;
        path.probe_at = now;
        true
    }

    /// Whether the path to a target is known to be lost.
    #[must_use]
    pub fn is_known_lost(&self, target: TargetKey) -> bool {
        let position = self.position(target);
        position.is_ok_and(|position| self.paths[position].is_confirmed)
    }

    /// Number of paths that are known to be lost.
    #[must_use]
    pub fn lost_paths(&self) -> usize {
        self.paths.iter().filter(|path| path.is_confirmed).count()
    }

    fn presumes_loss(&self, now: Moment, target: TargetKey) -> bool {
        let lost = self.paths.iter().filter(|path| path.is_confirmed);
        let Some(first_lost_at) = lost.clone().filter_map(|path| path.lost_since).min() else {
            return false;
        };
        let lost = lost.count();
        let is_sound = |path: &&Path| {
            let is_recent = |at| at >= first_lost_at && now < at + RECENT;
            path.lost_since.is_none() && path.connected_at.is_some_and(is_recent)
        };
        let is_target_sound = self
            .position(target)
            .is_ok_and(|position| is_sound(&&self.paths[position]));
        let sound = self.paths.iter().filter(is_sound).count();
        lost >= MIN_LOST_TO_PRESUME && lost > sound && !is_target_sound
    }

    /// The daemons to ask for a connection to a target, best first: those that have no known obstacle,
    /// of failure domains in which others have none, in the target's domain, in the own one, in
    /// others. Those that may not have the body of the request are left out. The hash of the request spreads requests over equal ones.
    #[must_use]
    pub fn helpers<'a>(
        &self,
        now: Moment,
        query: &HelperQuery<'_>,
        daemons: &'a [DaemonRecord],
    ) -> Vec<&'a DaemonRecord> {
        let doubtful_domains = self.doubtful_domains(now, daemons);
        let names = daemons.iter().map(|daemon| daemon.id.as_str());
        let mut helpers = Vec::new();
        for position in rendezvous_order(query.request, names) {
            let daemon = &daemons[position];
            let known = self.helper(&daemon.id);
            let is_excluded = known.is_some_and(|known| known.is_excluded(now, query.target));
            let homes = &query.homes;
            let may_have_body = homes.allow_body(query.regions, query.own_domain, &daemon.domain);
            if daemon.id == *query.own || is_excluded || !may_have_body {
                continue;
            }
            let distance = if daemon.domain == *query.target_domain {
                0
            } else if daemon.domain == *query.own_domain {
                1
            } else {
                2
            };
            let is_doubtful = known.is_some_and(|known| known.is_doubtful(now));
            let is_domain_doubtful = doubtful_domains.binary_search(&&daemon.domain).is_ok();
            helpers.push(((is_doubtful, is_domain_doubtful, distance), daemon));
        }
        helpers.sort_by_key(|(order, _)| *order);
        helpers.into_iter().map(|(_, daemon)| daemon).collect()
    }

    /// Failure domains in which more daemons lately had an obstacle than none, sorted. A whole domain
    /// may have lost its paths, and its daemons would otherwise be asked one after the other.
    fn doubtful_domains<'a>(
        &self,
        now: Moment,
        daemons: &'a [DaemonRecord],
    ) -> Vec<&'a FailureDomain> {
        let mut counts: Vec<(&FailureDomain, usize, usize)> = Vec::new();
        for daemon in daemons {
            let Some(known) = self.helper(&daemon.id) else {
                continue;
            };
            let found = counts.binary_search_by_key(&&daemon.domain, |(domain, _, _)| *domain);
            let position = found.unwrap_or_else(|position| {
                counts.insert(position, (&daemon.domain, 0, 0));
                position
            });
            let (_, doubtful, sound) = &mut counts[position];
            if known.is_doubtful(now) {
                *doubtful += 1;
            } else if known.reached_at.is_some_and(|at| now < at + RECENT) {
                *sound += 1;
            }
        }
        let doubtful = counts
            .into_iter()
            .filter(|(_, doubtful, sound)| *doubtful >= MIN_DOUBTFUL_OF_DOMAIN && doubtful > sound);
        doubtful.map(|(domain, _, _)| domain).collect()
    }

    /// When the next probe is due; `None` if no path is lost.
    #[must_use]
    pub fn next_probe_at(&self) -> Option<Moment> {
        let lost = self.paths.iter().filter(|path| path.is_confirmed);
        let due_at = lost.map(|path| path.probe_at).min()?;
        Some(due_at.max(self.next_probes_at))
    }

    /// Returns the targets whose paths must be probed now, at most [`MAX_PROBES`] in each interval,
    /// those first that have waited for longest.
    pub fn take_probes(&mut self, now: Moment) -> Vec<TargetKey> {
        if now < self.next_probes_at {
            return Vec::new();
        }
        let lost = self.paths.iter().filter(|path| path.is_confirmed);
        let due = lost.filter(|path| path.probe_at <= now);
        let mut due: Vec<(Moment, TargetKey)> =
            due.map(|path| (path.probe_at, path.target)).collect();
        due.sort_unstable();
        due.truncate(MAX_PROBES);
        let due: Vec<TargetKey> = due.into_iter().map(|(_, target)| target).collect();
        for target in &due {
            self.path_mut(*target).probe_at = now + PROBE_INTERVAL;
        }
        if !due.is_empty() {
            self.next_probes_at = now + PROBE_INTERVAL;
        }
        due
    }

    /// Forgets targets that are not known any more, and what is too old to matter.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(TargetKey) -> bool) {
        self.paths.retain(|path| {
            let is_needed = path.is_confirmed
                || path.connected_at.is_some_and(|at| now < at + RECENT)
                || path.back_at.is_some_and(|at| now < at + STABLE_TIME)
                || path.lost_since.is_some_and(|at| now < at + RECENT);
            is_needed && is_known(path.target)
        });
        self.helpers.retain_mut(|helper| {
            helper.without_path.retain(|(_, until)| now < *until);
            let is_sound = helper.reached_at.is_some_and(|at| now < at + RECENT);
            is_sound || helper.is_doubtful(now) || !helper.without_path.is_empty()
        });
    }

    fn position(&self, target: TargetKey) -> Result<usize, usize> {
        self.paths.binary_search_by_key(&target, |path| path.target)
    }

    fn path_mut(&mut self, target: TargetKey) -> &mut Path {
        let position = self.position(target).unwrap_or_else(|position| {
            let path = Path {
                target,
                lost_since: None,
                is_confirmed: false,
                connected_at: None,
                back_at: None,
                successes: 0,
                needed: 1,
                probe_at: Moment::ZERO,
            };
            self.paths.insert(position, path);
            position
        });
        &mut self.paths[position]
    }

    fn helper(&self, daemon: &DaemonId) -> Option<&Helper> {
        let helpers = &self.helpers;
        let found = helpers.binary_search_by(|helper| helper.daemon.cmp(daemon));
        found.ok().map(|position| &helpers[position])
    }

    fn helper_mut(&mut self, daemon: &DaemonId) -> &mut Helper {
        let found = self
            .helpers
            .binary_search_by(|helper| helper.daemon.cmp(daemon));
        let position = found.unwrap_or_else(|position| {
            let helper = Helper {
                daemon: daemon.clone(),
                failed_until: Moment::ZERO,
                without_path: Vec::new(),
                reached_at: None,
                doubted_at: None,
            };
            self.helpers.insert(position, helper);
            position
        });
        &mut self.helpers[position]
    }
}

impl Helper {
    /// Whether the daemon is not asked for a connection to `target`.
    fn is_excluded(&self, now: Moment, target: TargetKey) -> bool {
        let mut without_path = self.without_path.iter();
        now < self.failed_until
            || without_path.any(|(without, until)| *without == target && now < *until)
    }

    /// Whether the daemon lately did not answer, or had no path to some target, and has reached none
    /// since.
    fn is_doubtful(&self, now: Moment) -> bool {
        self.doubted_at.is_some_and(|at| now < at + DOUBT_TIME)
    }
}

/// For which request another daemon is wanted.
#[derive(Debug, Clone, Copy)]
pub struct HelperQuery<'a> {
    /// Target of the request.
    pub target: TargetKey,
    /// Failure domain of the target.
    pub target_domain: &'a FailureDomain,
    /// The daemon that asks.
    pub own: &'a DaemonId,
    /// Its failure domain.
    pub own_domain: &'a FailureDomain,
    /// Hash of the request.
    pub request: u64,
    /// Home regions of the request.
    pub homes: Homes<'a>,
    /// Regions of the failure domains.
    pub regions: &'a Regions,
}
