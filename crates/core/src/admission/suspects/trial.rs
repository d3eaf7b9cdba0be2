//! Trials of requests that were interrupted at several targets. Each trial has one record in the
//! store, and the daemon that creates it may send the request once.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use crate::ids::Fingerprint;
use crate::store::{LeaseId, StoreAnswer, StoreRequest, StoreResult, TRIALS_PREFIX};

/// Unanswered writes after which a claim fails.
const MAX_UNANSWERED_WRITES: u32 = 2;

value! {
    /// A trial that a daemon claimed.
    #[derive(Copy)]
    pub struct TrialRecord {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Number of the trial, from 1.
        pub number: u32,
    }

    /// Next step of a [`TrialClaim`].
    pub enum TrialClaimStep {
        /// Make this store call and pass its result to [`TrialClaim::next`].
        Call(StoreRequest),
        /// This daemon may run the trial.
        Claimed,
        /// Another daemon claimed the trial.
        Taken,
        /// The lease has expired. Start a new claim under a new lease.
        LeaseGone,
        /// The store did not answer. The trial may be claimed, but must not be run.
        Unanswered,
    }
}

/// A claim in progress, free of I/O.
#[derive(Debug, Clone)]
pub struct TrialClaim {
    trial: TrialRecord,
    /// Distinguishes this claim from all others, so that it recognizes its own record after a lost
    /// answer.
    token: u64,
    lease: LeaseId,
    unanswered_writes: u32,
}

impl TrialRecord {
    /// Store key of the record.
    #[must_use]
    pub fn record_key(&self) -> CompactString {
        format_compact!("{TRIALS_PREFIX}{:016x}/{}", self.fingerprint, self.number)
    }

    /// Parses the key of a record; none if it is not a trial's.
    #[must_use]
    pub fn from_key(key: &str) -> Option<Self> {
        let (fingerprint, number) = key.strip_prefix(TRIALS_PREFIX)?.split_once('/')?;
        Some(Self {
            fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
            number: number.parse().ok()?,
        })
    }
}

impl TrialClaim {
    /// Creates a claim with a random `token`, attached to `lease`.
    #[must_use]
    pub fn new(trial: TrialRecord, token: u64, lease: LeaseId) -> Self {
        Self {
            trial,
            token,
            lease,
            unanswered_writes: 0,
        }
    }

    /// The first store call.
    #[must_use]
    pub fn begin(&self) -> StoreRequest {
        StoreRequest::Swap {
            key: self.trial.record_key(),
            version: 0,
            value: self.value(),
            lease: Some(self.lease),
        }
    }

    /// Returns the step that follows the result of the last call.
    pub fn next(&mut self, result: &StoreResult) -> TrialClaimStep {
        match result {
            Ok(StoreAnswer::Swapped) => TrialClaimStep::Claimed,
            Ok(StoreAnswer::Conflict {
                record: Some(record),
            }) if record.value == self.value() => TrialClaimStep::Claimed,
            Ok(StoreAnswer::Conflict { .. }) => TrialClaimStep::Taken,
            Ok(StoreAnswer::LeaseGone) => TrialClaimStep::LeaseGone,
            _ => self.retry(),
        }
    }

    fn retry(&mut self) -> TrialClaimStep {
        self.unanswered_writes += 1;
        if self.unanswered_writes >= MAX_UNANSWERED_WRITES {
            return TrialClaimStep::Unanswered;
        }
        TrialClaimStep::Call(self.begin())
    }

    fn value(&self) -> Bytes {
        format!("{:016x}", self.token).into()
    }
}
