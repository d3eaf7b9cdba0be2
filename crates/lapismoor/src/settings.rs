//! Settings of a daemon, read from a JSON file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lapismoor_caller::CallerSettings;
use lapismoor_core::ids::{DaemonId, FailureDomain};
use lapismoor_core::once::OnceSettings;
use lapismoor_core::retry::RetryBudgetSettings;
use lapismoor_core::routing::LoadBound;
use lapismoor_edge::{EdgeSettings, FleetLimits, Tuning};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Load bound of services whose pool sets none: twice the mean and three, as the users' rule.
const DEFAULT_BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};

/// Settings of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, failure domain and addresses.
    pub core: CoreSettings,
    /// Address for callers and the balancer's health check.
    pub caller_address: SocketAddr,
    /// The platform.
    pub platform: PlatformSettings,
    /// The callers' side.
    #[serde(default)]
    pub caller: CallerSettings,
    /// Tickets, idempotency keys, kept answers.
    #[serde(default)]
    pub once: OnceSettings,
    /// What the operators promise.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How the daemon works.
    #[serde(default)]
    pub tuning: Tuning,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// File for spans as JSON lines; none writes no spans.
    #[serde(default)]
    pub trace_file: Option<PathBuf>,
}

/// Name, failure domain and addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoreSettings {
    /// Name of the daemon, unique in the fleet.
    pub daemon: DaemonId,
    /// Failure domain that it stands in.
    pub failure_domain: FailureDomain,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for operators: status and metrics.
    pub operator_address: SocketAddr,
    /// Bandwidth of the VM, in megabits a second; the largest VMs read the store for others.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: u32,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Key-value service.
    pub key_value_address: SocketAddr,
}

/// What the operators promise and the daemon keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Time after which a key that was taken away must be refused, in milliseconds; 0 sets none.
    pub revoke_within_ms: u64,
    /// Time within which a configuration is in force, in milliseconds.
    pub config_within_ms: u64,
    /// Time after which a leaving target gets no new requests, in milliseconds.
    pub drain_within_ms: u64,
    /// Retries for each hundred requests of a service.
    pub retry_percent: u32,
    /// Window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries of the whole fleet in a window, beside the share.
    pub retry_slack: u32,
    /// Time from SIGTERM to the end of the process, in milliseconds.
    pub stop_grace_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            revoke_within_ms: 0,
            config_within_ms: 14_000,
            drain_within_ms: 5_000,
            retry_percent: 20,
            retry_window_ms: 10_000,
            retry_slack: 54,
            stop_grace_ms: 30_000,
        }
    }
}

/// Settings of logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
        }
    }
}

fn default_link_mbps() -> u32 {
    1_000
}

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its rights", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is not valid.
    #[snafu(display(
        "{}: at {}: {}; correct this field (docs/SETTINGS.md lists all)",
        path.display(), source.path(), source.inner()
    ))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// A value is out of range.
    #[snafu(display("{}: {field}: {remedy}", path.display()))]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// [`SettingsError`] naming the field and the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).context(UnreadableSnafu { path })?;
        let mut reader = serde_json::Deserializer::from_slice(&text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut reader).context(InvalidSnafu { path })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let tuning = &self.tuning;
        if tuning.connect_timeout.is_zero() {
            return out_of_range(path, "tuning.connect_timeout_ms", "use 1 or more");
        }
        if tuning.store_timeout.is_zero() {
            return out_of_range(path, "tuning.store_timeout_ms", "use 1 or more");
        }
        let reserve = u128::from(self.limits.stop_grace_ms);
        if (tuning.stop_linger + tuning.stop_reserve).as_millis() > reserve {
            let remedy = "allow at least tuning.stop_linger_ms and tuning.stop_reserve_ms together";
            return out_of_range(path, "limits.stop_grace_ms", remedy);
        }
        if self.once.max_tickets == 0 {
            return out_of_range(path, "once.max_tickets", "use 1 or more");
        }
        Ok(())
    }

    /// The settings as the daemon takes them.
    #[must_use]
    pub fn into_edge_settings(self) -> EdgeSettings {
        let limits = self.limits.to_fleet();
        EdgeSettings {
            daemon: self.core.daemon,
            domain: self.core.failure_domain,
            caller_address: self.caller_address,
            ready_address: None,
            peer_address: self.core.peer_address,
            link_mbps: self.core.link_mbps,
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
    fn to_fleet(&self) -> FleetLimits {
        let revoke_within = Duration::from_millis(self.revoke_within_ms);
        FleetLimits {
            revoke_within: (!revoke_within.is_zero()).then_some(revoke_within),
            config_within: Duration::from_millis(self.config_within_ms),
            drain_within: Duration::from_millis(self.drain_within_ms),
            load_bound: DEFAULT_BOUND,
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
