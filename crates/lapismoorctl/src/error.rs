//! Errors of the command, with their exit codes.

use std::path::PathBuf;

use compact_str::CompactString;
use lapismoor_core::config::ConfigError;
use lapismoor_edge::history::UncleanExit;
use snafu::Snafu;

/// Why the command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    #[snafu(display("name the key-value service: --key-value IP:PORT or LAPISMOOR_KEY_VALUE"))]
    NoAddress,
    #[snafu(display(
        "the key-value service does not answer ({reason}); nothing was changed, try again"
    ))]
    NoAnswer { reason: CompactString },
    #[snafu(display("no configuration was accepted yet; run 'lapismoorctl config apply FILE'"))]
    NoConfig,
    #[snafu(display("there is no profile '{name}'; 'lapismoorctl profile list' lists them"))]
    NoProfile { name: String },
    #[snafu(display("cannot read {}: {source}; check the path and its rights", path.display()))]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} is refused:\n{source}", path.display()))]
    Invalid { path: PathBuf, source: ConfigError },
    #[snafu(display("{} is refused: {source}; correct this field", path.display()))]
    InvalidDocument {
        path: PathBuf,
        source: lapismoor_adapter::DocumentError,
    },
    #[snafu(display(
        "no line is about request {request}; pass the logs of all daemons of that time{}",
        listed(kills)
    ))]
    NoLine {
        request: String,
        kills: Vec<UncleanExit>,
    },
    #[snafu(display("{daemon} does not tell its status: {reason}; check address and daemon"))]
    NoStatus {
        daemon: std::net::SocketAddr,
        reason: String,
    },
    #[snafu(display(
        "another change came first: revision {revision} is accepted; \
         look at it with 'lapismoorctl config show' and apply again"
    ))]
    Conflict { revision: u64 },
    #[snafu(display(
        "the key-value service fell silent after the change was sent; \
         'lapismoorctl config show' tells whether it was accepted"
    ))]
    UnknownEffect,
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoAnswer { .. }
            | Self::NoConfig
            | Self::NoProfile { .. }
            | Self::NoStatus { .. } => 1,
            Self::NoAddress
            | Self::Unreadable { .. }
            | Self::Invalid { .. }
            | Self::InvalidDocument { .. }
            | Self::NoLine { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::UnknownEffect => 4,
        }
    }
}

/// Daemons at which a request may have ended without a line.
fn listed(kills: &[UncleanExit]) -> String {
    if kills.is_empty() {
        return String::new();
    }
    let lines: Vec<String> = kills.iter().map(ToString::to_string).collect();
    format!(
        "; if it was sent to one of these, the daemon's end cut it off:\n  {}",
        lines.join("\n  ")
    )
}
