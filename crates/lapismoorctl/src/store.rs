//! Calls to the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lapismoor_core::config::{self, Accepted};
use lapismoor_core::store::{StoreFailure, StoreRequest, StoreResult};
use lapismoor_edge::StoreClient;

use crate::error::CommandError;

/// Timeout of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) fn connect(address: Option<SocketAddr>) -> Result<StoreClient, CommandError> {
    let address = address.ok_or(CommandError::NoStoreAddress)?;
    Ok(lapismoor_adapter::store_client(address))
}

/// Sends a request; fails if there is no answer within [`CALL_TIMEOUT`].
pub(crate) async fn call(store: &StoreClient, request: StoreRequest) -> StoreResult {
    let result = tokio::time::timeout(CALL_TIMEOUT, (store.call)(request)).await;
    result.unwrap_or_else(|_| {
        Err(StoreFailure {
            reason: "timed out".into(),
        })
    })
}

/// Reads the accepted configuration.
pub(crate) async fn read_accepted(store: &StoreClient) -> Result<Arc<Accepted>, CommandError> {
    let answer = call(store, config::read_request()).await;
    let answer = answer.map_err(|failure| CommandError::NoAnswer {
        reason: failure.reason,
    })?;
    config::parse_accepted(&answer).ok_or(CommandError::NoConfig)
}
