//! What a daemon believes, with the age of each belief.

use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::ids::{DaemonId, ServiceId, TargetId};
use lapismoor_core::membership::KnownTarget;
use serde::{Deserialize, Serialize};

use crate::context::Edge;
use crate::millis::millis;

/// What a daemon believes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon.
    pub daemon: DaemonId,
    /// Whether callers should be led to it.
    pub is_ready: bool,
    /// Whether its planned stop began.
    pub is_stopping: bool,
    /// Version of the configuration of routes in force.
    pub config_version: Option<u64>,
    /// Revision of the configuration of profiles in force; zero if there is none.
    pub revision: u64,
    /// Bytes exchanged with other daemons.
    pub peer_bytes: u64,
    /// Bytes exchanged with the store.
    pub store_bytes: u64,
    /// Requests under tickets and keys that are remembered.
    pub remembered: usize,
    /// Age of what is known of the store, in milliseconds.
    pub store_age_ms: Option<u64>,
    /// Requests of callers in flight.
    pub in_flight: usize,
    /// Its share of the fleet's traffic.
    pub traffic_share: f64,
    /// Targets, sorted by id.
    pub targets: Vec<TargetStatus>,
}

/// What a daemon believes of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Target.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// `InUse`, `Leaving` or `Missing`.
    pub standing: CompactString,
    /// Whether it is paused after failures.
    pub is_paused: bool,
    /// Whether it answers too often with failures.
    pub is_failing: bool,
    /// Requests of this daemon in flight there.
    pub own_requests: u32,
    /// Age of what it last told of its load, in milliseconds.
    pub load_age_ms: Option<u64>,
    /// Time since it last sent anything, in milliseconds.
    pub heard_ms_ago: u64,
}

impl TargetStatus {
    /// Whether it gets new requests.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        self.standing == "InUse" && !self.is_paused
    }
}

impl Status {
    /// What the daemon believes now.
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
            in_flight: edge.in_flight.get(),
            traffic_share: state.traffic_share.get(),
            targets: targets.map(|target| target_status(target, now)).collect(),
        }
    }
}

fn target_status(target: &KnownTarget, now: Moment) -> TargetStatus {
    TargetStatus {
        id: target.entry.id.clone(),
        service: target.entry.service.clone(),
        standing: compact_str::format_compact!("{:?}", target.standing),
        is_paused: !target.breaker.is_closed(now),
        is_failing: target.breaker.is_failing(now),
        own_requests: target.load.own_requests(),
        load_age_ms: target.load.report_age(now).map(millis),
        heard_ms_ago: millis(now.saturating_sub(target.heard_at)),
    }
}
