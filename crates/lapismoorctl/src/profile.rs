//! The `profile` commands.

use std::fmt::Write;

use lapismoor_edge::StoreClient;
use serde_json::json;

use crate::error::CommandError;
use crate::store;

pub(crate) async fn list(store: &StoreClient, json: bool) -> Result<String, CommandError> {
    let accepted = store::read_accepted(store).await?;
    let profiles = &accepted.config.profiles;
    if json {
        return Ok(format!("{}\n", json!(profiles)));
    }
    let mut text = format!(
        "{:24} {:20} {:12} {:>12} {:>6}\n",
        "PROFILE", "POOL", "CLASS", "DEADLINE_MS", "REUSE"
    );
    for profile in profiles {
        let class = json!(profile.class);
        let class = class.as_str().expect("class should serialize as a string");
        writeln!(
            text,
            "{:24} {:20} {class:12} {:>12} {:>6}",
            profile.name, profile.pool, profile.deadline_ms, profile.reuse_weight
        )
        .expect("writing to a string does not fail");
    }
    Ok(text)
}

pub(crate) async fn show(store: &StoreClient, name: &str) -> Result<String, CommandError> {
    let accepted = store::read_accepted(store).await?;
    let Some(profile) = accepted.config.profile(name) else {
        return Err(CommandError::NoProfile { name: name.into() });
    };
    let text = serde_json::to_string_pretty(profile).expect("profile should serialize");
    Ok(format!("{text}\n"))
}
