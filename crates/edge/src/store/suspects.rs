//! Tells other daemons of requests that crash targets, by records in the store.

use bytes::Bytes;
use lapismoor_core::admission::Suspicion;
use lapismoor_core::admission::suspects::MAX_BAN;
use lapismoor_core::store::{StoreAnswer, StoreRequest};

use super::client::StoreClient;

/// Writes the record. One that was not written costs the others a crash each; there is nobody to wait
/// for it.
pub(crate) async fn publish(store: StoreClient, suspicion: Suspicion) {
    let lease = match (store.call)(StoreRequest::GrantLease { ttl: MAX_BAN }).await {
        Ok(StoreAnswer::Lease { lease }) => lease,
        other => {
            log::warn!(answer:? = other; "suspicion_not_told");
            return;
        }
    };
    let record = StoreRequest::Swap {
        key: suspicion.record_key(),
        version: 0,
        value: Bytes::new(),
        lease: Some(lease),
    };
    if let Err(failure) = (store.call)(record).await {
        log::warn!(reason:% = failure.reason; "suspicion_not_told");
    }
}
