//! Records of the product's own in the platform's store, and how a call may be answered.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

/// Number of a lease in the store.
pub type LeaseId = u64;
/// Version of a record; zero stands for one that does not exist.
pub type RecordVersion = u64;
/// Key of a record.
pub type RecordKey = CompactString;

/// Key of the operators' configuration of profiles.
pub const PROFILE_CONFIG_KEY: &str = "lapismoor/config";
/// Prefix of the records of requests that may crash targets.
pub const SUSPECTS_PREFIX: &str = "lapismoor/suspects/";
/// Prefix of the records of callers' idempotency keys.
pub const IDEMPOTENCY_PREFIX: &str = "lapismoor/idempotency/";

value! {
    /// A record.
    pub struct Record {
        /// Value.
        pub value: Bytes,
        /// Version of the last change.
        pub version: RecordVersion,
    }

    /// A call of the store.
    pub enum StoreRequest {
        /// Reads a record.
        Read {
            /// Its key.
            key: RecordKey,
        },
        /// Writes a record if it still has a version.
        Swap {
            /// Its key.
            key: RecordKey,
            /// The version; zero if it must not exist.
            version: RecordVersion,
            /// The new value.
            value: Bytes,
            /// Lease with which the record goes away.
            lease: Option<LeaseId>,
        },
        /// Makes a lease.
        GrantLease {
            /// How long it lasts.
            ttl: Duration,
        },
    }

    /// An answer of the store.
    pub enum StoreAnswer {
        /// Answer to a read.
        Read {
            /// The record, if it exists.
            record: Option<Record>,
        },
        /// The swap took effect.
        Swapped,
        /// The record has another version; nothing was written.
        Conflict {
            /// The record as it is, if it exists.
            record: Option<Record>,
        },
        /// A lease was made.
        Lease {
            /// The lease.
            lease: LeaseId,
        },
        /// The lease that the call names no longer exists.
        LeaseGone,
    }

    /// No answer came in time. A write may or may not have taken effect.
    pub struct StoreFailure {
        /// What happened.
        pub reason: CompactString,
    }
}

/// Result of a call.
pub type StoreResult = Result<StoreAnswer, StoreFailure>;
