//! Calls on the fleet's own records in the store, and the leases that the records are attached to.

use std::cell::Cell;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::store::{LeaseId, StoreAnswer, StoreFailure, StoreRequest, StoreResult};

use crate::context::Edge;

/// A lease that is replaced before it expires, so that each record attached to it lasts at least
/// for the difference.
#[derive(Debug, Default)]
pub struct RecordLease {
    /// The lease, and the time until which new records may use it.
    current: Cell<Option<(LeaseId, Moment)>>,
}

impl RecordLease {
    /// Returns the current lease, or grants one with `ttl` that new records may use for `rotation`.
    ///
    /// # Errors
    /// [`StoreFailure`] if the store grants none.
    pub(crate) async fn get(
        &self,
        edge: &Edge,
        ttl: Duration,
        rotation: Duration,
    ) -> Result<LeaseId, StoreFailure> {
        if let Some((lease, use_until)) = self.current.get()
            && edge.now() < use_until
        {
            return Ok(lease);
        }
        let lease = match call(edge, StoreRequest::GrantLease { ttl }).await? {
            StoreAnswer::Lease { lease } => lease,
            unexpected => {
                return Err(StoreFailure {
                    reason: format!("unexpected answer to a lease request: {unexpected:?}").into(),
                });
            }
        };
        self.current.set(Some((lease, edge.now() + rotation)));
        Ok(lease)
    }

    /// Forgets a lease that no longer exists.
    pub(crate) fn forget(&self) {
        self.current.set(None);
    }
}

/// Executes a call within the timeout for answers of the store.
///
/// # Errors
/// [`StoreFailure`] if the store did not answer; a write may have taken effect.
pub(crate) async fn call(edge: &Edge, request: StoreRequest) -> StoreResult {
    let limit = edge.settings.tuning.store_timeout;
    let answered = tokio::time::timeout(limit, (edge.store.call)(request)).await;
    let result = answered.unwrap_or_else(|_| {
        Err(StoreFailure {
            reason: "the store did not answer within the timeout".into(),
        })
    });
    edge.metrics.count_store_call("store", result.is_ok());
    result
}
