//! Target entries in the store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, ServiceId, SoftwareVersion, TargetId};

value! {
    /// State that a target announces.
    pub enum TargetState {
        /// It accepts new requests.
        Ready,
        /// It is shutting down and accepts no new requests.
        Draining,
    }

    /// One incarnation of a target, under a name that is the same at all daemons.
    #[derive(PartialOrd, Ord, Serialize, Deserialize)]
    pub struct TargetIncarnation {
        /// Name of the target.
        pub id: TargetId,
        /// Its start, in milliseconds of Unix time; zero if it announced none.
        pub started_unix_ms: u64,
    }

    /// Entry of one target in the store.
    pub struct TargetEntry {
        /// Name, unique in the fleet and stable across restarts.
        pub id: TargetId,
        /// Start of this incarnation, in milliseconds of Unix time. A different value under the
        /// same name is a new incarnation without the state of the previous one.
        pub started_unix_ms: Option<u64>,
        /// Address at which it accepts requests.
        pub address: SocketAddr,
        /// Service that it serves.
        pub service: ServiceId,
        /// Failure domain that it runs in.
        pub domain: FailureDomain,
        /// Version of its software.
        pub version: SoftwareVersion,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// State that it announced.
        pub state: TargetState,
        /// Time left until it has warmed up after its start; it is slower until then.
        pub warmup_remaining: Duration,
    }
}

impl TargetEntry {
    /// The incarnation that wrote the entry.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            id: self.id.clone(),
            started_unix_ms: self.started_unix_ms.unwrap_or_default(),
        }
    }
}
