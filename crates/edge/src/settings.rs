//! Settings of a daemon. The adapter fills in what it is told; the rest has defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lapismoor_caller::CallerSettings;
use lapismoor_core::ids::{DaemonId, FailureDomain};
use lapismoor_core::once::OnceSettings;
use lapismoor_core::retry::RetryBudgetSettings;
use lapismoor_core::routing::LoadBound;
use serde::{Deserialize, Serialize};

/// Settings of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Failure domain that it stands in.
    pub domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of its own for the balancer's question whether the daemon is ready, if there is one.
    pub ready_address: Option<SocketAddr>,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Bandwidth of the VM, in megabits a second.
    pub link_mbps: u32,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Limits of the fleet.
    pub limits: FleetLimits,
    /// File for spans as JSON lines; none writes no spans.
    pub trace_file: Option<PathBuf>,
    /// What callers of profiles may send.
    pub callers: CallerSettings,
    /// Tickets, idempotency keys, kept answers.
    pub once: OnceSettings,
    /// How the daemon works.
    pub tuning: Tuning,
}

/// What the operators promise and the daemon keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetLimits {
    /// A key that was taken away is refused after this; none if keys stay.
    pub revoke_within: Option<Duration>,
    /// A new configuration is in force after this.
    pub config_within: Duration,
    /// A target that leaves gets no new requests after this.
    pub drain_within: Duration,
    /// Load that a target may have.
    pub load_bound: LoadBound,
    /// Retries.
    pub budget: RetryBudgetSettings,
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
}

/// How the daemon works.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Time for a new connection to a target; a lost first packet is sent again only after a
    /// second, and another target answers sooner.
    #[serde(rename = "connect_timeout_ms", with = "crate::millis::whole")]
    pub connect_timeout: Duration,
    /// Time without a byte from a target after which it is taken for gone.
    #[serde(rename = "silence_ms", with = "crate::millis::whole")]
    pub silence_timeout: Duration,
    /// Time without an event after which a stream goes on elsewhere.
    #[serde(rename = "event_silence_ms", with = "crate::millis::whole")]
    pub event_silence_timeout: Duration,
    /// Multiple of a route's latency objective after which a repeatable request goes elsewhere.
    pub patience_aims: u32,
    /// Idle time of a connection to a target that names no limit of its own.
    #[serde(rename = "target_idle_ms", with = "crate::millis::whole")]
    pub target_idle_timeout: Duration,
    /// Idle time of a caller's connection.
    #[serde(rename = "caller_idle_ms", with = "crate::millis::whole")]
    pub caller_idle_timeout: Duration,
    /// Time for which a stopping daemon takes requests until the balancer knows: two questions, a
    /// second apart, and some.
    #[serde(rename = "stop_linger_ms", with = "crate::millis::whole")]
    pub stop_linger: Duration,
    /// Part of the stop grace that is kept free, so that the process ends by itself.
    #[serde(rename = "stop_reserve_ms", with = "crate::millis::whole")]
    pub stop_reserve: Duration,
    /// Longest wait for changes in the store: with the time to gather changes, two fifths of the
    /// usual revocation bound, so that three fifths are left when the store goes away.
    #[serde(rename = "store_wait_ms", with = "crate::millis::whole")]
    pub store_wait: Duration,
    /// Time for a list of everything: some megabytes in the largest fleets.
    #[serde(rename = "list_timeout_ms", with = "crate::millis::whole")]
    pub list_timeout: Duration,
    /// As `store_wait` where other daemons depend on it; few daemons do this for all.
    #[serde(rename = "reader_wait_ms", with = "crate::millis::whole")]
    pub reader_wait: Duration,
    /// Part of the bound on a change, in percent, for which further changes are gathered before
    /// the store is asked again.
    pub store_gather_percent: u32,
    /// The same where other daemons depend on it.
    pub reader_gather_percent: u32,
    /// Longest wait for news from another daemon; costs a message within the failure domain.
    #[serde(rename = "mirror_wait_ms", with = "crate::millis::whole")]
    pub mirror_wait: Duration,
    /// Time for an answer of another daemon, beside the wait.
    #[serde(rename = "mirror_timeout_ms", with = "crate::millis::whole")]
    pub mirror_timeout: Duration,
    /// Greatest age of what another daemon knows. With a silent daemon after that, and another
    /// one asked, a change is still known within the shortest bound on changes of a large fleet,
    /// 3 s.
    #[serde(rename = "mirror_age_ms", with = "crate::millis::whole")]
    pub max_mirror_age: Duration,
    /// Time for an answer of the store, beside the wait.
    #[serde(rename = "store_timeout_ms", with = "crate::millis::whole")]
    pub store_timeout: Duration,
    /// Served requests of which one is logged.
    pub log_every: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            silence_timeout: Duration::from_secs(1),
            event_silence_timeout: Duration::from_millis(1_200),
            patience_aims: 3,
            target_idle_timeout: Duration::from_secs(4),
            caller_idle_timeout: Duration::from_mins(2),
            stop_linger: Duration::from_millis(2_500),
            stop_reserve: Duration::from_millis(500),
            store_wait: Duration::from_millis(1_750),
            list_timeout: Duration::from_secs(4),
            reader_wait: Duration::from_secs(1),
            store_gather_percent: 25,
            reader_gather_percent: 15,
            mirror_wait: Duration::from_millis(400),
            mirror_timeout: Duration::from_millis(300),
            max_mirror_age: Duration::from_millis(1_500),
            store_timeout: Duration::from_millis(700),
            log_every: 32,
        }
    }
}
