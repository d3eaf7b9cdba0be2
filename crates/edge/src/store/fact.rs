//! One thing that the store says.

use std::sync::Arc;

use compact_str::CompactString;
use lapismoor_core::admission::Suspicion;
use lapismoor_core::config::Accepted;
use lapismoor_core::ids::{DaemonId, TargetId};
use lapismoor_core::membership::{DaemonRecord, TargetEntry};
use lapismoor_core::routing::RoutingConfig;

/// One thing that the store says.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreUpdate {
    /// The newest configuration of routes.
    Configuration(Box<RoutingConfig>),
    /// The newest configuration of profiles.
    Profiles(Arc<Accepted>),
    /// A configuration that cannot be read.
    UnreadableConfiguration {
        /// Its key in the store.
        key: CompactString,
        /// Field and problem.
        reason: CompactString,
    },
    /// A target's entry.
    Target(TargetEntry),
    /// An entry that names no target.
    UnreadableTarget {
        /// Its name in the store.
        id: TargetId,
        /// Field and problem.
        reason: CompactString,
    },
    /// A request is suspected of crashes.
    Suspicion(Suspicion),
    /// A daemon announced itself.
    Daemon(DaemonRecord),
    /// A daemon's announcement ended.
    DaemonGone {
        /// The daemon.
        id: DaemonId,
    },
    /// An entry was removed.
    TargetGone {
        /// Its name in the store.
        id: TargetId,
    },
}
