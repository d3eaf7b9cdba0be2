//! Workspaces in the configuration.

use crate::ids::{Region, WorkspaceId};

document! {
    /// A workspace and its limits.
    pub struct Workspace {
        /// Unique name.
        pub name: WorkspaceId,
        /// SHA-256 of the API key that callers send as a bearer token, in lower-case hex.
        pub key_sha256: String,
        /// Weight in the queue of a busy pool against other workspaces' requests of the same class.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Sustained limit for the whole fleet, in requests per second.
        #[serde(default = "default_requests_per_second")]
        pub requests_per_second: f64,
        /// Maximum number of requests in flight at one daemon.
        #[serde(default = "default_concurrent_requests")]
        pub concurrent_requests: usize,
        /// Regions in which requests are served; empty if they are served everywhere.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub home_regions: Vec<Region>,
    }
}

fn default_weight() -> u32 {
    1
}

fn default_requests_per_second() -> f64 {
    500.0
}

fn default_concurrent_requests() -> usize {
    512
}
