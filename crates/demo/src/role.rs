//! What one process of the demo is. The demo starts itself again in each role.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lapismoor::Settings;
use lapismoor_adapter_standin::{EngineSettings, Registration, RunningServer, ServiceSettings};
use serde::{Deserialize, Serialize};

/// Role of a process, passed as JSON in one argument.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A router daemon.
    Daemon {
        /// File with its settings.
        settings: PathBuf,
    },
    /// A model engine.
    Engine {
        /// Address to listen at.
        address: SocketAddr,
        /// Place in the store.
        registration: Registration,
        /// File for records.
        records: PathBuf,
        /// Chats that its cache holds.
        cached_chats: usize,
        /// Time to read a prompt that is not cached, in milliseconds.
        prefill_ms: u64,
        /// Time between tokens, in milliseconds.
        token_ms: u64,
        /// Tokens of an answer.
        tokens: usize,
    },
    /// A plain service.
    Service {
        /// Address to listen at.
        address: SocketAddr,
        /// Place in the store.
        registration: Registration,
        /// File for records.
        records: PathBuf,
        /// Time that a call takes, in milliseconds.
        work_ms: u64,
    },
    /// The key-value service.
    KeyValue {
        /// Address to listen at.
        address: SocketAddr,
    },
}

/// Plays a role until the process is told to stop.
#[must_use]
pub fn run(role: Role) -> ExitCode {
    if let Role::Daemon { settings } = role {
        return play_daemon(&settings);
    }
    let done = actix::System::new().block_on(async move { stand_in(role)?.server.await });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the stand-in failed: {error}; check its address and paths");
            ExitCode::FAILURE
        }
    }
}

fn play_daemon(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    lapismoor::run_process(settings)
}

fn stand_in(role: Role) -> std::io::Result<RunningServer> {
    match role {
        Role::Engine {
            address,
            registration,
            records,
            cached_chats,
            prefill_ms,
            token_ms,
            tokens,
        } => lapismoor_adapter_standin::serve_engine(EngineSettings {
            address,
            registration,
            records: Some(records),
            cached_chats,
            prefill: Duration::from_millis(prefill_ms),
            token_interval: Duration::from_millis(token_ms),
            tokens,
            may_crash: true,
        }),
        Role::Service {
            address,
            registration,
            records,
            work_ms,
        } => lapismoor_adapter_standin::serve_service(ServiceSettings {
            address,
            registration,
            records: Some(records),
            service_time: Duration::from_millis(work_ms),
        }),
        Role::KeyValue { address } => lapismoor_adapter_standin::serve_store(address),
        Role::Daemon { .. } => Err(std::io::Error::other("a daemon is no stand-in")),
    }
}
