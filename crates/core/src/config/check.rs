//! Validation of a profile configuration. A document with any problem is rejected as a whole.

use std::fmt;

use snafu::Snafu;

use super::{Config, Pool, PoolKind, Profile, Workspace};

/// Maximum `deadline_ms` of a profile.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Length of a hex-encoded SHA-256.
const SHA256_HEX_CHARS: usize = 64;

value! {
    /// An invalid field.
    pub struct Problem {
        /// Path of the field, such as `pools[0].name`.
        pub path: String,
        /// What is wrong, and how to correct it.
        pub remedy: String,
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

/// Why a configuration was rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// The text is not JSON, or not a configuration.
    #[snafu(display("at {}: {}; correct this field", source.path(), source.inner()))]
    Syntax {
        /// Path of the field and the parser's error.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// The document is followed by other text.
    #[snafu(display("unexpected text after the document: {source}; remove it"))]
    Trailing {
        /// Position of the text.
        source: serde_json::Error,
    },
    /// Fields are inconsistent or out of range.
    #[snafu(display("{}", join(problems)))]
    Refused {
        /// All problems found.
        problems: Vec<Problem>,
    },
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Validates a document and reports all problems together.
pub(super) fn check(config: &Config) -> Result<(), ConfigError> {
    let mut problems = Vec::new();
    check_names(config, &mut problems);
    for (index, workspace) in config.workspaces.iter().enumerate() {
        check_workspace(&format!("workspaces[{index}]"), workspace, &mut problems);
    }
    for (index, pool) in config.pools.iter().enumerate() {
        check_pool(&format!("pools[{index}]"), pool, &mut problems);
    }
    for (index, profile) in config.profiles.iter().enumerate() {
        check_profile(
            &format!("profiles[{index}]"),
            profile,
            config,
            &mut problems,
        );
    }
    if problems.is_empty() {
        return Ok(());
    }
    RefusedSnafu { problems }.fail()
}

fn check_names(config: &Config, problems: &mut Vec<Problem>) {
    let workspaces: Vec<&str> = config.workspaces.iter().map(|w| w.name.as_str()).collect();
    let pools: Vec<&str> = config.pools.iter().map(|p| p.name.as_str()).collect();
    let profiles: Vec<&str> = config.profiles.iter().map(|p| p.name.as_str()).collect();
    check_unique("workspaces", &workspaces, problems);
    check_unique("pools", &pools, problems);
    check_unique("profiles", &profiles, problems);
    let keys: Vec<&str> = config
        .workspaces
        .iter()
        .map(|w| w.key_sha256.as_str())
        .collect();
    for (index, key) in keys.iter().enumerate() {
        if keys[..index].contains(key) {
            let path = format!("workspaces[{index}].key_sha256");
            problems.push(problem(
                path,
                "two workspaces share a key; give each its own",
            ));
        }
    }
}

fn check_unique(list: &str, names: &[&str], problems: &mut Vec<Problem>) {
    for (index, name) in names.iter().enumerate() {
        let path = format!("{list}[{index}].name");
        if !is_name(name) {
            problems.push(problem(
                path,
                "use 1 to 64 lower-case letters, digits, '-', '_' or '.'",
            ));
        } else if names[..index].contains(name) {
            problems.push(problem(path, "duplicate name; rename one"));
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    (1..=64).contains(&name.len()) && name.chars().all(allowed)
}

fn check_workspace(path: &str, workspace: &Workspace, problems: &mut Vec<Problem>) {
    let key = &workspace.key_sha256;
    let is_hex = key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
    if key.len() != SHA256_HEX_CHARS || !is_hex {
        let remedy = "give the SHA-256 of the key as 64 lower-case hex digits";
        problems.push(problem(format!("{path}.key_sha256"), remedy));
    }
    if workspace.weight == 0 {
        problems.push(problem(format!("{path}.weight"), "use 1 or more"));
    }
    let rate = workspace.requests_per_second;
    if !rate.is_finite() || rate <= 0.0 {
        problems.push(problem(
            format!("{path}.requests_per_second"),
            "use a number above 0",
        ));
    }
    if workspace.concurrent_requests == 0 {
        problems.push(problem(
            format!("{path}.concurrent_requests"),
            "use 1 or more",
        ));
    }
}

fn check_pool(path: &str, pool: &Pool, problems: &mut Vec<Problem>) {
    if !(1.05..=10.0).contains(&pool.load_multiple) {
        problems.push(problem(format!("{path}.load_multiple"), "use 1.05 to 10"));
    }
    if pool.slots_per_target == 0 {
        problems.push(problem(format!("{path}.slots_per_target"), "use 1 or more"));
    }
    let is_service = pool.kind == PoolKind::Service;
    if is_service && !pool.models.is_empty() {
        let remedy = "a service has no models; remove them or set kind to engines";
        problems.push(problem(format!("{path}.models"), remedy));
    }
    if !is_service && pool.models.is_empty() {
        problems.push(problem(
            format!("{path}.models"),
            "name the models its engines serve",
        ));
    }
    if !is_service && !pool.calls.is_empty() {
        let remedy = "call rules belong to services; remove them or set kind to service";
        problems.push(problem(format!("{path}.calls"), remedy));
    }
}

fn check_profile(path: &str, profile: &Profile, config: &Config, problems: &mut Vec<Problem>) {
    match config.pool(&profile.pool) {
        None => {
            let remedy = format!("there is no pool '{}'; define it under pools", profile.pool);
            problems.push(problem(format!("{path}.pool"), &remedy));
        }
        Some(pool) if pool.kind == PoolKind::Engines && !pool.models.contains(&profile.model) => {
            let remedy = format!("pool '{}' lists no model '{}'", pool.name, profile.model);
            problems.push(problem(format!("{path}.model"), &remedy));
        }
        Some(_) => {}
    }
    if !(1..=MAX_DEADLINE_MS).contains(&profile.deadline_ms) {
        problems.push(problem(
            format!("{path}.deadline_ms"),
            "use 1 to 600000 milliseconds",
        ));
    }
    if !(0.0..=1.0).contains(&profile.reuse_weight) {
        problems.push(problem(
            format!("{path}.reuse_weight"),
            "use a number from 0 to 1",
        ));
    }
    if !(1..=5).contains(&profile.attempts) {
        problems.push(problem(format!("{path}.attempts"), "use 1 to 5"));
    }
}

fn problem(path: String, remedy: &str) -> Problem {
    Problem {
        path,
        remedy: remedy.to_owned(),
    }
}
