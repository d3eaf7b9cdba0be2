//! Announces this daemon in the store, so that others can ask it.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::ids::hash_parts;
use lapismoor_core::membership::DaemonRecord;
use lapismoor_core::store::LeaseId;

use super::client::{StoreClient, StoreError};
use crate::context::Edge;

/// Time after which the announcement of a lost daemon ends. Others notice its loss by themselves;
/// a long lease is cheap to keep.
const LEASE: Duration = Duration::from_secs(30);
/// Time between renewals: two may fail.
const RENEWAL: Duration = Duration::from_secs(10);
/// Time between two daemons' announcements; two writes each, of several hundred a second.
const WRITE_SPACING: Duration = Duration::from_millis(10);
/// Time between looks at whether the fleet is known.
const LISTING_POLL: Duration = Duration::from_millis(50);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps the announcement until the daemon ends.
pub(crate) async fn announce(edge: Rc<Edge>, client: StoreClient, record: DaemonRecord) {
    let mut lease: Option<LeaseId> = None;
    while !edge.state.borrow().has_loaded_targets {
        tokio::time::sleep(LISTING_POLL).await;
    }
    tokio::time::sleep(delay(&edge)).await;
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

/// Spreads the writes of a whole fleet that starts at once; the announcements of before still
/// stand.
fn delay(edge: &Edge) -> Duration {
    let fleet = edge.state.borrow().daemons.len();
    let place = hash_parts(&[edge.settings.daemon.as_bytes()]) % 1_000;
    let place = u32::try_from(place).unwrap_or_default();
    WRITE_SPACING * u32::try_from(fleet).unwrap_or(u32::MAX) * place / 1_000
}

fn no_answer() -> StoreError {
    StoreError::Unavailable {
        reason: "no answer in time".into(),
    }
}
