//! The `status` command.

use std::net::SocketAddr;
use std::time::Duration;

use lapismoor_edge::{EvacuationStatus, Status, TargetStatus};
use serde_json::json;

use crate::error::CommandError;

/// Timeout of a status request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) async fn status(daemon: SocketAddr, json: bool) -> Result<String, CommandError> {
    let status = fetch_status(daemon)
        .await
        .map_err(|reason| CommandError::NoStatus { daemon, reason })?;
    if json {
        return Ok(format!("{}\n", json!(status)));
    }
    Ok(render(&status))
}

async fn fetch_status(daemon: SocketAddr) -> Result<Status, String> {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = client.get(format!("http://{daemon}/status"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    response.json().await.map_err(|error| error.to_string())
}

fn render(status: &Status) -> String {
    let readiness = if status.is_ready {
        "ready"
    } else {
        "not ready"
    };
    let mut text = format!(
        "{}: {readiness}, configuration {}, store data last confirmed {}, {} requests in flight\n",
        status.daemon,
        status
            .config_version
            .map_or("none".into(), |version| version.to_string()),
        format_age(status.store_age_ms),
        status.in_flight,
    );
    for evacuation in &status.evacuations {
        text.push_str(&render_evacuation(evacuation));
    }
    for target in &status.targets {
        text.push_str(&render_target(target));
    }
    text
}

fn render_evacuation(evacuation: &EvacuationStatus) -> String {
    let progress = if evacuation.is_complete {
        "no request is sent there"
    } else {
        "requests are moving to other domains"
    };
    format!(
        "  {} is evacuated since {} ms ago: {progress}\n",
        evacuation.domain, evacuation.since_ms_ago
    )
}

fn render_target(target: &TargetStatus) -> String {
    let mut state = target.standing.to_string();
    if target.is_paused {
        state.push_str(", paused");
    }
    if target.is_failing {
        state.push_str(", failing");
    }
    format!(
        "  {} of {}: {state}, {} requests from this daemon, last load report {}, last heard from {} ms ago\n",
        target.id,
        target.service,
        target.own_requests,
        format_age(target.load_age_ms),
        target.heard_ms_ago,
    )
}

fn format_age(millis: Option<u64>) -> String {
    millis.map_or("never".into(), |millis| format!("{millis} ms ago"))
}
