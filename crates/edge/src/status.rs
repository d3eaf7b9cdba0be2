//! Status report of a daemon: its view of the fleet, and how old that view is.

use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::RequestRate;
use lapismoor_core::ids::{DaemonId, FailureDomain, ServiceId, TargetId};
use lapismoor_core::membership::{Directory, KnownTarget};
use serde::{Deserialize, Serialize};

use crate::context::Edge;
use crate::millis::millis;

/// Status of a daemon, served at `/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Whether the load balancer should send callers to the daemon.
    pub is_ready: bool,
    /// Whether a graceful shutdown is in progress.
    pub is_stopping: bool,
    /// Version of the routing configuration in force.
    pub config_version: Option<u64>,
    /// Revision of the profile configuration in force; zero if there is none.
    pub revision: u64,
    /// Bytes sent to and received from other daemons since the start.
    pub peer_bytes: u64,
    /// Bytes sent to and received from the store since the start.
    pub store_bytes: u64,
    /// Number of requests with a ticket or idempotency key whose state is held.
    pub remembered: usize,
    /// Age of the daemon's copy of the store, in milliseconds; `None` before the first read.
    pub store_age_ms: Option<u64>,
    /// Era of the copy of the store: how often the store was restored from a copy; zero if unknown.
    #[serde(default)]
    pub store_era: u64,
    /// Number of callers' requests in flight.
    pub in_flight: usize,
    /// Bytes of requests and answers that are buffered now.
    #[serde(default)]
    pub buffered_bytes: u64,
    /// Estimated share of the fleet's traffic, from 0 to 1.
    pub traffic_share: f64,
    /// Evacuated failure domains, sorted.
    #[serde(default)]
    pub evacuations: Vec<EvacuationStatus>,
    /// Targets, sorted by id.
    pub targets: Vec<TargetStatus>,
}

/// An evacuated failure domain as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The domain.
    pub domain: FailureDomain,
    /// Time since the daemon learned of the evacuation, in milliseconds.
    pub since_ms_ago: u64,
    /// Whether all requests have moved to other domains.
    pub is_complete: bool,
}

/// Status of a target as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Id of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// `InUse`, `Leaving` or `Missing`.
    pub standing: CompactString,
    /// Whether the target is paused, after failures or because it asked for that.
    pub is_paused: bool,
    /// Whether the target's failure rate is too high.
    pub is_failing: bool,
    /// Number of this daemon's requests in flight at the target.
    pub own_requests: u32,
    /// Age of the last load report, in milliseconds; `None` without a report.
    pub load_age_ms: Option<u64>,
    /// Time that work takes there now, in percent of the usual; `None` if it is not known.
    #[serde(default)]
    pub pace_percent: Option<u16>,
    /// Age of the last observation of the pace, in milliseconds.
    #[serde(default)]
    pub pace_age_ms: Option<u64>,
    /// Time since the target last sent any bytes, in milliseconds.
    pub heard_ms_ago: u64,
    /// Requests per second that the target takes from all daemons together; `None` without a limit.
    #[serde(default)]
    pub limit_per_s: Option<f64>,
    /// Requests per second that this daemon was permitted lately, if there is a limit.
    #[serde(default)]
    pub share_per_s: Option<f64>,
    /// Age of the answer that named the limit, in milliseconds.
    #[serde(default)]
    pub limit_age_ms: Option<u64>,
    /// Requests per second that the target takes while it is cold; `None` if it is warm.
    #[serde(default)]
    pub cold_per_s: Option<f64>,
    /// Time for which the target stays cold, in milliseconds.
    #[serde(default)]
    pub cold_left_ms: Option<u64>,
    /// How it is known that the target is cold: `Told` by itself, or `Presumed` by this daemon.
    #[serde(default)]
    pub coldness: Option<CompactString>,
}

impl TargetStatus {
    /// Whether the target gets new requests.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        self.standing == "InUse" && !self.is_paused
    }
}

impl Status {
    /// Reports the current status of the daemon.
    #[must_use]
    pub fn of(edge: &Edge) -> Self {
        let now = edge.now();
        let state = edge.state.borrow();
        let targets = state.directory.targets().iter();
        Self {
            daemon: edge.settings.daemon.clone(),
            is_ready: edge.is_ready(),
            is_stopping: edge.stopping.is_cancelled(),
            config_version: state.config.version(),
            revision: state.profiles.version().unwrap_or_default(),
            peer_bytes: edge.peer_bytes.get(),
            store_bytes: edge.store.bytes.get(),
            remembered: state.ledger.len(),
            store_age_ms: state.freshness.age(now).map(millis),
            store_era: state.mirror.revision().unwrap_or_default().era,
            in_flight: edge.in_flight.count(),
            buffered_bytes: edge.buffered_bytes() as u64,
            traffic_share: state.traffic_share.get(),
            evacuations: evacuations(&state.directory, now),
            targets: targets.map(|target| target_status(target, now)).collect(),
        }
    }
}

fn evacuations(directory: &Directory, now: Moment) -> Vec<EvacuationStatus> {
    let known = &directory.evacuations;
    let domains = known.domains().iter();
    let domains = domains.map(|evacuation| EvacuationStatus {
        domain: evacuation.domain.clone(),
        since_ms_ago: millis(now.saturating_sub(evacuation.since)),
        is_complete: known.has_left(now, &evacuation.domain),
    });
    domains.collect()
}

fn target_status(target: &KnownTarget, now: Moment) -> TargetStatus {
    let rate = target.limit.rate();
    let notice = target.limit.notice().filter(|_| rate.is_some());
    let cold = target.cold_rate(now);
    TargetStatus {
        id: target.entry.id.clone(),
        service: target.entry.service.clone(),
        standing: compact_str::format_compact!("{:?}", target.standing),
        is_paused: !target.is_available(now),
        is_failing: target.breaker.is_failing(now),
        own_requests: target.load.own_requests(),
        load_age_ms: target.load.report_age(now).map(millis),
        pace_percent: target.load.pace.percent(now),
        pace_age_ms: target.load.pace.age(now).map(millis),
        heard_ms_ago: millis(now.saturating_sub(target.last_received_at)),
        limit_per_s: rate.map(RequestRate::per_s),
        share_per_s: target
            .needs_permit(now)
            .then(|| target.limit.share_per_s(now)),
        limit_age_ms: notice.map(|notice| millis(notice.age(now))),
        cold_per_s: cold.map(|(rate, _)| rate.per_s()),
        cold_left_ms: cold.map(|_| millis(target.cold_left(now))),
        coldness: cold.map(|(_, coldness)| compact_str::format_compact!("{coldness:?}")),
    }
}
