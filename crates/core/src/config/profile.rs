//! Profiles in the configuration.

use compact_str::CompactString;

use crate::ids::{PoolId, ProfileId, Region};
use crate::request::Class;

document! {
    /// Routing and limits for requests of one kind.
    pub struct Profile {
        /// Name that callers send with a request.
        pub name: ProfileId,
        /// Pool that serves the requests.
        pub pool: PoolId,
        /// Model to run; empty for pools of plain services.
        #[serde(default)]
        pub model: CompactString,
        /// Urgency of the requests.
        #[serde(default = "default_class")]
        pub class: Class,
        /// Maximum deadline that a caller may request, in milliseconds.
        #[serde(default = "default_deadline_ms")]
        pub deadline_ms: u64,
        /// Weight of cache reuse against even load when choosing a target, from 0 to 1.
        #[serde(default = "default_reuse_weight")]
        pub reuse_weight: f64,
        /// Maximum number of attempts, including the first.
        #[serde(default = "default_attempts")]
        pub attempts: u32,
        /// Whether an interrupted answer may be continued by replaying the request on another
        /// target.
        #[serde(default)]
        pub replayable: bool,
        /// Regions in which requests are served; empty if they are served everywhere.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub home_regions: Vec<Region>,
    }
}

fn default_class() -> Class {
    Class::Normal
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_reuse_weight() -> f64 {
    0.5
}

fn default_attempts() -> u32 {
    3
}
