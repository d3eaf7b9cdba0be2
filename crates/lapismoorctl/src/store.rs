//! The key-value service, as the command uses it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lapismoor_core::config::{self, Accepted};
use lapismoor_core::store::{StoreFailure, StoreRequest, StoreResult};
use lapismoor_edge::StoreClient;

use crate::error::CommandError;

/// Time after which a call has failed.
const TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) fn connect(address: Option<SocketAddr>) -> Result<StoreClient, CommandError> {
    let address = address.ok_or(CommandError::NoAddress)?;
    Ok(lapismoor_adapter::store_client(address))
}

/// Makes a call.
pub(crate) async fn call(store: &StoreClient, request: StoreRequest) -> StoreResult {
    let answered = tokio::time::timeout(TIMEOUT, (store.call)(request)).await;
    answered.unwrap_or_else(|_| {
        Err(StoreFailure {
            reason: "no answer in time".into(),
        })
    })
}

/// The accepted configuration.
pub(crate) async fn accepted(store: &StoreClient) -> Result<Arc<Accepted>, CommandError> {
    let answer = call(store, config::read_request()).await;
    let answer = answer.map_err(|failure| CommandError::NoAnswer {
        reason: failure.reason,
    })?;
    config::parse_accepted(&answer).ok_or(CommandError::NoConfig)
}
