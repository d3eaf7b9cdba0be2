//! Binds a caller's idempotency key to a request id with a record in the store.
//!
//! Any daemon that receives the key later reads the id from the record, and the id names the daemon
//! that owns the request. A write whose answer was lost is retried unchanged. The key is bound to
//! the id in the record, which is that of the first write.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::failure::{Failure, FailureKind};
use crate::ids::{RequestId, hash_parts};
use crate::store::{
    IDEMPOTENCY_PREFIX, LeaseId, RecordKey, StoreAnswer, StoreRequest, StoreResult,
};

/// Time to live of a lease on records. The records outlive the daemon that wrote them.
pub const KEY_LEASE_TTL: Duration = Duration::from_mins(10);
/// Time for which new records are attached to one lease. Each record then lasts at least for
/// [`KEY_LEASE_TTL`] less this time.
pub const KEY_LEASE_ROTATION: Duration = Duration::from_mins(5);
/// Delay before a retry while the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Unanswered writes after which a binding fails.
const MAX_UNANSWERED_WRITES: u32 = 3;

/// Next step of a [`KeyBinding`].
#[derive(Debug, Clone, PartialEq)]
pub enum BindStep {
    /// Make this store call and pass its result to [`KeyBinding::next`].
    Call(StoreRequest),
    /// The key is bound to this id.
    Bound(RequestId),
    /// The lease has expired. Start a new binding under a new lease.
    LeaseGone,
    /// The record could not be written or read. This is the final answer to the caller.
    Failed(Failure),
}

/// A binding in progress, free of I/O.
#[derive(Debug, Clone)]
pub struct KeyBinding {
    key: RecordKey,
    id: RequestId,
    lease: LeaseId,
    unanswered_writes: u32,
}

impl KeyBinding {
    /// Creates a binding of the record `key` to `id`, attached to `lease`. A key that is already
    /// bound keeps its id.
    #[must_use]
    pub fn new(key: RecordKey, id: RequestId, lease: LeaseId) -> Self {
        Self {
            key,
            id,
            lease,
            unanswered_writes: 0,
        }
    }

    /// The first store call.
    #[must_use]
    pub fn begin(&self) -> StoreRequest {
        StoreRequest::Swap {
            key: self.key.clone(),
            version: 0,
            value: self.id.to_string().into(),
            lease: Some(self.lease),
        }
    }

    /// Returns the step that follows the result of the last call.
    pub fn next(&mut self, result: &StoreResult) -> BindStep {
        match result {
            Ok(StoreAnswer::Swapped) => BindStep::Bound(self.id),
            Ok(StoreAnswer::Conflict {
                record: Some(record),
            }) => match parse(&record.value) {
                Some(id) => BindStep::Bound(id),
                None => BindStep::Failed(store_unavailable()),
            },
            Ok(StoreAnswer::LeaseGone) => BindStep::LeaseGone,
            _ => self.retry(),
        }
    }

    fn retry(&mut self) -> BindStep {
        self.unanswered_writes += 1;
        if self.unanswered_writes >= MAX_UNANSWERED_WRITES {
            return BindStep::Failed(store_unavailable());
        }
        BindStep::Call(self.begin())
    }
}

/// Store key of the record for a workspace's idempotency key.
#[must_use]
pub fn record_key(workspace: &str, key: &str) -> CompactString {
    let hash = hash_parts(&[workspace.as_bytes(), key.as_bytes()]);
    format_compact!("{IDEMPOTENCY_PREFIX}{workspace}/{hash:016x}")
}

/// Final answer if the record of a key could not be written. The outcome is unknown: this call
/// dispatched nothing, but an earlier one with the same key may have run at another daemon.
#[must_use]
pub fn store_unavailable() -> Failure {
    Failure::unknown(FailureKind::StoreUnavailable, Some(STORE_RETRY_AFTER))
}

fn parse(value: &[u8]) -> Option<RequestId> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
