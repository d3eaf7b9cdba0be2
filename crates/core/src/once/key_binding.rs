//! Binds a caller's own key to a request id, by a record in the store.
//!
//! Whoever meets the key later finds the id there, and with it the daemon that owns the request. The
//! write is repeated as it is when its answer is lost: the record then holds the id of whichever
//! write came first, and that id counts.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::failure::{Failure, FailureKind};
use crate::ids::{RequestId, hash_parts};
use crate::store::{IDEMPOTENCY, LeaseId, RecordKey, StoreAnswer, StoreRequest, StoreResult};

/// How long the lease of the records lasts: a key is remembered beyond its daemon.
pub const KEY_LEASE_TTL: Duration = Duration::from_mins(10);
/// How long one lease takes new records; each record lasts for the rest at least.
pub const KEY_LEASE_ROTATION: Duration = Duration::from_mins(5);
/// When to come back while the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Writes without an answer after which a binding is given up.
const MAX_SILENT_WRITES: u32 = 3;

/// What a binding does next.
#[derive(Debug, Clone, PartialEq)]
pub enum BindStep {
    /// Make this call and pass its result on.
    Call(StoreRequest),
    /// The key is bound to this id.
    Bound(RequestId),
    /// The lease has ended; a binding under a new one is needed.
    LeaseGone,
    /// The final answer: the record could not be written or read.
    Failed(Failure),
}

/// A binding on its way.
#[derive(Debug, Clone)]
pub struct KeyBinding {
    key: RecordKey,
    id: RequestId,
    lease: LeaseId,
    silent_writes: u32,
}

impl KeyBinding {
    /// Binds the record `key` to `id`, unless it is bound already.
    #[must_use]
    pub fn new(key: RecordKey, id: RequestId, lease: LeaseId) -> Self {
        Self {
            key,
            id,
            lease,
            silent_writes: 0,
        }
    }

    /// The first call.
    #[must_use]
    pub fn begin(&self) -> StoreRequest {
        StoreRequest::Swap {
            key: self.key.clone(),
            version: 0,
            value: self.id.to_string().into(),
            lease: Some(self.lease),
        }
    }

    /// Takes the result of the last call.
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
            _ => self.repeat(),
        }
    }

    fn repeat(&mut self) -> BindStep {
        self.silent_writes += 1;
        if self.silent_writes >= MAX_SILENT_WRITES {
            return BindStep::Failed(store_unavailable());
        }
        BindStep::Call(self.begin())
    }
}

/// Key of the record of a workspace's idempotency key.
#[must_use]
pub fn record_key(workspace: &str, key: &str) -> CompactString {
    let hash = hash_parts(&[workspace.as_bytes(), key.as_bytes()]);
    format_compact!("{IDEMPOTENCY}{workspace}/{hash:016x}")
}

/// The final answer when a key's record could not be written. Nothing was dispatched for this
/// submission, but an earlier one under the same key may have run elsewhere.
#[must_use]
pub fn store_unavailable() -> Failure {
    Failure::unknown(FailureKind::StoreUnavailable, Some(STORE_RETRY_AFTER))
}

fn parse(value: &[u8]) -> Option<RequestId> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
