//! Pools of targets in the configuration.

use compact_str::CompactString;

use crate::ids::PoolId;

document! {
    /// Kind of the targets in a pool.
    #[serde(rename_all = "snake_case")]
    pub enum PoolKind {
        /// Engines with a prefix cache.
        Engines,
        /// Instances of a plain service.
        Service,
    }

    /// Rule for the calls of a service that match its method and path.
    pub struct CallRule {
        /// HTTP method; empty matches all.
        #[serde(default)]
        pub method: CompactString,
        /// Prefix that the path must have.
        pub path_prefix: CompactString,
        /// Whether the call may be executed more than once.
        pub idempotent: bool,
    }

    /// A pool of targets of one kind in one region.
    pub struct Pool {
        /// Name that targets announce as their service.
        pub name: PoolId,
        /// Kind of all targets of the pool.
        pub kind: PoolKind,
        /// Models that its engines serve; empty for services.
        #[serde(default)]
        pub models: Vec<CompactString>,
        /// Maximum load of a target as a multiple of the pool's mean load, plus 3 requests.
        #[serde(default = "default_load_multiple")]
        pub load_multiple: f64,
        /// Maximum number of requests in flight at a target.
        #[serde(default = "default_slots_per_target")]
        pub slots_per_target: u32,
        /// Maximum number of queued requests at one daemon.
        #[serde(default = "default_queue_limit")]
        pub queue_limit: usize,
        /// Rules for calls; the first match applies. A call without a match is not idempotent.
        #[serde(default)]
        pub calls: Vec<CallRule>,
    }
}

impl Pool {
    /// Whether a call may be executed more than once.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .find(|rule| rule.matches(method, path))
            .is_some_and(|rule| rule.idempotent)
    }
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.is_empty() || self.method == method;
        method_matches && path.starts_with(self.path_prefix.as_str())
    }
}

fn default_load_multiple() -> f64 {
    1.5
}

fn default_slots_per_target() -> u32 {
    16
}

fn default_queue_limit() -> usize {
    2_000
}
