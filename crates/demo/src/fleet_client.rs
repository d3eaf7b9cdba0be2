//! What the parts of a fleet are asked from outside.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lapismoor_adapter_standin::Faults;
use lapismoor_edge::Status;

/// Time after which a call to a part of the fleet has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn client() -> awc::Client {
    awc::Client::builder().timeout(CALL_TIMEOUT).finish()
}

/// Switches the faults of a stand-in.
///
/// # Errors
/// When it does not answer, or refuses them.
pub async fn set_faults(address: SocketAddr, faults: &Faults) -> io::Result<()> {
    let url = format!("http://{address}/faults");
    let sent = client().post(url).send_json(faults).await;
    let response = sent.map_err(|error| io::Error::other(error.to_string()))?;
    if !response.status().is_success() {
        let message = format!("{address} refused the faults: {}", response.status());
        return Err(io::Error::other(message));
    }
    Ok(())
}

/// Status of a daemon, if it answers.
pub async fn status(operator_address: SocketAddr) -> Option<Status> {
    let url = format!("http://{operator_address}/status");
    let mut response = client().get(url).send().await.ok()?;
    response.json().await.ok()
}

/// Whether a daemon passes the balancer's health check.
pub async fn is_ready(caller_address: SocketAddr) -> bool {
    let url = format!("http://{caller_address}/health");
    let response = client().get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}
