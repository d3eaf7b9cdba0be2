//! Roles of the processes of a fleet. The program starts itself again in each role.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lapismoor::Settings;
use lapismoor_adapter_standin::{EngineSettings, Registration, RunningServer, ServiceSettings};
use serde::{Deserialize, Serialize};

/// Role of a process, passed to it as JSON in one argument.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A router daemon.
    Daemon {
        /// JSON file with the settings of the daemon.
        settings: PathBuf,
    },
    /// A model engine.
    Engine {
        /// Listen address.
        address: SocketAddr,
        /// Entry of the target in the key-value store.
        registration: Registration,
        /// File to which run records are appended.
        records: PathBuf,
        /// Number of chats whose context the cache holds.
        cached_chats: usize,
        /// Time to process a prompt that is not cached, in milliseconds.
        prefill_ms: u64,
        /// Time between two tokens, in milliseconds.
        token_ms: u64,
        /// Number of tokens in a response.
        tokens: usize,
    },
    /// A plain service.
    Service {
        /// Listen address.
        address: SocketAddr,
        /// Entry of the target in the key-value store.
        registration: Registration,
        /// File to which run records are appended.
        records: PathBuf,
        /// Duration of a call, in milliseconds.
        work_ms: u64,
    },
    /// The key-value service.
    KeyValue {
        /// Listen address.
        address: SocketAddr,
    },
}

/// Runs a role until the process is asked to stop; returns its exit code.
#[must_use]
pub fn run(role: Role) -> ExitCode {
    if let Role::Daemon { settings } = role {
        return run_daemon(&settings);
    }
    let result = actix::System::new().block_on(async move { start_stand_in(role)?.server.await });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the stand-in failed: {error}; check its address and paths");
            ExitCode::FAILURE
        }
    }
}

fn run_daemon(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    lapismoor::run_process(settings)
}

fn start_stand_in(role: Role) -> std::io::Result<RunningServer> {
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
        Role::Daemon { .. } => Err(std::io::Error::other("a daemon has no stand-in")),
    }
}
