//! The `fleet` and `config status` commands.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::ToCompactString;
use lapismoor_core::membership::DaemonRecord;
use lapismoor_edge::{Consistency, Status, StoreClient, StoreUpdate};
use serde_json::json;

use crate::error::CommandError;
use crate::store;

/// Timeout of a call to the key-value service or to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

async fn read_daemons(store: &StoreClient) -> Result<Vec<DaemonRecord>, CommandError> {
    let result =
        tokio::time::timeout(CALL_TIMEOUT, (store.list_daemons)(Consistency::Latest)).await;
    let items = match result {
        Ok(Ok(items)) => items,
        Ok(Err(error)) => return Err(no_answer(&error)),
        Err(elapsed) => return Err(no_answer(&elapsed)),
    };
    let records = items.iter().filter_map(store.decode);
    let records = records.filter_map(|update| match update {
        StoreUpdate::Daemon(record) => Some(record),
        _ => None,
    });
    Ok(records.collect())
}

fn no_answer(error: &impl ToCompactString) -> CommandError {
    CommandError::NoAnswer {
        reason: error.to_compact_string(),
    }
}

async fn fetch_status(address: SocketAddr) -> Option<Status> {
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut response = client
        .get(format!("http://{address}/status"))
        .send()
        .await
        .ok()?;
    response.json().await.ok()
}

async fn fetch_statuses(daemons: &[DaemonRecord]) -> Vec<Option<Status>> {
    let requests = daemons.iter().map(|daemon| async {
        let address = daemon.operator_address?;
        fetch_status(address).await
    });
    futures::future::join_all(requests).await
}

pub(crate) async fn config_status(store: &StoreClient, json: bool) -> Result<String, CommandError> {
    let accepted = store::read_accepted(store).await?.revision;
    let daemons = read_daemons(store).await?;
    let statuses = fetch_statuses(&daemons).await;
    let in_force = statuses
        .iter()
        .flatten()
        .filter(|s| s.revision == accepted)
        .count();
    let unanswered = statuses.iter().filter(|status| status.is_none()).count();
    if json {
        let report = json!({
            "accepted": accepted,
            "daemons": daemons.len(),
            "in_force": in_force,
            "no_answer": unanswered,
        });
        return Ok(format!("{report}\n"));
    }
    Ok(format!(
        "revision {accepted} is accepted, in force on {in_force} of {} daemons ({unanswered} did not answer)\n",
        daemons.len()
    ))
}

pub(crate) async fn fleet(store: &StoreClient, json: bool) -> Result<String, CommandError> {
    let daemons = read_daemons(store).await?;
    let statuses = fetch_statuses(&daemons).await;
    if json {
        return Ok(format!("{}\n", json!(statuses)));
    }
    let mut text = format!(
        "{:16} {:14} {:6} {:>8} {:>8} {:>8}\n",
        "DAEMON", "DOMAIN", "READY", "REVISION", "ACTIVE", "TARGETS"
    );
    for (daemon, status) in daemons.iter().zip(&statuses) {
        let Some(status) = status else {
            writeln!(text, "{:16} {:14} no answer", daemon.id, daemon.domain)
                .expect("writing to a string does not fail");
            continue;
        };
        let in_use = status.targets.iter().filter(|target| target.is_in_use());
        writeln!(
            text,
            "{:16} {:14} {:6} {:>8} {:>8} {:>8}",
            daemon.id,
            daemon.domain,
            if status.is_ready { "yes" } else { "no" },
            status.revision,
            status.in_flight,
            in_use.count(),
        )
        .expect("writing to a string does not fail");
    }
    Ok(text)
}
