//! HTTP client for the control and status endpoints of the processes of a fleet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lapismoor_adapter_standin::Faults;
use lapismoor_edge::Status;

/// Timeout of one request to a process of the fleet.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn client() -> awc::Client {
    awc::Client::builder().timeout(CALL_TIMEOUT).finish()
}

/// Replaces the injected faults of a stand-in.
///
/// # Errors
/// If the request fails or the stand-in rejects the faults.
pub async fn set_faults(address: SocketAddr, faults: &Faults) -> io::Result<()> {
    let url = format!("http://{address}/faults");
    let result = client().post(url).send_json(faults).await;
    let response = result.map_err(|error| io::Error::other(error.to_string()))?;
    if !response.status().is_success() {
        let message = format!("{address} rejected the faults: {}", response.status());
        return Err(io::Error::other(message));
    }
    Ok(())
}

/// Fetches the status of a daemon; `None` if the request fails or the response is not a status.
pub async fn status(operator_address: SocketAddr) -> Option<Status> {
    let url = format!("http://{operator_address}/status");
    let mut response = client().get(url).send().await.ok()?;
    response.json().await.ok()
}

/// Whether a daemon passes the health check of the load balancer.
pub async fn is_ready(caller_address: SocketAddr) -> bool {
    let url = format!("http://{caller_address}/health");
    let response = client().get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}
