//! Command errors and their exit codes.

use std::path::PathBuf;

use compact_str::CompactString;
use lapismoor_core::config::ConfigError;
use lapismoor_edge::history::UncleanExit;
use snafu::Snafu;

/// Reasons for a command to fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    #[snafu(display(
        "no address of the key-value service; pass --key-value IP:PORT or set LAPISMOOR_KEY_VALUE"
    ))]
    NoStoreAddress,
    #[snafu(display(
        "the key-value service did not answer ({reason}); nothing was changed, try again"
    ))]
    NoAnswer { reason: CompactString },
    #[snafu(display(
        "no configuration has been accepted yet; run 'lapismoorctl config apply FILE'"
    ))]
    NoConfig,
    #[snafu(display(
        "no profile is named '{name}'; 'lapismoorctl profile list' lists the profiles"
    ))]
    NoProfile { name: String },
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} is invalid:\n{source}", path.display()))]
    InvalidConfig { path: PathBuf, source: ConfigError },
    #[snafu(display("{} is invalid: {source}; correct this field", path.display()))]
    InvalidPlatformConfig {
        path: PathBuf,
        source: lapismoor_adapter::DocumentError,
    },
    #[snafu(display(
        "no log line is about request {request}; pass the logs of all daemons from that time{}",
        format_unclean_exits(unclean_exits)
    ))]
    NoLogLine {
        request: String,
        unclean_exits: Vec<UncleanExit>,
    },
    #[snafu(display(
        "cannot read the status of {daemon}: {reason}; check the address and whether the daemon runs"
    ))]
    NoStatus {
        daemon: std::net::SocketAddr,
        reason: String,
    },
    #[snafu(display(
        "{daemon} did not explain the request: {reason}; \
         check the address, and whether the daemon runs and is of the same version"
    ))]
    NoDryRun {
        daemon: std::net::SocketAddr,
        reason: String,
    },
    #[snafu(display(
        "conflict with another change: revision {revision} is accepted; \
         review it with 'lapismoorctl config show' and apply again"
    ))]
    Conflict { revision: u64 },
    #[snafu(display(
        "the key-value service did not answer after the change was sent; \
         check with 'lapismoorctl config show' whether it was accepted"
    ))]
    UnknownEffect,
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoAnswer { .. }
            | Self::NoConfig
            | Self::NoProfile { .. }
            | Self::NoStatus { .. }
            | Self::NoDryRun { .. } => 1,
            Self::NoStoreAddress
            | Self::Unreadable { .. }
            | Self::InvalidConfig { .. }
            | Self::InvalidPlatformConfig { .. }
            | Self::NoLogLine { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::UnknownEffect => 4,
        }
    }
}

/// Lists the daemons that exited without logging `stopped`. Requests in flight there may have no
/// final log line.
fn format_unclean_exits(unclean_exits: &[UncleanExit]) -> String {
    if unclean_exits.is_empty() {
        return String::new();
    }
    let lines: Vec<String> = unclean_exits.iter().map(ToString::to_string).collect();
    format!(
        "; the request may have been lost at one of these daemons:\n  {}",
        lines.join("\n  ")
    )
}
