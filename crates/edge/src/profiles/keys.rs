//! Binds idempotency keys of callers to request ids through records in the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::{RateLimit, Refusal};
use lapismoor_core::failure::{Failure, FailureKind};
use lapismoor_core::ids::{RequestId, WorkspaceId};
use lapismoor_core::once::key_binding::store_unavailable;
use lapismoor_core::once::{BindStep, KEY_LEASE_ROTATION, KEY_LEASE_TTL, KeyBinding, record_key};
use lapismoor_core::store::{
    LeaseId, RecordKey, StoreAnswer, StoreFailure, StoreRequest, StoreResult,
};

use crate::context::Edge;
use crate::in_flight::CallerGuard;
use crate::store::{RecordLease, initial_delay, records};

/// Time in which the daemons of a small fleet learn of a restore and write their records again: their
/// longest call to the store, and its timeout, twice.
const MIN_REWRITE_TIME: Duration = Duration::from_secs(5);
/// The same for each further daemon, whose writes are spread.
const REWRITE_TIME_PER_DAEMON: Duration = Duration::from_millis(10);
/// Calls for one record after a restore.
const MAX_REWRITES: u32 = 5;
const REWRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The current lease of the key records, and the limit on the rate at which they are written.
#[derive(Debug)]
pub struct KeyLease {
    lease: RecordLease,
    rate: RefCell<RateLimit>,
}

impl KeyLease {
    /// Starts without a lease; at most `per_second` records are written per second.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self {
            lease: RecordLease::default(),
            rate: RefCell::new(RateLimit::new(Moment::ZERO, per_second, per_second)),
        }
    }

    /// Forgets a lease that may no longer exist.
    pub(crate) fn forget(&self) {
        self.lease.forget();
    }

    fn try_acquire(&self, now: Moment) -> Result<(), Duration> {
        self.rate.borrow_mut().take_token(now)
    }
}

/// Returns the request id to which a workspace's key is bound, and binds a new id if there is none.
///
/// # Errors
/// The failure to return to the caller, if the daemon has stopped to accept requests, the rate limit
/// is reached, or the record can be neither written nor read. The outcome is unknown: the key may be
/// bound at another daemon, which may have run the request.
pub(super) async fn bind_key(
    edge: &Edge,
    guard: &CallerGuard,
    workspace: &WorkspaceId,
    key: &CompactString,
) -> Result<RequestId, Failure> {
    let record = record_key(workspace, key);
    let known = edge.state.borrow().ledger.bound_id(&record);
    if let Some(id) = known {
        return Ok(id);
    }
    if !guard.is_accepted {
        let retry_after = Refusal::Stopping.retry_after();
        return Err(Failure::unknown(FailureKind::Stopping, retry_after));
    }
    let limited = edge.key_lease.try_acquire(edge.now());
    limited.map_err(|wait| Failure::unknown(FailureKind::WorkspaceLimit, Some(wait)))?;
    if may_have_lost_records(edge, &record).await {
        log::info!(record = record.as_str(); "key_not_bound_after_restore");
        return Err(store_unavailable());
    }
    let lease = current_lease(edge).await?;
    let now = edge.now();
    let id = edge.state.borrow_mut().ledger.issue(now, workspace)?;
    let mut binding = KeyBinding::new(record.clone(), id, lease);
    let mut call = binding.begin();
    loop {
        let result = call_store(edge, call).await;
        match binding.next(&result) {
            BindStep::Call(next) => call = next,
            BindStep::Bound(bound) => {
                edge.state.borrow_mut().ledger.bind_key(bound, record);
                return Ok(bound);
            }
            BindStep::LeaseGone => {
                edge.key_lease.forget();
                return Err(store_unavailable());
            }
            BindStep::Failed(failure) => return Err(failure),
        }
    }
}

/// Whether the store may have lost the record of a key, and its owner has not written it again: for a time
/// after it was restored from a copy, also if this daemon learns of that from this very read.
async fn may_have_lost_records(edge: &Edge, record: &RecordKey) -> bool {
    let read = StoreRequest::Read {
        key: record.clone(),
    };
    if let Ok(StoreAnswer::Read { record: Some(_) }) = call_store(edge, read).await {
        return false;
    }
    let copy = edge.state.borrow().mirror.revision();
    let is_behind = copy.is_some_and(|copy| copy.era < edge.store.era.get());
    let restored_at = edge.store_restored_at.get();
    is_behind || restored_at.is_some_and(|at| edge.now() < at + rewrite_time(edge))
}

/// Time after a restore of the store in which the owners of keys write their records again.
fn rewrite_time(edge: &Edge) -> Duration {
    let daemons = u32::try_from(edge.state.borrow().daemons.len()).unwrap_or(u32::MAX);
    MIN_REWRITE_TIME.saturating_add(REWRITE_TIME_PER_DAEMON.saturating_mul(daemons))
}

/// Writes the records of this daemon's keys again whenever the store was restored from a copy.
pub(crate) async fn rewrite_records(edge: Rc<Edge>) {
    loop {
        edge.store_restored.notified().await;
        tokio::time::sleep(initial_delay(&edge)).await;
        let bound = edge.state.borrow().ledger.bound_keys();
        let mut written: usize = 0;
        for (record, id) in &bound {
            if let Err(wait) = edge.key_lease.try_acquire(edge.now()) {
                tokio::time::sleep(wait).await;
            }
            written += usize::from(rewrite(&edge, record, *id).await);
        }
        if !bound.is_empty() {
            let keys = bound.len() as u64;
            log::info!(keys, written = written as u64; "key_records_rewritten");
        }
    }
}

/// Writes a record again; returns whether the key is bound to `id` then.
async fn rewrite(edge: &Edge, record: &RecordKey, id: RequestId) -> bool {
    for _ in 0..MAX_REWRITES {
        let Ok(lease) = current_lease(edge).await else {
            tokio::time::sleep(REWRITE_RETRY_DELAY).await;
            continue;
        };
        let binding = KeyBinding::new(record.clone(), id, lease);
        match call_store(edge, binding.begin()).await {
            Ok(StoreAnswer::Swapped) => return true,
            Ok(StoreAnswer::Conflict { record: Some(kept) }) => {
                return kept.value == id.to_string().as_bytes();
            }
            Ok(StoreAnswer::LeaseGone) => edge.key_lease.forget(),
            _ => tokio::time::sleep(REWRITE_RETRY_DELAY).await,
        }
    }
    false
}

async fn current_lease(edge: &Edge) -> Result<LeaseId, Failure> {
    let lease = edge
        .key_lease
        .lease
        .get(edge, KEY_LEASE_TTL, KEY_LEASE_ROTATION);
    lease.await.map_err(|failure| {
        log_failure(&failure);
        store_unavailable()
    })
}

async fn call_store(edge: &Edge, request: StoreRequest) -> StoreResult {
    records::call(edge, request).await.inspect_err(log_failure)
}

fn log_failure(failure: &StoreFailure) {
    log::warn!(reason:% = failure.reason; "key_record_call_failed");
}
