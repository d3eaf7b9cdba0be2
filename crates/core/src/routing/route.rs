//! Routes: which service handles a request, and which retries are allowed.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{Region, ServiceId, hash_parts};
use crate::retry::RetryPolicy;

/// Sends allowed in addition to the attempts that may run, for targets that reject a request
/// without reading it.
const EXTRA_SENDS: u32 = 2;

value! {
    /// Which requests of a route may be repeated.
    pub enum RouteKind {
        /// A request may safely run more than once.
        Idempotent,
        /// A request must run at most once.
        AtMostOnce,
        /// The answer is an event stream.
        Stream {
            /// Whether a request may safely run again as long as no event was delivered.
            is_repeatable: bool,
            /// Whether another target can resume the stream after the last event delivered.
            is_resumable: bool,
        },
    }

    /// A service and its weight on a route.
    pub struct Backend {
        /// Service that gets the requests.
        pub service: ServiceId,
        /// Share of the requests, relative to the other backends of the route.
        pub weight: u32,
    }

    /// Maps a host and a path prefix to weighted backends.
    pub struct Route {
        /// Also part of the hash that selects a backend.
        pub name: CompactString,
        /// Host whose requests it matches.
        pub host: CompactString,
        /// Path prefix that it matches. Invariant: begins and ends with a slash.
        pub prefix: CompactString,
        /// Which requests may be repeated.
        pub kind: RouteKind,
        /// Upper limit on the deadline of a request, counted from its receipt.
        pub timeout: Duration,
        /// Time within which an answer counts as on time.
        pub latency_objective: Duration,
        /// Maximum number of targets that may start to run one request.
        pub max_attempts: u32,
        /// Urgency of the requests; 0 is the most urgent.
        pub rank: u8,
        /// Whether callers need no key.
        pub is_public: bool,
        /// Whether requests are routed by the prompt parts that targets have cached.
        pub is_sticky: bool,
        /// Regions in which requests are served; empty if they are served everywhere. Invariant:
        /// sorted.
        pub home_regions: Vec<Region>,
        /// Services that the requests are split over. Invariant: not empty.
        pub backends: Vec<Backend>,
    }
}

impl Route {
    /// Whether a request may run more than once, as long as no part of an answer was delivered.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream { is_repeatable, .. } => is_repeatable,
        }
    }

    /// Whether another target can resume an answer that was partly delivered.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        matches!(
            self.kind,
            RouteKind::Stream {
                is_resumable: true,
                ..
            }
        )
    }

    /// Whether requests may be sent to this service.
    #[must_use]
    pub fn goes_to(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.service == service)
    }

    /// Whether answers are event streams.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Returns what is allowed after a failed attempt. `is_delivering` tells whether part of an
    /// answer was delivered to the caller.
    #[must_use]
    pub fn retry_policy(&self, is_delivering: bool) -> RetryPolicy {
        RetryPolicy {
            is_repeatable: if is_delivering {
                self.is_resumable()
            } else {
                self.is_repeatable()
            },
            max_attempts: self.max_attempts,
            max_sends: self.max_attempts + EXTRA_SENDS,
        }
    }

    /// Selects the service of a request by weight. The same `key` gets the same service as long as
    /// the weights do not change, so that a chat returns to the targets that have its context
    /// cached.
    #[must_use]
    pub fn service_for(&self, key: u64) -> &ServiceId {
        let total: u64 = self
            .backends
            .iter()
            .map(|backend| u64::from(backend.weight))
            .sum();
        let hash = hash_parts(&[&key.to_le_bytes(), self.name.as_bytes()]);
        // If all weights are zero, the first backend gets all requests.
        let mut point = hash.checked_rem(total).unwrap_or(0);
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if point < weight {
                return &backend.service;
            }
            point -= weight;
        }
        &self.backends[0].service
    }
}
