//! What daemons tell each other about interrupted requests: records in the store that are written
//! once and never changed.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Record, SuspectKind};
use crate::ids::{DaemonId, Fingerprint, Incarnation};
use crate::membership::TargetIncarnation;
use crate::store::EVIDENCE_PREFIX;

value! {
    /// A request, or requests with the same prompt part, interrupted at a target.
    #[derive(Serialize, Deserialize)]
    pub struct SharedInterruption {
        /// What the fingerprint stands for.
        #[serde(default)]
        pub kind: SuspectKind,
        /// Fingerprint of the request or part.
        pub fingerprint: Fingerprint,
        /// Target at which it was interrupted.
        pub target: TargetIncarnation,
        /// Whether it was the first interruption that its daemon saw or followed the previous one,
        /// and no part of an answer had arrived.
        pub is_consecutive: bool,
        /// Position in the longest chain of crashes that the witness knows of, each under an attempt
        /// that was sent when the one before was known; 0 if it does not say.
        #[serde(default)]
        pub depth: u32,
        /// Whether the witness knows of an answer to the request, or to one with the part.
        #[serde(default)]
        pub is_answered: bool,
        /// Number of attempts of the witness that were interrupted there one after the other.
        pub occurrences: u32,
    }

    /// An interruption that no longer counts: the target kept running, or the request was answered.
    #[derive(PartialOrd, Ord, Serialize, Deserialize)]
    pub struct Withdrawal {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Target at which it was interrupted.
        pub target: TargetIncarnation,
    }

    /// The content of one record.
    #[derive(Serialize, Deserialize)]
    pub struct Evidence {
        /// Daemon that saw the interruptions.
        pub witness: Incarnation,
        /// New interruptions.
        pub interrupted: Vec<SharedInterruption>,
        /// Interruptions that no longer count.
        pub withdrawn: Vec<Withdrawal>,
    }
}

/// The value of a record is not valid.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{reason}; check which program wrote the record"))]
pub struct EvidenceError {
    reason: CompactString,
}

impl SharedInterruption {
    pub(super) fn of(record: &Record, is_answered: bool) -> Self {
        Self {
            is_answered,
            kind: record.kind,
            fingerprint: record.fingerprint,
            target: record.target.clone(),
            depth: record.depth,
            is_consecutive: record.is_consecutive,
            occurrences: record.occurrences,
        }
    }
}

impl Withdrawal {
    pub(super) fn of(record: &Record) -> Self {
        Self {
            fingerprint: record.fingerprint,
            target: record.target.clone(),
        }
    }
}

impl Evidence {
    /// Store key of the record with the number `sequence` of a daemon's incarnation.
    #[must_use]
    pub fn record_key(daemon: &DaemonId, incarnation: Incarnation, sequence: u64) -> CompactString {
        format_compact!("{EVIDENCE_PREFIX}{daemon}/{incarnation:016x}-{sequence}")
    }

    /// Whether a store key is that of a record.
    #[must_use]
    pub fn is_record_key(key: &str) -> bool {
        key.starts_with(EVIDENCE_PREFIX)
    }

    /// Value of the record.
    ///
    /// # Panics
    /// Never: the content has no map with keys other than text.
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        let json = serde_json::to_vec(self);
        json.expect("evidence serializes to JSON").into()
    }

    /// Parses the value of a record.
    ///
    /// # Errors
    /// [`EvidenceError`] with the reason if it is not valid.
    pub fn parse(value: &[u8]) -> Result<Self, EvidenceError> {
        serde_json::from_slice(value).map_err(|error| EvidenceError {
            reason: error.to_compact_string(),
        })
    }
}
