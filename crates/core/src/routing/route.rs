//! A route: which service takes a request, and what is allowed for it.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{ServiceId, hash_parts};
use crate::retry::RetryPolicy;

/// Sends beyond the attempts that may run, for targets that reject a request unread.
const EXTRA_SENDS: u32 = 2;

value! {
    /// What may be repeated on a route.
    pub enum RouteKind {
        /// Running a request twice does no harm.
        Idempotent,
        /// A request runs once at most.
        AtMostOnce,
        /// The answer is a stream of events.
        Stream {
            /// Whether running a request twice does no harm while no event was delivered.
            is_repeatable: bool,
            /// Whether another target can go on after the last event delivered.
            is_resumable: bool,
        },
    }

    /// A service and its share of a route's requests.
    pub struct Backend {
        /// Name of the service.
        pub service: ServiceId,
        /// Share, against the other backends of the route.
        pub weight: u32,
    }

    /// A route.
    pub struct Route {
        /// Name.
        pub name: CompactString,
        /// Host that it belongs to.
        pub host: CompactString,
        /// Start of the paths that it takes. Invariant: begins and ends with a slash.
        pub prefix: CompactString,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a request may be kept waiting.
        pub timeout: Duration,
        /// Time within which an answer is on time.
        pub latency_objective: Duration,
        /// Targets that may begin to run one request.
        pub max_attempts: u32,
        /// Rank, 0 first.
        pub rank: u8,
        /// Whether callers need no key.
        pub is_public: bool,
        /// Whether requests share parts of prompts that targets keep.
        pub is_sticky: bool,
        /// Where requests go. Invariant: not empty.
        pub backends: Vec<Backend>,
    }
}

impl Route {
    /// Whether a request may run more than once, before anything of an answer was delivered.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream { is_repeatable, .. } => is_repeatable,
        }
    }

    /// Whether another target can go on with an answer of which part was delivered.
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

    /// Whether answers are streams of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// What is allowed when an attempt fails, before or after part of an answer was delivered.
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

    /// The service for a request. The same `key` gets the same service while weights stay, so that
    /// a chat returns to the targets that keep its context.
    #[must_use]
    pub fn service_for(&self, key: u64) -> &ServiceId {
        let total: u64 = self
            .backends
            .iter()
            .map(|backend| u64::from(backend.weight))
            .sum();
        let hash = hash_parts(&[&key.to_le_bytes(), self.name.as_bytes()]);
        // Without any weight there is nothing to split, and the first backend takes all.
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
