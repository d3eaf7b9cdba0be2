//! Lapismoor's own records in the platform's key-value store, and the requests and answers of the
//! store.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

/// Id of a lease in the store.
pub type LeaseId = u64;
/// Version of a record; zero means that the record does not exist.
pub type RecordVersion = u64;
/// Full key of a record, including its prefix.
pub type RecordKey = CompactString;

/// Key of the profile configuration, which operators write.
pub const PROFILE_CONFIG_KEY: &str = "lapismoor/config";
/// Key prefix of the records by which daemons tell each other of interrupted requests.
pub const EVIDENCE_PREFIX: &str = "lapismoor/evidence/";
/// Key prefix of the records of claimed trials.
pub const TRIALS_PREFIX: &str = "lapismoor/trials/";
/// Key prefix of the records of callers' idempotency keys.
pub const IDEMPOTENCY_PREFIX: &str = "lapismoor/idempotency/";

value! {
    /// A record as read from the store.
    pub struct Record {
        /// Encoded content.
        pub value: Bytes,
        /// Version that the last write assigned.
        pub version: RecordVersion,
    }

    /// A request to the store.
    pub enum StoreRequest {
        /// Reads one record.
        Read {
            /// Key to read.
            key: RecordKey,
        },
        /// Compare-and-swap: writes a record if its version is unchanged.
        Swap {
            /// Key to write.
            key: RecordKey,
            /// Version that the record must have; zero if it must not exist.
            version: RecordVersion,
            /// New value of the record.
            value: Bytes,
            /// Lease that the record is bound to; the store deletes the record when it expires.
            lease: Option<LeaseId>,
        },
        /// Writes a record, whatever its version is.
        Put {
            /// Key to write.
            key: RecordKey,
            /// New value of the record.
            value: Bytes,
            /// Lease that the record is bound to.
            lease: LeaseId,
        },
        /// Creates a lease.
        GrantLease {
            /// Time after which the lease expires.
            ttl: Duration,
        },
    }

    /// An answer of the store.
    pub enum StoreAnswer {
        /// Result of [`StoreRequest::Read`].
        Read {
            /// The record, if it exists.
            record: Option<Record>,
        },
        /// The record was written.
        Swapped,
        /// The record has another version; nothing was written.
        Conflict {
            /// The current record, if it exists.
            record: Option<Record>,
        },
        /// The lease was created.
        Lease {
            /// Id of the new lease.
            lease: LeaseId,
        },
        /// The lease of the request no longer exists.
        LeaseGone,
    }

    /// The store did not answer in time. A write may or may not have taken effect.
    pub struct StoreFailure {
        /// What went wrong, for logs.
        pub reason: CompactString,
    }
}

/// Result of a store request.
pub type StoreResult = Result<StoreAnswer, StoreFailure>;
