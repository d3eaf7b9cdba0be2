//! Applies evacuations of failure domains, and logs them.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::{FailureDomain, ServiceId};
use lapismoor_core::membership::{Directory, KnownTarget, LearnedFrom, Standing};

use crate::context::Edge;
use crate::millis::millis;

/// Records that a domain is evacuated; the store did not list that as of `not_before`.
pub(super) fn begin(
    edge: &Edge,
    domain: &FailureDomain,
    is_readable: bool,
    learned_from: LearnedFrom,
    not_before: Option<Moment>,
) {
    let now = edge.now();
    let mut state = edge.state.borrow_mut();
    let not_before = not_before.unwrap_or(Moment::ZERO);
    let evacuations = &mut state.directory.evacuations;
    if !evacuations.begin(now, domain, learned_from, not_before) {
        return;
    }
    let count = evacuations.domains().len() as u64;
    edge.metrics.evacuated_domains.record(count, &[]);
    let targets = targets_in(&state.directory, domain).count() as u64;
    let learned = format!("{learned_from:?}");
    log::info!(domain:%, targets, is_readable, learned, evacuated_domains = count; "evacuation_began");
    if targets == 0 && learned_from != LearnedFrom::FirstList {
        log::warn!(domain:%; "evacuation_of_unknown_domain");
    }
    for service in services_without_target(&state.directory, domain) {
        log::warn!(domain:%, service:%; "evacuation_leaves_no_target");
    }
}

/// Records that the store does not list an evacuation any more.
pub(super) fn end(edge: &Edge, domain: &FailureDomain, learned_from: LearnedFrom) {
    let now = edge.now();
    let mut state = edge.state.borrow_mut();
    let evacuations = &mut state.directory.evacuations;
    if let Some(lasted) = evacuations.end(now, domain, learned_from) {
        log_ended(edge, &mut state.directory, domain, lasted, "taken_back");
    } else if evacuations.contains(domain) {
        log::warn!(domain:%; "evacuation_not_in_restored_store");
    }
}

/// Ends evacuations that only a restored store, or only this daemon, knew.
pub(crate) fn sweep(edge: &Edge, now: Moment) {
    let mut state = edge.state.borrow_mut();
    for (domain, lasted) in state.directory.evacuations.sweep(now) {
        log_ended(
            edge,
            &mut state.directory,
            &domain,
            lasted,
            "store_restored",
        );
    }
}

fn log_ended(
    edge: &Edge,
    directory: &mut Directory,
    domain: &FailureDomain,
    lasted: Duration,
    reason: &str,
) {
    directory.domain_may_be_cold(edge.now(), domain);
    let count = directory.evacuations.domains().len() as u64;
    edge.metrics.evacuated_domains.record(count, &[]);
    let targets = targets_in(directory, domain).count() as u64;
    let lasted_ms = millis(lasted);
    log::info!(domain:%, targets, lasted_ms, reason, evacuated_domains = count; "evacuation_ended");
}

fn targets_in<'a>(
    directory: &'a Directory,
    domain: &'a str,
) -> impl Iterator<Item = &'a KnownTarget> {
    let targets = directory.targets().iter();
    targets
        .filter(move |target| target.entry.domain == domain && target.standing != Standing::Leaving)
}

/// Services that have targets in a domain, and none in use.
fn services_without_target(directory: &Directory, domain: &str) -> Vec<ServiceId> {
    let services = targets_in(directory, domain).map(|target| target.entry.service.clone());
    let mut services: Vec<ServiceId> = services.collect();
    services.sort();
    services.dedup();
    services.retain(|service| directory.in_use(service).next().is_none());
    services
}
