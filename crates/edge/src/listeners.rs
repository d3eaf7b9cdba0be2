//! The sockets that a daemon listens on.

use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::settings::EdgeSettings;
use crate::start::{ListenSnafu, StartError};

/// The sockets that a daemon listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer's question whether the daemon is ready, if it has an address of its own.
    pub ready: Option<TcpListener>,
    /// For other daemons.
    pub peers: TcpListener,
    /// For metrics.
    pub metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings; port 0 takes a free one.
    ///
    /// # Errors
    /// [`StartError`] naming the address that cannot be had.
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
