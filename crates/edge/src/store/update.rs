//! Decoded updates from the store.

use std::sync::Arc;

use compact_str::CompactString;
use lapismoor_core::admission::{Evidence, TrialRecord};
use lapismoor_core::config::Accepted;
use lapismoor_core::ids::{DaemonId, FailureDomain, TargetId};
use lapismoor_core::membership::{DaemonRecord, Mark, ServiceVersion, TargetEntry};
use lapismoor_core::routing::RoutingConfig;
use lapismoor_core::stream::StreamOrigin;

/// One decoded update from the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreUpdate {
    /// The latest routing configuration.
    Configuration(Box<RoutingConfig>),
    /// The latest profile configuration.
    Profiles(Arc<Accepted>),
    /// A configuration that could not be decoded.
    UnreadableConfiguration {
        /// Key in the store.
        key: CompactString,
        /// Field that could not be decoded, and why.
        reason: CompactString,
    },
    /// A target was added or its entry changed.
    Target(TargetEntry),
    /// A target entry that could not be decoded.
    UnreadableTarget {
        /// Target id from the entry's key.
        id: TargetId,
        /// Field that could not be decoded, and why.
        reason: CompactString,
    },
    /// What another daemon saw of interrupted requests.
    Evidence {
        /// Key in the store.
        key: CompactString,
        /// Content of the record.
        evidence: Evidence,
    },
    /// A record about interrupted requests that could not be decoded.
    UnreadableEvidence {
        /// Key in the store.
        key: CompactString,
        /// Why it could not be decoded.
        reason: CompactString,
    },
    /// A daemon claimed a trial of a request.
    Trial(TrialRecord),
    /// Where unfinished streams of a daemon began.
    Streams(Vec<StreamOrigin>),
    /// The mark of a software version was written or removed.
    VersionMark {
        /// The version.
        version: ServiceVersion,
        /// Its mark now.
        mark: Mark,
    },
    /// A daemon was announced.
    Daemon(DaemonRecord),
    /// A daemon's announcement expired or was removed.
    DaemonGone {
        /// Daemon id from the announcement's key.
        id: DaemonId,
    },
    /// The operator evacuated a failure domain.
    Evacuated {
        /// The domain.
        domain: FailureDomain,
        /// Whether the value could be read. It has no meaning.
        is_readable: bool,
    },
    /// The operator took an evacuation back.
    EvacuationEnded {
        /// The domain.
        domain: FailureDomain,
    },
    /// A target's entry was removed.
    TargetGone {
        /// Target id from the entry's key.
        id: TargetId,
    },
}
