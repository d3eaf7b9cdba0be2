//! Publishes requests that crash targets to other daemons, as records in the store.

use bytes::Bytes;
use lapismoor_core::admission::Suspicion;
use lapismoor_core::admission::suspects::MAX_BAN;
use lapismoor_core::store::{StoreAnswer, StoreRequest};

use super::client::StoreClient;

/// Writes the record; a failure is only logged. No request waits for the write. Without the record,
/// another daemon learns of the request only when one of its own attempts crashes a target.
pub(crate) async fn publish(store: StoreClient, suspicion: Suspicion) {
    let lease = match (store.call)(StoreRequest::GrantLease { ttl: MAX_BAN }).await {
        Ok(StoreAnswer::Lease { lease }) => lease,
        unexpected => {
            log::warn!(answer:? = unexpected; "suspicion_not_told");
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
