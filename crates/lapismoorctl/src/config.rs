//! The `config` commands, except `config status`.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use lapismoor_core::config::{Change, ChangeOutcome, ChangeStep, Config};
use lapismoor_edge::StoreClient;
use serde_json::json;
use snafu::ResultExt;

use crate::error::{CommandError, InvalidConfigSnafu, InvalidPlatformConfigSnafu, UnreadableSnafu};
use crate::store;

fn load_config(file: &Path) -> Result<Config, CommandError> {
    let bytes = std::fs::read(file).context(UnreadableSnafu { path: file })?;
    Config::parse(&bytes).context(InvalidConfigSnafu { path: file })
}

pub(crate) fn check(file: &Path, json: bool) -> Result<String, CommandError> {
    let config = load_config(file)?;
    if json {
        return Ok(format!("{}\n", json!({"valid": true})));
    }
    Ok(format!(
        "{} is valid: {} workspaces, {} pools, {} profiles\n",
        file.display(),
        config.workspaces.len(),
        config.pools.len(),
        config.profiles.len()
    ))
}

pub(crate) fn check_platform(file: &Path, json: bool) -> Result<String, CommandError> {
    let bytes = std::fs::read(file).context(UnreadableSnafu { path: file })?;
    let config = lapismoor_adapter::read_config(&bytes)
        .context(InvalidPlatformConfigSnafu { path: file })?;
    let (routes, services, keys) = config.sizes();
    let version = config.version();
    if json {
        return Ok(format!("{}\n", json!({"valid": true, "version": version})));
    }
    Ok(format!(
        "{} is valid: version {version}, {routes} routes, {services} services, {keys} keys\n",
        file.display(),
    ))
}

pub(crate) async fn show(store: &StoreClient, json: bool) -> Result<String, CommandError> {
    let accepted = store::read_accepted(store).await?;
    if json {
        return Ok(format!("{}\n", json!(*accepted)));
    }
    let text =
        serde_json::to_string_pretty(&accepted.config).expect("configuration should serialize");
    Ok(format!("{text}\n"))
}

pub(crate) async fn apply(
    store: &StoreClient,
    file: &Path,
    base: Option<u64>,
    json: bool,
) -> Result<String, CommandError> {
    let config = load_config(file)?;
    let mut change = Change::new(config, base, rand::random(), unix_time_ms());
    let mut call = change.begin();
    loop {
        let result = store::call(store, call).await;
        match change.next(&result) {
            ChangeStep::Call(next) => call = next,
            ChangeStep::Done(outcome) => return render_outcome(&outcome, json),
        }
    }
}

fn render_outcome(outcome: &ChangeOutcome, json: bool) -> Result<String, CommandError> {
    match outcome {
        ChangeOutcome::Accepted { revision } if json => {
            Ok(format!("{}\n", json!({"accepted": revision})))
        }
        ChangeOutcome::Accepted { revision } => Ok(format!(
            "revision {revision} is accepted; 'lapismoorctl config status' shows how many daemons have it in force\n"
        )),
        ChangeOutcome::Conflict { revision } => Err(CommandError::Conflict {
            revision: *revision,
        }),
        ChangeOutcome::NotWritten => Err(CommandError::NoAnswer {
            reason: "before the change was written".into(),
        }),
        ChangeOutcome::Unknown => Err(CommandError::UnknownEffect),
    }
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
