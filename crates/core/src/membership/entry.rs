//! A target as the store lists it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FailureDomain, ServiceId, TargetId};

value! {
    /// Whether a target takes work.
    pub enum TargetState {
        /// It does.
        Ready,
        /// It is about to stop.
        Draining,
    }

    /// One entry of the store.
    pub struct TargetEntry {
        /// Name.
        pub id: TargetId,
        /// Start of this run of the target, in milliseconds of Unix time. Another value under the
        /// same name is another run, which remembers nothing.
        pub started_unix_ms: Option<u64>,
        /// Where it listens.
        pub address: SocketAddr,
        /// Service that it belongs to.
        pub service: ServiceId,
        /// Failure domain that it stands in.
        pub domain: FailureDomain,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it takes work.
        pub state: TargetState,
        /// How much longer it stays slow after its start.
        pub warmup_remaining: Duration,
    }
}
