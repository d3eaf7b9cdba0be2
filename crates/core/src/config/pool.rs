//! A pool of targets in the configuration.

use compact_str::CompactString;

use crate::ids::PoolId;

document! {
    /// What the targets of a pool are.
    #[serde(rename_all = "snake_case")]
    pub enum PoolKind {
        /// Model engines with a prefix cache.
        Engines,
        /// Instances of a plain service.
        Service,
    }

    /// Calls of a service that share a rule.
    pub struct CallRule {
        /// HTTP method; empty for all.
        #[serde(default)]
        pub method: CompactString,
        /// Start of the path.
        pub path_prefix: CompactString,
        /// Whether running such a call twice does no harm.
        pub idempotent: bool,
    }

    /// A pool of targets of one kind in one region.
    pub struct Pool {
        /// Name; targets name it as their service.
        pub name: PoolId,
        /// Kind of its targets.
        pub kind: PoolKind,
        /// Models that its engines serve; empty for services.
        #[serde(default)]
        pub models: Vec<CompactString>,
        /// Load of a target is at most this multiple of the pool's mean, and 3 requests.
        #[serde(default = "default_load_multiple")]
        pub load_multiple: f64,
        /// Requests in flight that a target takes.
        #[serde(default = "default_slots_per_target")]
        pub slots_per_target: u32,
        /// Requests that wait at one daemon at the most.
        #[serde(default = "default_queue_limit")]
        pub queue_limit: usize,
        /// Rules for calls, first match first; a call without a rule is not idempotent.
        #[serde(default)]
        pub calls: Vec<CallRule>,
    }
}

impl Pool {
    /// Whether a call may be run twice.
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
        let method_fits = self.method.is_empty() || self.method == method;
        method_fits && path.starts_with(self.path_prefix.as_str())
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
