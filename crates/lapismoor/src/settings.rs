//! Daemon settings, read from a JSON file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lapismoor_caller::CallerSettings;
use lapismoor_core::ids::{DaemonId, FailureDomain, Region};
use lapismoor_core::once::OnceSettings;
use lapismoor_core::retry::RetryBudgetSettings;
use lapismoor_core::routing::{LoadBound, Regions};
use lapismoor_edge::{EdgeSettings, FleetLimits, Tuning};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Load bound of services whose pool sets none. The users require at most twice the mean load of
/// the service plus three requests.
const DEFAULT_LOAD_BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};

/// Descriptors without which a daemon can't serve.
const MIN_FDS: u32 = 64;

/// All settings of a daemon. Unknown fields are rejected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the daemon and its addresses for peers and operators.
    pub core: CoreSettings,
    /// Listen address for callers and for the load balancer's health check.
    pub caller_address: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Region of each failure domain, for profiles and workspaces with home regions.
    #[serde(default)]
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Limits on requests from callers.
    #[serde(default)]
    pub caller: CallerSettings,
    /// Limits on tickets, idempotency keys and answers kept for repeated requests.
    #[serde(default)]
    pub once: OnceSettings,
    /// Limits that the operators guarantee to users.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Internal timeouts, wait times and log sampling.
    #[serde(default)]
    pub tuning: Tuning,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// File to which spans are written as JSON lines. Without it, no spans are written.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
}

/// Identity of a daemon and its addresses for peers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoreSettings {
    /// Daemon name, unique in the fleet.
    pub daemon: DaemonId,
    /// Failure domain in which the daemon runs.
    pub failure_domain: FailureDomain,
    /// Listen address for other daemons.
    pub peer_address: SocketAddr,
    /// Listen address for operators, which serves status and metrics.
    pub operator_address: SocketAddr,
    /// Network bandwidth of the VM, in megabits per second. The VMs with the most bandwidth read
    /// the store on behalf of the others.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: u32,
    /// Memory that the process may use, in mebibytes. Shares of it bound what requests and answers
    /// buffer together.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Descriptors that the process may use; without it, as many as the system allows.
    #[serde(default)]
    pub max_fds: Option<u32>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub key_value_address: SocketAddr,
}

/// Limits that the operators guarantee to users and the daemon enforces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Time within which a revoked key must be refused, in milliseconds; 0 sets no limit.
    pub revoke_within_ms: u64,
    /// Time within which a new configuration must be in force, in milliseconds.
    pub config_within_ms: u64,
    /// Time within which a draining target must stop receiving new requests, in milliseconds.
    pub drain_within_ms: u64,
    /// Time after the end of a target before which no other one has its address, in milliseconds.
    pub reuse_after_ms: u64,
    /// Time within which no request reaches the targets of an evacuated failure domain any more,
    /// in milliseconds.
    pub evacuate_within_ms: u64,
    /// Retries allowed per 100 requests of a service.
    pub retry_percent: u32,
    /// Length of the sliding window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries allowed to the whole fleet per window, in addition to `retry_percent`.
    pub retry_slack: u32,
    /// Time from SIGTERM until the process must have exited, in milliseconds.
    pub stop_grace_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            revoke_within_ms: 0,
            config_within_ms: 14_000,
            drain_within_ms: 5_000,
            reuse_after_ms: 2_000,
            evacuate_within_ms: 5_000,
            retry_percent: 20,
            retry_window_ms: 10_000,
            retry_slack: 54,
            stop_grace_ms: 30_000,
        }
    }
}

/// Logging settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Maximum level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
        }
    }
}

fn default_memory_mb() -> u32 {
    256
}

fn default_link_mbps() -> u32 {
    1_000
}

/// Reasons to reject a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is unknown, missing or of the wrong type.
    #[snafu(display(
        "{}: at {}: {}; correct this field (docs/SETTINGS.md lists all fields)",
        path.display(), source.path(), source.inner()
    ))]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the field, and the problem.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// A field has a value that the daemon cannot run with.
    #[snafu(display("{}: {field}: {remedy}", path.display()))]
    OutOfRange {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the field.
        field: &'static str,
        /// How to correct the field.
        remedy: &'static str,
    },
}

impl Settings {
    /// Reads a settings file and validates it.
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read or parsed, or if a value is out of range. The
    /// message names the field and how to correct it.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let bytes = std::fs::read(path).context(UnreadableSnafu { path })?;
        let mut reader = serde_json::Deserializer::from_slice(&bytes);
        let settings: Self =
            serde_path_to_error::deserialize(&mut reader).context(InvalidSnafu { path })?;
        settings.validate(path)?;
        Ok(settings)
    }

    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        let tuning = &self.tuning;
        if tuning.connect_timeout.is_zero() {
            return out_of_range(path, "tuning.connect_timeout_ms", "use 1 or more");
        }
        if tuning.store_timeout.is_zero() {
            return out_of_range(path, "tuning.store_timeout_ms", "use 1 or more");
        }
        if self.core.memory_mb == 0 {
            return out_of_range(path, "core.memory_mb", "use 1 or more");
        }
        if !(1..=50).contains(&tuning.answer_memory_percent) {
            return out_of_range(path, "tuning.answer_memory_percent", "use 1 to 50");
        }
        if !(1..=50).contains(&tuning.request_memory_percent) {
            return out_of_range(path, "tuning.request_memory_percent", "use 1 to 50");
        }
        if !(1..=50).contains(&tuning.connection_memory_percent) {
            return out_of_range(path, "tuning.connection_memory_percent", "use 1 to 50");
        }
        if self.core.max_fds.is_some_and(|fds| fds < MIN_FDS) {
            return out_of_range(path, "core.max_fds", "use 64 or more");
        }
        let stop_grace_ms = u128::from(self.limits.stop_grace_ms);
        if (tuning.stop_linger + tuning.stop_reserve).as_millis() > stop_grace_ms {
            let remedy = "use at least the sum of tuning.stop_linger_ms and tuning.stop_reserve_ms";
            return out_of_range(path, "limits.stop_grace_ms", remedy);
        }
        if self.once.max_tickets == 0 {
            return out_of_range(path, "once.max_tickets", "use 1 or more");
        }
        Ok(())
    }

    /// Converts to the settings of [`lapismoor_edge::run`].
    #[must_use]
    pub fn into_edge_settings(self) -> EdgeSettings {
        let limits = self.limits.to_fleet_limits();
        EdgeSettings {
            daemon: self.core.daemon,
            domain: self.core.failure_domain,
            regions: Regions::new(self.regions.into_iter().collect()),
            caller_address: self.caller_address,
            ready_address: None,
            peer_address: self.core.peer_address,
            link_mbps: self.core.link_mbps,
            memory_mb: self.core.memory_mb,
            max_fds: self.core.max_fds,
            metrics_address: self.core.operator_address,
            limits,
            trace_file: self.trace_file,
            callers: self.caller,
            once: self.once,
            tuning: self.tuning,
        }
    }
}

impl LimitSettings {
    fn to_fleet_limits(&self) -> FleetLimits {
        let revoke_within = Duration::from_millis(self.revoke_within_ms);
        FleetLimits {
            revoke_within: (!revoke_within.is_zero()).then_some(revoke_within),
            config_within: Duration::from_millis(self.config_within_ms),
            drain_within: Duration::from_millis(self.drain_within_ms),
            reuse_after: Duration::from_millis(self.reuse_after_ms),
            evacuate_within: Duration::from_millis(self.evacuate_within_ms),
            load_bound: DEFAULT_LOAD_BOUND,
            budget: RetryBudgetSettings {
                ratio_percent: self.retry_percent,
                window: Duration::from_millis(self.retry_window_ms),
                fleet_slack: self.retry_slack,
            },
            stop_grace: Duration::from_millis(self.stop_grace_ms),
        }
    }
}

fn out_of_range(
    path: &Path,
    field: &'static str,
    remedy: &'static str,
) -> Result<(), SettingsError> {
    OutOfRangeSnafu {
        path,
        field,
        remedy,
    }
    .fail()
}
