//! Binds the sockets that a daemon listens on.

use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::settings::EdgeSettings;
use crate::start::{ListenSnafu, StartError};

/// Bound sockets of a daemon.
#[derive(Debug)]
pub struct Listeners {
    /// Requests of callers.
    pub callers: TcpListener,
    /// Readiness checks of the load balancer, if they have a separate address.
    pub ready: Option<TcpListener>,
    /// Connections of other daemons.
    pub peers: TcpListener,
    /// Metrics and status.
    pub metrics: TcpListener,
}

impl Listeners {
    /// Binds the configured addresses; port 0 binds a free port.
    ///
    /// # Errors
    /// [`StartError::Listen`] with the address that could not be bound.
    pub async fn bind(settings: &EdgeSettings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind(settings.caller_address, "caller_address").await?,
            ready: match settings.ready_address {
                Some(address) => Some(bind(address, "ready_address").await?),
                None => None,
            },
            peers: bind(settings.peer_address, "peer_address").await?,
            metrics: bind(settings.metrics_address, "metrics_address").await?,
        })
    }
}

async fn bind(address: SocketAddr, field: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.context(ListenSnafu { address, field })
}
