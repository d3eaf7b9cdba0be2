//! One thing that the store says.

use compact_str::CompactString;
use lapismoor_core::ids::TargetId;
use lapismoor_core::membership::TargetEntry;
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
    /// An entry was removed.
    TargetGone {
        /// Its name in the store.
        id: TargetId,
    },
}
