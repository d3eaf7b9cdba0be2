//! Schedules checks of targets at which requests were given up.
//!
//! Load pattern: callers leave while answers are under way, many at a time. The daemon closes the
//! connections and does not see the requests end, so that it would learn of a crash only when the
//! target's entry expires. One check covers all requests that were given up at a target.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::TargetKey;

/// Time for which a target is watched: one that has not cancelled the request by then is assumed to
/// have survived it, unless its entry expires.
pub const WATCH_TIME: Duration = Duration::from_secs(3);
/// Time between two checks of a target.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of targets that are checked at the same time; the others are delayed.
pub const MAX_CHECKS: usize = 32;

value! {
    struct Watch {
        target: TargetKey,
        /// When the watch ends.
        until: Moment,
        check_at: Moment,
    }
}

/// Targets whose crash would concern a request that was given up.
#[derive(Debug, Clone, Default)]
pub struct CrashWatch {
    /// Invariant: sorted by target, one for each.
    watches: Vec<Watch>,
}

impl CrashWatch {
    /// Watches a target from now on.
    pub fn begin(&mut self, now: Moment, target: TargetKey) {
        let until = now + WATCH_TIME;
        match self.position(target) {
            Ok(position) => self.watches[position].until = until,
            Err(position) => {
                let watch = Watch {
                    target,
                    until,
                    check_at: now + CHECK_INTERVAL,
                };
                self.watches.insert(position, watch);
            }
        }
    }

    /// Watches a target from now on, and checks it after `delay` if no check is due earlier.
    pub fn begin_soon(&mut self, now: Moment, target: TargetKey, delay: Duration) {
        self.begin(now, target);
        if let Ok(position) = self.position(target) {
            let check_at = &mut self.watches[position].check_at;
            *check_at = (now + delay).min(*check_at);
        }
    }

    /// Ends the watch of a target that is known to have crashed.
    pub fn end(&mut self, target: TargetKey) {
        if let Ok(position) = self.position(target) {
            self.watches.remove(position);
        }
    }

    /// When the next check is due; `None` if no target is watched.
    #[must_use]
    pub fn next_check_at(&self) -> Option<Moment> {
        self.watches.iter().map(|watch| watch.check_at).min()
    }

    /// Returns the targets that must be checked now, at most [`MAX_CHECKS`], those first that have
    /// waited for longest.
    pub fn take_due(&mut self, now: Moment) -> Vec<TargetKey> {
        let due = self.watches.iter().filter(|watch| watch.check_at <= now);
        let mut due: Vec<(Moment, TargetKey)> =
            due.map(|watch| (watch.check_at, watch.target)).collect();
        due.sort_unstable();
        due.truncate(MAX_CHECKS);
        let due: Vec<TargetKey> = due.into_iter().map(|(_, target)| target).collect();
        for target in &due {
            if let Ok(position) = self.position(*target) {
                let watch = &mut self.watches[position];
                watch.check_at = now + CHECK_INTERVAL;
                if watch.check_at > watch.until {
                    self.watches.remove(position);
                }
            }
        }
        due
    }

    fn position(&self, target: TargetKey) -> Result<usize, usize> {
        self.watches
            .binary_search_by_key(&target, |watch| watch.target)
    }
}
