//! Applies updates from the store to the daemon's state.

use std::rc::Rc;
use std::sync::Arc;

use lapismoor_core::Moment;
use lapismoor_core::config::{Accepted, Offered};
use lapismoor_core::ids::version_hash;
use lapismoor_core::membership::{DaemonRecord, DirectoryChange, ServiceVersion, TargetEntry};
use lapismoor_core::routing::RoutingConfig;
use lapismoor_core::stream::OriginSource;

use super::update::StoreUpdate;
use crate::context::{Edge, short_version};

/// Why an update is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    /// It is part of the first full list.
    FirstList,
    /// It is part of the first full list after the store was restored from a copy.
    Restored,
    /// The store has changed.
    Change,
}

/// Applies one update. Updates of the first full list are not logged per target and daemon; the
/// caller logs one line for the whole list.
pub(super) fn apply(edge: &Edge, now: Moment, update: StoreUpdate, cause: Cause) {
    match update {
        StoreUpdate::Configuration(config) => apply_config(edge, *config),
        StoreUpdate::Profiles(accepted) => apply_profiles(edge, accepted),
        StoreUpdate::UnreadableConfiguration { key, reason } => {
            let kept = edge.config_version();
            log::error!(key:%, reason:%, version_kept = kept; "configuration_unreadable");
        }
        StoreUpdate::Target(entry) => apply_target(edge, now, entry, cause),
        StoreUpdate::UnreadableTarget { id, reason } => {
            let directory = &mut edge.state.borrow_mut().directory;
            let has_left = directory.reject(now, &id);
            if directory.record_unreadable(&id) || has_left {
                log::warn!(target:% = id, reason:%; "target_entry_unreadable");
            }
        }
        StoreUpdate::Evidence { key, evidence } => edge.merge_evidence(&key, &evidence),
        StoreUpdate::UnreadableEvidence { key, reason } => {
            log::warn!(key:%, reason:%; "suspects_unreadable");
        }
        StoreUpdate::Trial(trial) => edge.state.borrow_mut().suspects.record_trial(now, trial),
        StoreUpdate::Streams(streams) => edge.keep_origins(&streams, OriginSource::Told),
        StoreUpdate::VersionMark { version, mark } => {
            let versions = &mut edge.state.borrow_mut().versions;
            if versions.set_mark(now, version, mark) {
                edge.version_listed.notify_one();
            }
        }
        StoreUpdate::Daemon(record) => apply_daemon(edge, now, record, cause),
        // Its announcement may be lost while it still runs.
        StoreUpdate::DaemonGone { .. } if cause == Cause::Restored => {}
        StoreUpdate::DaemonGone { id } => {
            log::info!(peer:% = id; "daemon_gone");
            let mut state = edge.state.borrow_mut();
            state.daemons.retain(|daemon| daemon.id != id);
            state.update_allocators(now, &edge.settings.daemon);
        }
        // The follower applies them, as it knows what the copy of the store said before.
        StoreUpdate::Evacuated { .. } | StoreUpdate::EvacuationEnded { .. } => {}
        StoreUpdate::TargetGone { id } => {
            let mut state = edge.state.borrow_mut();
            let Some(target) = state.directory.remove(now, &id) else {
                return;
            };
            let (incarnation, standing) = (target.entry.incarnation(), target.standing);
            log::info!(target:% = id, standing:? = standing; "target_gone");
            drop(state);
            edge.target_crashed(&incarnation);
        }
    }
}

fn apply_config(edge: &Edge, config: RoutingConfig) {
    let version = config.version();
    let (routes, services, keys) = config.sizes();
    let cold_limits = config.cold_limits();
    let mut state = edge.state.borrow_mut();
    match state.config.offer(version, Rc::new(config)) {
        Offered::NowInForce { before } => {
            state.directory.set_cold_limits(cold_limits);
            log::info!(version, version_before = before, routes, services, keys; "configuration_in_force");
        }
        Offered::Older { kept } => log_older_ignored(version, kept),
        Offered::AlreadyInForce => {}
    }
}

fn apply_profiles(edge: &Edge, accepted: Arc<Accepted>) {
    let version = accepted.revision;
    let profiles = accepted.config.profiles.len();
    let mut state = edge.state.borrow_mut();
    let offered = Arc::clone(&accepted);
    let is_later = |current: &Arc<Accepted>| offered.is_later_than(current);
    match state.profiles.offer_if(version, accepted, is_later) {
        Offered::NowInForce { before } => {
            log::info!(version, version_before = before, profiles; "profiles_in_force");
        }
        Offered::Older { kept } => log_older_ignored(version, kept),
        Offered::AlreadyInForce => {}
    }
}

fn log_older_ignored(version: u64, version_kept: u64) {
    log::warn!(version, version_kept; "configuration_older_ignored");
}

fn apply_target(edge: &Edge, now: Moment, entry: TargetEntry, cause: Cause) {
    let mut state = edge.state.borrow_mut();
    let id = entry.id.clone();
    let version = short_version(&entry.version).to_owned();
    let previous = state
        .directory
        .find(&id)
        .map(|target| target.entry.incarnation());
    let version_key = ServiceVersion::new(&entry.service, version_hash(&entry.version));
    if state.versions.record(now, version_key) {
        edge.version_listed.notify_one();
    }
    let change = if cause == Cause::Restored {
        state.directory.apply_restored(now, entry)
    } else {
        state.directory.apply(now, entry)
    };
    if change == DirectoryChange::Same || cause == Cause::FirstList {
        return;
    }
    let is_new = matches!(change, DirectoryChange::Added | DirectoryChange::Restarted);
    let predecessors = if is_new && cause == Cause::Change {
        state.directory.end_predecessors(now, &id)
    } else {
        Vec::new()
    };
    drop(state);
    log::info!(target:% = id, change:?, version; "target_listed");
    for predecessor in predecessors {
        log::info!(target:% = predecessor.id, successor:% = id; "target_replaced");
        edge.target_crashed(&predecessor);
    }
    if change == DirectoryChange::Restarted
        && let Some(crashed) = previous
    {
        edge.target_crashed(&crashed);
    }
}

fn apply_daemon(edge: &Edge, now: Moment, record: DaemonRecord, cause: Cause) {
    if record.id == edge.settings.daemon && record.incarnation != edge.incarnation() {
        edge.found_predecessor();
    }
    let mut state = edge.state.borrow_mut();
    let daemons = &mut state.daemons;
    match daemons.binary_search_by(|known| known.id.cmp(&record.id)) {
        Ok(position) => daemons[position] = record,
        Err(position) => {
            if cause != Cause::FirstList {
                log::info!(peer:% = record.id, domain:% = record.domain; "daemon_listed");
            }
            daemons.insert(position, record);
            state.update_allocators(now, &edge.settings.daemon);
        }
    }
}
