//! The `fleet` and `config status` commands.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::ToCompactString;
use lapismoor_core::ids::FailureDomain;
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

/// Failure domains that the store lists as evacuated.
async fn read_evacuations(store: &StoreClient) -> Result<Vec<FailureDomain>, CommandError> {
    let listed = match tokio::time::timeout(CALL_TIMEOUT, (store.list)()).await {
        Ok(Ok(listed)) => listed,
        Ok(Err(error)) => return Err(no_answer(&error)),
        Err(elapsed) => return Err(no_answer(&elapsed)),
    };
    let updates = listed.items.iter().filter_map(store.decode);
    let domains = updates.filter_map(|update| match update {
        StoreUpdate::Evacuated { domain, .. } => Some(domain),
        _ => None,
    });
    Ok(domains.collect())
}

/// One line for each domain that the store or a daemon takes for evacuated: since when, and which
/// daemons have not followed.
fn render_evacuations(
    listed: &[FailureDomain],
    daemons: &[DaemonRecord],
    statuses: &[Option<Status>],
) -> String {
    let known = statuses.iter().flatten();
    let known = known.flat_map(|status| &status.evacuations);
    let known = known.map(|evacuation| &evacuation.domain);
    let mut domains: Vec<&FailureDomain> = listed.iter().chain(known).collect();
    domains.sort();
    domains.dedup();
    let mut text = String::new();
    for domain in domains {
        let is_listed = listed.contains(domain);
        let find = |status: &Status| {
            let mut evacuations = status.evacuations.iter();
            let found = evacuations.find(|evacuation| evacuation.domain == *domain);
            found.map(|evacuation| evacuation.since_ms_ago)
        };
        let answered = statuses.iter().flatten();
        let since_ms_ago = answered.filter_map(find).max();
        let has_followed = |status: &Status| find(status).is_some() == is_listed;
        let behind = daemons.iter().zip(statuses);
        let behind = behind.filter(|(_, status)| !status.as_ref().is_some_and(has_followed));
        let behind: Vec<&str> = behind.map(|(daemon, _)| daemon.id.as_str()).collect();
        let state = if is_listed {
            "evacuated"
        } else {
            "not evacuated any more"
        };
        let since = since_ms_ago.map_or("no daemon knows".into(), |ms| {
            format!("a daemon learned of the evacuation {ms} ms ago")
        });
        let behind = if behind.is_empty() {
            "all daemons have followed".into()
        } else {
            format!("not followed by {}", behind.join(", "))
        };
        writeln!(text, "{domain}: {state}, {since}, {behind}")
            .expect("writing to a string does not fail");
    }
    text
}

pub(crate) async fn fleet(store: &StoreClient, json: bool) -> Result<String, CommandError> {
    let daemons = read_daemons(store).await?;
    let statuses = fetch_statuses(&daemons).await;
    let evacuated = read_evacuations(store).await?;
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
    text.push_str(&render_evacuations(&evacuated, &daemons, &statuses));
    Ok(text)
}
