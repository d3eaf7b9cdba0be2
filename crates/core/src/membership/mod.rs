//! Fleet membership: targets and daemons listed in the store, the copy of the store and its age.

pub mod crash_watch;
pub mod directory;
pub mod entry;
pub mod evacuation;
pub mod freshness;
pub mod mirror;
pub mod reach;
pub mod sources;
pub mod traffic_share;
pub mod versions;
pub mod warmth;

pub use crash_watch::CrashWatch;
pub use directory::{Directory, DirectoryChange, KnownTarget, Standing};
pub use entry::{TargetEntry, TargetIncarnation, TargetState};
pub use evacuation::{Evacuation, Evacuations, LearnedFrom};
pub use freshness::Freshness;
pub use mirror::{Mirror, StoreItem};
pub use reach::{HelperQuery, PathChange, Reach};
pub use sources::{DaemonRecord, Source, Sources, is_small_fleet, max_source_age, store_readers};
pub use traffic_share::TrafficShare;
pub use versions::{Mark, PossibleVersions, ServiceVersion, VersionHistory, VersionMark};
pub use warmth::{Coldness, Warmth};
