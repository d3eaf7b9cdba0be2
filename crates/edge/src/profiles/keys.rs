//! Binds callers' own keys to request ids, by records in the store.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::RateLimit;
use lapismoor_core::failure::{Failure, FailureKind};
use lapismoor_core::ids::{RequestId, WorkspaceId};
use lapismoor_core::once::key_binding::store_unavailable;
use lapismoor_core::once::{BindStep, KEY_LEASE_ROTATION, KEY_LEASE_TTL, KeyBinding, record_key};
use lapismoor_core::store::{LeaseId, StoreAnswer, StoreFailure, StoreRequest, StoreResult};

use crate::context::Edge;

/// The lease of the records, and how many of them this daemon writes.
#[derive(Debug)]
pub struct KeyLease {
    lease: Cell<Option<(LeaseId, Moment)>>,
    rate: RefCell<RateLimit>,
}

impl KeyLease {
    /// No lease yet; `per_second` records may be written a second.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self {
            lease: Cell::new(None),
            rate: RefCell::new(RateLimit::new(Moment::ZERO, per_second, per_second)),
        }
    }

    fn take(&self, now: Moment) -> Result<(), Duration> {
        self.rate.borrow_mut().take(now)
    }
}

/// The id that a key of a workspace is bound to; binds it if it is not.
///
/// # Errors
/// The final answer, if the record can be neither written nor read.
pub(super) async fn bind(
    edge: &Edge,
    workspace: &WorkspaceId,
    key: &CompactString,
) -> Result<RequestId, Failure> {
    let record = record_key(workspace, key);
    let known = edge.state.borrow().ledger.bound(&record);
    if let Some(id) = known {
        return Ok(id);
    }
    let limited = edge.key_lease.take(edge.now());
    limited.map_err(|wait| Failure::unknown(FailureKind::WorkspaceLimit, Some(wait)))?;
    let lease = lease(edge).await?;
    let now = edge.now();
    let id = edge.state.borrow_mut().ledger.issue(now, workspace)?;
    let mut binding = KeyBinding::new(record.clone(), id, lease);
    let mut call = binding.begin();
    loop {
        let result = ask(edge, call).await;
        match binding.next(&result) {
            BindStep::Call(next) => call = next,
            BindStep::Bound(bound) => {
                edge.state.borrow_mut().ledger.bind(bound, record);
                return Ok(bound);
            }
            BindStep::LeaseGone => {
                edge.key_lease.lease.set(None);
                return Err(store_unavailable());
            }
            BindStep::Failed(failure) => return Err(failure),
        }
    }
}

async fn lease(edge: &Edge) -> Result<LeaseId, Failure> {
    if let Some((lease, until)) = edge.key_lease.lease.get()
        && edge.now() < until
    {
        return Ok(lease);
    }
    let request = StoreRequest::GrantLease { ttl: KEY_LEASE_TTL };
    let Ok(StoreAnswer::Lease { lease }) = ask(edge, request).await else {
        return Err(store_unavailable());
    };
    let until = edge.now() + KEY_LEASE_ROTATION;
    edge.key_lease.lease.set(Some((lease, until)));
    Ok(lease)
}

async fn ask(edge: &Edge, request: StoreRequest) -> StoreResult {
    let limit = edge.settings.tuning.store_timeout;
    let answered = tokio::time::timeout(limit, (edge.store.call)(request)).await;
    let result = answered.unwrap_or_else(|_| {
        Err(StoreFailure {
            reason: "no answer in time".into(),
        })
    });
    edge.metrics.count_store_call("store", result.is_ok());
    if let Err(failure) = &result {
        log::warn!(reason:% = failure.reason; "key_record_call_failed");
    }
    result
}
