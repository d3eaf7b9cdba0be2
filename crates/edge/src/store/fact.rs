//! One thing that the store says.

use compact_str::CompactString;
use lapismoor_core::ids::{DaemonId, TargetId};
use lapismoor_core::membership::{DaemonRecord, TargetEntry};
use lapismoor_core::routing::RoutingConfig;

/// One thing that the store says.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// The newest configuration.
    Configuration(Box<RoutingConfig>),
    /// A configuration that cannot be read.
    UnreadableConfiguration {
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
