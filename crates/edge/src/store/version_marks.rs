//! Marks the software versions of services in the store, for daemons that start later.
//!
//! A mark has no lease while targets of its version are listed. When they have left, it is attached
//! to a lease that lasts as long as a caller may take up one of their streams.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lapismoor_core::Moment;
use lapismoor_core::membership::{Mark, ServiceVersion, Standing, VersionMark};
use lapismoor_core::store::{LeaseId, StoreAnswer, StoreFailure, StoreRequest};

use super::announce::{LISTING_POLL_INTERVAL, initial_delay};
use super::records;
use super::suspects::is_ranked_within;
use crate::context::{Edge, State, short_version};

/// Interval between two looks for marks that are missing or outdated.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which no target of a version has to be listed before its mark gets a lease.
const UNLISTED_TIME: Duration = Duration::from_secs(3);
/// Time after which more daemons than one write a change, each as if it were the first.
const HANDOVER_TIME: Duration = Duration::from_secs(3);

/// A mark that is missing or outdated.
#[derive(Debug, Clone, PartialEq)]
struct MarkChange {
    key: ServiceVersion,
    mark: VersionMark,
}

/// Writes marks for as long as the daemon runs.
pub(crate) async fn mark_versions(edge: Rc<Edge>) {
    let mut pending: Vec<(MarkChange, Moment)> = Vec::new();
    while !edge.state.borrow().has_loaded_targets {
        tokio::time::sleep(LISTING_POLL_INTERVAL).await;
    }
    tokio::time::sleep(initial_delay(&edge)).await;
    loop {
        let now = edge.now();
        let wanted = wanted_changes(&edge, now);
        pending.retain(|(change, _)| wanted.contains(change));
        for change in wanted {
            let known = pending.iter().find(|(pending, _)| *pending == change);
            let since = known.map_or(now, |(_, since)| *since);
            if known.is_none() {
                pending.push((change.clone(), now));
            }
            let is_overdue = now.saturating_sub(since) >= HANDOVER_TIME;
            let writers = if is_overdue { 2 } else { 1 };
            if is_ranked_within(&edge, &change.key.mark_key(), writers) {
                write(&edge, &change).await;
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// The changes of marks that follow from the targets that are listed.
fn wanted_changes(edge: &Edge, now: Moment) -> Vec<MarkChange> {
    let state = edge.state.borrow();
    let Some(config) = state.config.get() else {
        return Vec::new();
    };
    let mut changes: Vec<MarkChange> = Vec::new();
    let targets = state.directory.targets().iter();
    for target in targets.filter(|target| target.standing != Standing::Leaving) {
        let service = &target.entry.service;
        let key = ServiceVersion::new(service, target.version);
        let is_wanted = state.versions.mark(key) != Mark::Serving
            && config.resumable_timeout(service).is_some()
            && changes.iter().all(|change| change.key != key);
        if is_wanted {
            let mark = VersionMark {
                service: service.clone(),
                version: short_version(&target.entry.version).into(),
                is_ending: false,
            };
            changes.push(MarkChange { key, mark });
        }
    }
    let left = state.versions.left_since(now.saturating_sub(UNLISTED_TIME));
    changes.extend(left.into_iter().map(|key| MarkChange {
        mark: ending_mark(&state, key),
        key,
    }));
    changes
}

/// The mark of a version whose targets have left, by that in the store.
fn ending_mark(state: &State, key: ServiceVersion) -> VersionMark {
    let mark = state.version_mark(key);
    let (service, version) = mark
        .map(|mark| (mark.service, mark.version))
        .unwrap_or_default();
    VersionMark {
        service,
        version,
        is_ending: true,
    }
}

/// Writes a mark. It is tried again with the next look if the store does not take it.
async fn write(edge: &Edge, change: &MarkChange) {
    let (service, version) = (&change.mark.service, &change.mark.version);
    let is_ending = change.mark.is_ending;
    match try_write(edge, change).await {
        Ok(()) => log::info!(service:%, version:%, is_ending; "version_marked"),
        Err(failure) => {
            log::info!(service:%, version:%, is_ending, reason:% = failure.reason; "version_not_marked");
        }
    }
}

async fn try_write(edge: &Edge, change: &MarkChange) -> Result<(), StoreFailure> {
    let lease = if change.mark.is_ending {
        Some(grant_lease(edge, &change.mark.service).await?)
    } else {
        None
    };
    let value = Bytes::from(serde_json::json!(change.mark).to_string());
    let mut expected = 0;
    // The second write follows the revision that the first one was told.
    for _ in 0..2 {
        let request = StoreRequest::Swap {
            key: change.key.mark_key(),
            version: expected,
            value: value.clone(),
            lease,
        };
        match records::call(edge, request).await? {
            StoreAnswer::Swapped => return Ok(()),
            StoreAnswer::Conflict { record } => {
                let current = record.as_ref().map(|record| &record.value);
                if !change.mark.is_ending && current == Some(&value) {
                    return Ok(());
                }
                expected = record.map_or(0, |record| record.version);
            }
            unexpected => {
                let reason = format!("unexpected answer to a write: {unexpected:?}").into();
                return Err(StoreFailure { reason });
            }
        }
    }
    let reason = "another daemon wrote it meanwhile".into();
    Err(StoreFailure { reason })
}

async fn grant_lease(edge: &Edge, service: &str) -> Result<LeaseId, StoreFailure> {
    let ttl = edge.lifetime_of_streams(service);
    match records::call(edge, StoreRequest::GrantLease { ttl }).await? {
        StoreAnswer::Lease { lease } => Ok(lease),
        unexpected => Err(StoreFailure {
            reason: format!("unexpected answer to a lease request: {unexpected:?}").into(),
        }),
    }
}
