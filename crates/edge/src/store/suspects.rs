//! Tells other daemons of interrupted requests: through a record in the store, and directly if the
//! evidence is urgent or the store does not take it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use lapismoor_core::admission::Evidence;
use lapismoor_core::admission::suspects::MAX_BAN;
use lapismoor_core::ids::{Fingerprint, hash_parts};
use lapismoor_core::membership::{DaemonRecord, StoreItem};
use lapismoor_core::store::{StoreAnswer, StoreRequest};
use lapismoor_mirror::MirrorClient;

use super::records;
use crate::context::Edge;
use crate::millis::millis;

/// Time for which records are attached to one lease.
pub(super) const LEASE_ROTATION: Duration = Duration::from_mins(5);
/// Interval at which evidence that became old enough is shared.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which interruptions are gathered into one record. The attempts of one request follow
/// each other within milliseconds.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Delay before a record is written or sent again; doubles with each failure. Other daemons were told
/// directly meanwhile, so there is no hurry.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Longest delay before a record is written or sent again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Number of daemons that take over a record. All of a large fleet would overload the store.
const SUCCESSORS: usize = 2;
/// Maximum number of records that wait for the store. Until one is stored, further evidence stays
/// in the table and is gathered into larger records.
const MAX_UNSTORED: usize = 64;
/// Longest time for which a request waits for its interruptions to be shared.
const SHARE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the store may take to answer before a record is also reported to other daemons.
const STORE_PATIENCE: Duration = Duration::from_millis(100);
/// Timeout for telling one daemon.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a record that another daemon reported directly is written by this one, if the
/// store does not list it: its author may be gone. A copy that is read through another daemon takes up
/// to half of this time to list it.
const HANDOVER_DELAY: Duration = Duration::from_secs(4);

/// Shares evidence for as long as the daemon runs.
pub(crate) async fn share_suspects(edge: Rc<Edge>) {
    let mut sequence = 0;
    loop {
        let interrupted = edge.attempt_interrupted.notified();
        if tokio::time::timeout(SHARE_INTERVAL, interrupted)
            .await
            .is_ok()
        {
            tokio::time::sleep(GATHER_TIME).await;
        }
        if edge.unstored_evidence.get() >= MAX_UNSTORED {
            continue;
        }
        let now = edge.now();
        let unshared = edge.state.borrow_mut().suspects.take_unshared(now);
        let Some((evidence, is_urgent)) = unshared else {
            continue;
        };
        sequence += 1;
        let key = Evidence::record_key(&edge.settings.daemon, edge.incarnation(), sequence);
        log::info!(
            record:% = key,
            interrupted = evidence.interrupted.len() as u64,
            withdrawn = evidence.withdrawn.len() as u64,
            is_urgent;
            "suspects_shared"
        );
        let item = StoreItem {
            key,
            value: Some(evidence.to_json()),
        };
        rt::spawn(distribute(Rc::clone(&edge), item, evidence, is_urgent));
    }
}

/// Counts a record as not stored until dropped.
struct UnstoredGuard(Rc<Edge>);

impl UnstoredGuard {
    fn new(edge: &Rc<Edge>) -> Self {
        edge.unstored_evidence.set(edge.unstored_evidence.get() + 1);
        Self(Rc::clone(edge))
    }
}

impl Drop for UnstoredGuard {
    fn drop(&mut self) {
        let unstored = &self.0.unstored_evidence;
        unstored.set(unstored.get() - 1);
    }
}

/// Writes a record of this daemon until the store has it. Until then it is also sent to the daemons
/// that have not confirmed it.
async fn distribute(edge: Rc<Edge>, item: StoreItem, evidence: Evidence, is_urgent: bool) {
    let _guard = UnstoredGuard::new(&edge);
    let give_up_at = edge.now() + MAX_BAN;
    let mut told = Vec::new();
    let mut tell_after = if is_urgent {
        Duration::ZERO
    } else {
        STORE_PATIENCE
    };
    let is_stored = Cell::new(false);
    let mut retry_delay = MIN_RETRY_DELAY;
    while !is_stored.get() && edge.now() < give_up_at {
        let storing = async {
            if store(&edge, &item).await {
                is_stored.set(true);
                acknowledge(&edge, &evidence);
            }
        };
        let telling = async {
            tokio::time::sleep(tell_after).await;
            if !is_stored.get() || is_urgent {
                tell_peers(&edge, &item, &mut told).await;
            }
            if !told.is_empty() {
                acknowledge(&edge, &evidence);
            }
        };
        futures::join!(storing, telling);
        if !is_stored.get() {
            tell_after = Duration::ZERO;
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

fn acknowledge(edge: &Edge, evidence: &Evidence) {
    edge.state.borrow_mut().suspects.acknowledge(evidence);
    edge.evidence_acknowledged.notify_waiters();
}

/// Shares the interruptions of a request, and waits until another daemon can learn of them, at most
/// for [`SHARE_TIMEOUT`]. After that, a daemon that is killed takes no evidence with it.
pub(crate) async fn share_now(edge: &Edge, fingerprint: Fingerprint) {
    let sharing = async {
        loop {
            let acknowledged = edge.evidence_acknowledged.notified();
            if !edge.state.borrow_mut().suspects.expedite(fingerprint) {
                return;
            }
            edge.attempt_interrupted.notify_one();
            acknowledged.await;
        }
    };
    if tokio::time::timeout(SHARE_TIMEOUT, sharing).await.is_err() {
        log::warn!(
            fingerprint:% = format_args!("{fingerprint:016x}"),
            store_age_ms = edge.config_age().map(millis);
            "suspects_not_shared_in_time"
        );
    }
}

/// Takes over a record that its author reported directly, if the store does not list it in time and
/// this is one of its successors.
pub(crate) async fn hand_over(edge: Rc<Edge>, item: StoreItem) {
    if !is_ranked_within(&edge, &item.key, SUCCESSORS)
        || edge.unstored_evidence.get() >= MAX_UNSTORED
    {
        return;
    }
    let _guard = UnstoredGuard::new(&edge);
    let give_up_at = edge.now() + MAX_BAN;
    loop {
        tokio::time::sleep(HANDOVER_DELAY).await;
        if edge.now() >= give_up_at || is_listed(&edge, &item) || store(&edge, &item).await {
            return;
        }
    }
}

/// Whether this daemon is one of the first `count` that are responsible for a record. All daemons with the same
/// list of daemons agree on them.
pub(super) fn is_ranked_within(edge: &Edge, key: &str, count: usize) -> bool {
    let rank = |daemon: &str| hash_parts(&[key.as_bytes(), daemon.as_bytes()]);
    let own = rank(&edge.settings.daemon);
    let state = edge.state.borrow();
    let before = state.daemons.iter().filter(|peer| rank(&peer.id) < own);
    before.count() < count
}

fn is_listed(edge: &Edge, item: &StoreItem) -> bool {
    let state = edge.state.borrow();
    let items = state.mirror.items();
    items
        .binary_search_by(|known| known.key.cmp(&item.key))
        .is_ok()
}

/// Writes a record; returns whether the store has it.
async fn store(edge: &Edge, item: &StoreItem) -> bool {
    let ttl = MAX_BAN + LEASE_ROTATION;
    let lease = match edge.suspects_lease.get(edge, ttl, LEASE_ROTATION).await {
        Ok(lease) => lease,
        Err(failure) => {
            log::warn!(record:% = item.key, reason:% = failure.reason; "suspects_not_stored");
            return false;
        }
    };
    let record = StoreRequest::Swap {
        key: item.key.clone(),
        version: 0,
        value: item.value.clone().unwrap_or_default(),
        lease: Some(lease),
    };
    match records::call(edge, record).await {
        // A conflict means that an earlier write took effect and its answer was lost.
        Ok(StoreAnswer::Swapped | StoreAnswer::Conflict { .. }) => true,
        Ok(StoreAnswer::LeaseGone) => {
            edge.suspects_lease.forget();
            false
        }
        Ok(unexpected) => {
            log::warn!(record:% = item.key, answer:? = unexpected; "suspects_not_stored");
            false
        }
        Err(failure) => {
            log::warn!(record:% = item.key, reason:% = failure.reason; "suspects_not_stored");
            false
        }
    }
}

/// Sends a record to all announced daemons that are not in `told`, and adds those that took it.
async fn tell_peers(edge: &Edge, item: &StoreItem, told: &mut Vec<DaemonRecord>) {
    let peers: Vec<DaemonRecord> = {
        let state = edge.state.borrow();
        let is_untold =
            |peer: &&DaemonRecord| peer.id != edge.settings.daemon && !told.contains(peer);
        state.daemons.iter().filter(is_untold).cloned().collect()
    };
    let telling = peers.iter().map(|peer| tell(edge, peer, item));
    let results = futures::future::join_all(telling).await;
    let reached = peers.into_iter().zip(results);
    told.extend(reached.filter_map(|(peer, is_told)| is_told.then_some(peer)));
}

async fn tell(edge: &Edge, peer: &DaemonRecord, item: &StoreItem) -> bool {
    let telling = async {
        let client = MirrorClient::connect(peer.address, edge.peer_bytes.clone()).await?;
        client.report(std::slice::from_ref(item)).await
    };
    match tokio::time::timeout(REPORT_TIMEOUT, telling).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            log::info!(peer:% = peer.id, record:% = item.key, error:%; "suspects_not_reported");
            false
        }
        Err(_) => {
            let error = "the daemon did not answer within the timeout";
            log::info!(peer:% = peer.id, record:% = item.key, error; "suspects_not_reported");
            false
        }
    }
}
