//! Announces this daemon in the store, so that others can ask it.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::membership::DaemonRecord;

use super::client::{LeaseId, StoreClient, StoreError};
use crate::context::Edge;

/// Time after which the announcement of a lost daemon ends. Others notice its loss by themselves;
/// a long lease is cheap to keep.
const LEASE: Duration = Duration::from_secs(30);
/// Time between renewals: two may fail.
const RENEWAL: Duration = Duration::from_secs(10);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps the announcement until the daemon ends.
pub(crate) async fn announce(edge: Rc<Edge>, client: StoreClient, record: DaemonRecord) {
    let mut lease: Option<LeaseId> = None;
    loop {
        let call = match lease {
            None => (client.announce)(record.clone(), LEASE),
            Some(lease) => {
                let renewal = (client.renew)(lease);
                Box::pin(async move { renewal.await.map(|()| lease) })
            }
        };
        let limit = edge.settings.tuning.store_timeout;
        let result = tokio::time::timeout(limit, call).await;
        let pause = match result.unwrap_or_else(|_| Err(no_answer())) {
            Ok(kept) => {
                lease = Some(kept);
                RENEWAL
            }
            Err(error) => {
                log::info!(error:%; "announcement_failed");
                if error == StoreError::LeaseEnded {
                    lease = None;
                }
                PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn no_answer() -> StoreError {
    StoreError::Unavailable {
        reason: "no answer in time".into(),
    }
}
