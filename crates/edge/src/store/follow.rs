//! Follows the store: reads all of it, then waits for changes, for as long as the daemon runs.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::membership::{DirectoryChange, TargetEntry};

use super::client::{Changes, StoreClient, StoreError, StoreRevision};
use super::fact::Fact;
use crate::context::Edge;

/// First pause after a call failed.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, so that the store's return is noticed within the time its entries take to
/// return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Wait of the first call after a failure: a short one shows soon whether the store is back.
const PROBE_WAIT: Duration = Duration::ZERO;

/// Where the loop stands.
struct Progress {
    /// Position to go on from; none if everything must be read again.
    revision: Option<StoreRevision>,
    /// Pause before the next try. Invariant: zero unless the last call failed.
    pause: Duration,
}

/// Follows the store until the daemon ends.
pub(crate) async fn follow(edge: Rc<Edge>, client: StoreClient) {
    let mut progress = Progress {
        revision: None,
        pause: Duration::ZERO,
    };
    loop {
        let asked_at = edge.now();
        let wait = if progress.pause.is_zero() {
            edge.settings.tuning.store_wait
        } else {
            PROBE_WAIT
        };
        let call = match progress.revision {
            None => (client.list)(),
            Some(revision) => (client.watch)(revision, wait),
        };
        let limit = wait + edge.settings.tuning.store_timeout;
        let result = tokio::time::timeout(limit, call).await;
        match result.unwrap_or_else(|_| Err(timed_out())) {
            Ok(changes) => {
                let has_news = !changes.facts.is_empty();
                progress.succeeded(&edge, asked_at, wait, changes);
                if has_news {
                    tokio::time::sleep(gathering(&edge)).await;
                }
            }
            Err(error) => progress.failed(&edge, &error).await,
        }
    }
}

/// Time to gather further changes: they often come in quick succession, and each call is paid for.
fn gathering(edge: &Edge) -> Duration {
    let limits = &edge.settings.limits;
    let bound = limits.config_within.min(limits.drain_within);
    bound * edge.settings.tuning.store_gather_percent / 100
}

fn timed_out() -> StoreError {
    StoreError::Unavailable {
        reason: "no answer in time".into(),
    }
}

impl Progress {
    fn succeeded(&mut self, edge: &Edge, asked_at: Moment, wait: Duration, changes: Changes) {
        if !self.pause.is_zero() {
            log::info!("store_back");
            self.pause = Duration::ZERO;
        }
        // An answer without news was given at the end of the wait, with the state of that moment.
        let is_quiet = self.revision.is_some() && changes.facts.is_empty();
        let known_at = if is_quiet { asked_at + wait } else { asked_at };
        let is_full = self.revision.is_none();
        self.revision = Some(changes.revision);
        let now = edge.now();
        let mut state = edge.state.borrow_mut();
        state.freshness.confirm(known_at.min(now));
        state.directory.store_back(now);
        drop(state);
        if is_full {
            apply_full_list(edge, now, &changes);
        }
        for fact in changes.facts {
            apply(edge, now, fact);
        }
    }

    async fn failed(&mut self, edge: &Edge, error: &StoreError) {
        if *error == StoreError::HistoryGone {
            log::info!(revision = self.revision; "store_history_gone");
            self.revision = None;
            return;
        }
        if self.pause.is_zero() {
            log::warn!(error:%; "store_lost");
        }
        let now = edge.now();
        edge.state.borrow_mut().directory.store_lost(now);
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        tokio::time::sleep(self.pause).await;
    }
}

fn apply_full_list(edge: &Edge, now: Moment, changes: &Changes) {
    let listed: Vec<TargetEntry> = changes.facts.iter().filter_map(target_entry).collect();
    let mut state = edge.state.borrow_mut();
    state.is_listed = true;
    let missing = state.directory.missing_from(&listed);
    drop(state);
    for id in missing {
        apply(edge, now, Fact::TargetGone { id });
    }
}

fn target_entry(fact: &Fact) -> Option<TargetEntry> {
    match fact {
        Fact::Target(entry) => Some(entry.clone()),
        _ => None,
    }
}

fn apply(edge: &Edge, now: Moment, fact: Fact) {
    match fact {
        Fact::Configuration(config) => apply_config(edge, *config),
        Fact::UnreadableConfiguration { reason } => {
            let kept = edge.config().map(|config| config.version());
            log::error!(reason:%, version_kept = kept; "configuration_unreadable");
        }
        Fact::Target(entry) => apply_target(edge, now, entry),
        Fact::UnreadableTarget { id, reason } => {
            if edge.state.borrow_mut().directory.reject(now, &id) {
                log::warn!(target:% = id, reason:%; "target_entry_unreadable");
            }
        }
        Fact::TargetGone { id } => {
            let mut state = edge.state.borrow_mut();
            if let Some(target) = state.directory.remove(now, &id) {
                let standing = target.standing;
                log::info!(target:% = id, standing:? = standing; "target_gone");
            }
        }
    }
}

fn apply_config(edge: &Edge, config: lapismoor_core::routing::RoutingConfig) {
    let mut state = edge.state.borrow_mut();
    let known = state.config.as_ref().map(|config| config.version());
    let version = config.version();
    if known.is_some_and(|known| known >= version) {
        if known != Some(version) {
            log::warn!(version, version_kept = known; "configuration_older_ignored");
        }
        return;
    }
    let (routes, services, keys) = config.sizes();
    log::info!(version, version_before = known, routes, services, keys; "configuration_in_force");
    state.config = Some(Rc::new(config));
}

fn apply_target(edge: &Edge, now: Moment, entry: TargetEntry) {
    let mut state = edge.state.borrow_mut();
    let id = entry.id.clone();
    let change = state.directory.apply(now, entry);
    if change == DirectoryChange::Same {
        return;
    }
    log::info!(target:% = id, change:?; "target_listed");
}
