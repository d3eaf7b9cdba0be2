//! Announces this daemon in the store, so that other daemons can reach it.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::ids::hash_parts;
use lapismoor_core::membership::DaemonRecord;
use lapismoor_core::store::LeaseId;

use super::client::{StoreClient, StoreError};
use crate::context::Edge;

/// Time after which the announcement of a crashed daemon expires. Other daemons detect the crash
/// themselves, so the lease can be long and cheap to renew.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between renewals; the lease survives two failed ones.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Average time between two announcements when a whole fleet starts at once. Each announcement
/// takes two writes, and the store accepts several hundred writes per second.
const WRITE_SPACING: Duration = Duration::from_millis(10);
/// Interval at which the task checks whether the first listing is complete.
pub(super) const LISTING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before the next attempt after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Announces the daemon and renews the lease for as long as the daemon runs.
pub(crate) async fn announce(edge: Rc<Edge>, client: StoreClient, record: DaemonRecord) {
    let mut lease: Option<LeaseId> = None;
    while !edge.state.borrow().has_loaded_targets && !edge.is_first_start.get() {
        tokio::time::sleep(LISTING_POLL_INTERVAL).await;
    }
    tokio::time::sleep(initial_delay(&edge)).await;
    loop {
        let call = match lease {
            None => (client.announce)(record.clone(), LEASE_TTL),
            Some(lease) => {
                let renewal = (client.renew)(lease);
                Box::pin(async move { renewal.await.map(|()| lease) })
            }
        };
        let limit = edge.settings.tuning.store_timeout;
        let result = tokio::time::timeout(limit, call).await;
        let next_delay = match result.unwrap_or_else(|_| Err(timed_out())) {
            Ok(current) => {
                lease = Some(current);
                RENEWAL_INTERVAL
            }
            Err(error) => {
                log::info!(error:%; "announcement_failed");
                if error == StoreError::LeaseEnded {
                    lease = None;
                }
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = tokio::time::sleep(next_delay) => {}
            () = edge.store_restored.notified() => {
                // The lease may be lost. If it is not, the announcement is only written again.
                lease = None;
                tokio::time::sleep(initial_delay(&edge)).await;
            }
        }
    }
}

/// Spreads the writes of a whole fleet that starts at once, or notices at once that the store was
/// restored. Delaying them is safe because the announcements from before are still used.
pub(crate) fn initial_delay(edge: &Edge) -> Duration {
    let fleet = edge.state.borrow().daemons.len();
    let position_permille = hash_parts(&[edge.settings.daemon.as_bytes()]) % 1_000;
    let position_permille = u32::try_from(position_permille).unwrap_or_default();
    WRITE_SPACING * u32::try_from(fleet).unwrap_or(u32::MAX) * position_permille / 1_000
}

fn timed_out() -> StoreError {
    StoreError::Unavailable {
        reason: "the store did not answer within the timeout".into(),
    }
}
