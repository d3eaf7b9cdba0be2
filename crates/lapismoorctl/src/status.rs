//! `lapismoorctl status`.

use std::net::SocketAddr;
use std::time::Duration;

use lapismoor_edge::{Status, TargetStatus};
use serde_json::json;

use crate::error::CommandError;

/// Time for a daemon to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) async fn status(daemon: SocketAddr, json: bool) -> Result<String, CommandError> {
    let status = ask(daemon)
        .await
        .map_err(|reason| CommandError::NoStatus { daemon, reason })?;
    if json {
        return Ok(format!("{}\n", json!(status)));
    }
    Ok(tell(&status))
}

async fn ask(daemon: SocketAddr) -> Result<Status, String> {
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let request = client.get(format!("http://{daemon}/status"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    response.json().await.map_err(|error| error.to_string())
}

fn tell(status: &Status) -> String {
    let readiness = if status.is_ready {
        "ready"
    } else {
        "not ready"
    };
    let mut text = format!(
        "{}: {readiness}, configuration {}, store heard {} ago, {} requests in flight\n",
        status.daemon,
        status
            .config_version
            .map_or("none".into(), |version| version.to_string()),
        age(status.store_age_ms),
        status.in_flight,
    );
    for target in &status.targets {
        text.push_str(&tell_target(target));
    }
    text
}

fn tell_target(target: &TargetStatus) -> String {
    let mut state = target.standing.to_string();
    if target.is_paused {
        state.push_str(", paused");
    }
    if target.is_failing {
        state.push_str(", failing");
    }
    format!(
        "  {} of {}: {state}, {} own requests, load told {} ago, heard {} ms ago\n",
        target.id,
        target.service,
        target.own_requests,
        age(target.load_age_ms),
        target.heard_ms_ago,
    )
}

fn age(millis: Option<u64>) -> String {
    millis.map_or("never".into(), |millis| format!("{millis} ms"))
}
