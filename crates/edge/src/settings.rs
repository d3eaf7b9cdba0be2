//! Settings of a daemon. The adapter sets what the deployment configures; the rest has defaults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lapismoor_caller::CallerSettings;
use lapismoor_core::ids::{DaemonId, FailureDomain};
use lapismoor_core::once::OnceSettings;
use lapismoor_core::retry::RetryBudgetSettings;
use lapismoor_core::routing::{LoadBound, Regions};
use serde::{Deserialize, Serialize};

/// Complete settings of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Id of the daemon, unique in the fleet.
    pub daemon: DaemonId,
    /// Failure domain of the daemon's VM.
    pub domain: FailureDomain,
    /// Regions of the failure domains.
    pub regions: Regions,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Separate address for the readiness check of the load balancer, if there is one.
    pub ready_address: Option<SocketAddr>,
    /// Address that other daemons connect to.
    pub peer_address: SocketAddr,
    /// Network bandwidth of the VM, in megabits per second.
    pub link_mbps: u32,
    /// Memory that the process may use, in mebibytes.
    pub memory_mb: u32,
    /// Descriptors that the process may use; `None` if only the system limits them.
    pub max_fds: Option<u32>,
    /// Address that serves metrics and status.
    pub metrics_address: SocketAddr,
    /// Limits that hold for the whole fleet.
    pub limits: FleetLimits,
    /// File to which spans are written as JSON lines; `None` disables spans.
    pub trace_file: Option<PathBuf>,
    /// Limits on requests of the profile API.
    pub callers: CallerSettings,
    /// Settings of tickets, idempotency keys and stored answers.
    pub once: OnceSettings,
    /// Timeouts and intervals of the daemon.
    pub tuning: Tuning,
}

/// Limits that the operators guarantee to users and the daemon enforces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetLimits {
    /// Time within which a revoked key must be refused; `None` if keys are never revoked.
    pub revoke_within: Option<Duration>,
    /// Time within which a new configuration must be in force.
    pub config_within: Duration,
    /// Time within which a draining target must stop receiving new requests.
    pub drain_within: Duration,
    /// Time after the end of a target before which no other one has its address.
    pub reuse_after: Duration,
    /// Time within which no request reaches the targets of an evacuated failure domain any more.
    pub evacuate_within: Duration,
    /// Maximum load of a target.
    pub load_bound: LoadBound,
    /// Retry budget of each service.
    pub budget: RetryBudgetSettings,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
}

/// Timeouts, intervals and other parameters of the daemon's operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Timeout for a new connection to a target. A lost SYN is retransmitted only after one second;
    /// trying another target is faster.
    #[serde(rename = "connect_timeout_ms", with = "crate::millis::whole")]
    pub connect_timeout: Duration,
    /// Time without a byte from a target after which it gets no new requests for a moment, and its
    /// open ones may move to another target.
    #[serde(rename = "silence_ms", with = "crate::millis::whole")]
    pub silence_timeout: Duration,
    /// Time without an event after which another target may take a stream over.
    #[serde(rename = "event_silence_ms", with = "crate::millis::whole")]
    pub event_silence_timeout: Duration,
    /// Multiple of a route's latency objective after which another target may take over a retryable
    /// request.
    pub patience_aims: u32,
    /// Idle timeout of connections to targets that do not announce their own.
    #[serde(rename = "target_idle_ms", with = "crate::millis::whole")]
    pub target_idle_timeout: Duration,
    /// Share of the process' memory for the answers of targets that are buffered, in percent.
    pub answer_memory_percent: u32,
    /// Share of the process' memory for the bodies of requests, in percent.
    pub request_memory_percent: u32,
    /// Share of the process' memory for the connections of callers, with what they hold outside of requests and
    /// answers, in percent.
    pub connection_memory_percent: u32,
    /// Idle timeout of connections from callers where the configuration has none, and time without a byte that a
    /// caller takes of its answer.
    #[serde(rename = "caller_idle_ms", with = "crate::millis::whole")]
    pub caller_idle_timeout: Duration,
    /// Time for which a stopping daemon still accepts requests: two readiness checks of the load
    /// balancer, one second apart, and a margin.
    #[serde(rename = "stop_linger_ms", with = "crate::millis::whole")]
    pub stop_linger: Duration,
    /// Part of the stop grace period left unused, so that the process exits before SIGKILL.
    #[serde(rename = "stop_reserve_ms", with = "crate::millis::whole")]
    pub stop_reserve: Duration,
    /// Time before the exit of a stopping daemon at which requests that are still in flight get a final
    /// answer.
    #[serde(rename = "stop_answer_ms", with = "crate::millis::whole")]
    pub stop_answer: Duration,
    /// Longest wait for changes in the store. Together with the time for which changes are
    /// gathered, it takes two fifths of the usual revocation limit, which leaves three fifths if
    /// the store becomes unavailable.
    #[serde(rename = "store_wait_ms", with = "crate::millis::whole")]
    pub store_wait: Duration,
    /// Timeout for a full list, which has several megabytes in the largest fleets.
    #[serde(rename = "list_timeout_ms", with = "crate::millis::whole")]
    pub list_timeout: Duration,
    /// Replaces `store_wait` on daemons that read the store for others. These are few, so a shorter
    /// wait costs the store little.
    #[serde(rename = "reader_wait_ms", with = "crate::millis::whole")]
    pub reader_wait: Duration,
    /// Time for which further changes are gathered before the store is read again, in percent of
    /// the time within which a change must be in force.
    pub store_gather_percent: u32,
    /// Replaces `store_gather_percent` on daemons that read the store for others.
    pub reader_gather_percent: u32,
    /// Longest wait for changes from another daemon. Each wait costs a message within the failure
    /// domain.
    #[serde(rename = "mirror_wait_ms", with = "crate::millis::whole")]
    pub mirror_wait: Duration,
    /// Timeout for an answer of another daemon, in addition to the wait.
    #[serde(rename = "mirror_timeout_ms", with = "crate::millis::whole")]
    pub mirror_timeout: Duration,
    /// Greatest accepted age of another daemon's copy of the store. If that daemon then stops
    /// answering and a second one is asked, a change still arrives within 3 s, the shortest limit
    /// on changes in a large fleet.
    #[serde(rename = "mirror_age_ms", with = "crate::millis::whole")]
    pub max_mirror_age: Duration,
    /// Timeout for an answer of the store, in addition to the wait.
    #[serde(rename = "store_timeout_ms", with = "crate::millis::whole")]
    pub store_timeout: Duration,
    /// One of this many served requests is logged; 0 counts as 1.
    pub log_every: u32,
    /// Whether requests of services without a configured number of requests per target are admitted
    /// by the room of its targets and by what waiting costs callers.
    pub admission_by_cost: bool,
    /// With `admission_by_cost`, whether less urgent requests are turned away before they are sent while targets reject
    /// requests. More urgent ones are answered on time, and fewer requests are served in all.
    pub urgent_first: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            silence_timeout: Duration::from_secs(1),
            event_silence_timeout: Duration::from_millis(1_200),
            patience_aims: 3,
            target_idle_timeout: Duration::from_secs(4),
            answer_memory_percent: 25,
            request_memory_percent: 15,
            connection_memory_percent: 20,
            caller_idle_timeout: Duration::from_mins(2),
            stop_linger: Duration::from_millis(2_500),
            stop_reserve: Duration::from_millis(500),
            stop_answer: Duration::from_millis(300),
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
            admission_by_cost: false,
            urgent_first: false,
        }
    }
}
