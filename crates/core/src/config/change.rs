//! An operator's change of the profile configuration: a compare-and-swap on the revision.
//!
//! Each change carries a random mark. If the answer to the write is lost, the record is read back,
//! and the mark shows whether this change or another one took effect.

use std::sync::Arc;

use bytes::Bytes;

use super::{Accepted, Config};
use crate::ids::ConfigRevision;
use crate::store::{
    PROFILE_CONFIG_KEY, Record, RecordVersion, StoreAnswer, StoreRequest, StoreResult,
};

/// Unanswered reads after which a change fails.
const MAX_UNANSWERED_READS: u32 = 5;

/// Result of a [`Change`].
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeOutcome {
    /// The change was accepted and will come into force on all daemons.
    Accepted {
        /// Revision of the new configuration.
        revision: ConfigRevision,
    },
    /// Another change was accepted first. This one had no effect.
    Conflict {
        /// Revision of the accepted configuration.
        revision: ConfigRevision,
    },
    /// The store did not answer, and nothing was written.
    NotWritten,
    /// The store did not answer after the write was sent, so the change may have taken effect.
    Unknown,
}

/// Next step of a [`Change`].
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeStep {
    /// Make this store call and pass its result to [`Change::next`].
    Call(StoreRequest),
    /// The change has ended.
    Done(ChangeOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Swapping,
    ReadingBack,
}

/// A change in progress, free of I/O.
#[derive(Debug, Clone)]
pub struct Change {
    config: Config,
    /// Revision that the operator edited; none to replace any revision.
    base: Option<ConfigRevision>,
    mark: u64,
    accepted_at_ms: u64,
    stage: Stage,
    /// Revision of the configuration if the swap succeeds.
    revision: ConfigRevision,
    unanswered_reads: u32,
}

impl Change {
    /// Creates a change to `config`, which must have passed its checks. With a `base`, the change
    /// conflicts with any change accepted since that revision. `mark` is a random number.
    #[must_use]
    pub fn new(
        config: Config,
        base: Option<ConfigRevision>,
        mark: u64,
        accepted_at_ms: u64,
    ) -> Self {
        Self {
            config,
            base,
            mark,
            accepted_at_ms,
            stage: Stage::Reading,
            revision: 0,
            unanswered_reads: 0,
        }
    }

    /// The first store call.
    #[must_use]
    pub fn begin(&self) -> StoreRequest {
        read_request()
    }

    /// Returns the step that follows the result of the last call.
    pub fn next(&mut self, result: &StoreResult) -> ChangeStep {
        match (self.stage, result) {
            (Stage::Reading, Ok(StoreAnswer::Read { record })) => self.swap(record.as_ref()),
            (Stage::Swapping, Ok(StoreAnswer::Swapped)) => self.accepted(),
            (Stage::Swapping, _) => {
                self.stage = Stage::ReadingBack;
                ChangeStep::Call(read_request())
            }
            (Stage::ReadingBack, Ok(StoreAnswer::Read { record })) => {
                self.read_back(record.as_ref())
            }
            (Stage::Reading, _) => self.read_again(ChangeOutcome::NotWritten),
            (Stage::ReadingBack, _) => self.read_again(ChangeOutcome::Unknown),
        }
    }

    fn swap(&mut self, record: Option<&Record>) -> ChangeStep {
        let current = revision_of(record);
        if self.base.is_some_and(|base| base != current) {
            return ChangeStep::Done(ChangeOutcome::Conflict { revision: current });
        }
        self.revision = current + 1;
        self.stage = Stage::Swapping;
        let accepted = Accepted {
            revision: self.revision,
            change_mark: self.mark,
            accepted_at_ms: self.accepted_at_ms,
            config: self.config.clone(),
        };
        let version = record.map_or(0, |record| record.version);
        ChangeStep::Call(write(&accepted, version))
    }

    /// Handles the record that was read after the swap conflicted or its answer was lost. A record
    /// with this change's mark was written by it.
    fn read_back(&mut self, record: Option<&Record>) -> ChangeStep {
        let parsed = record.and_then(|record| Accepted::parse(&record.value).ok());
        if parsed
            .as_ref()
            .is_some_and(|accepted| accepted.change_mark == self.mark)
        {
            return self.accepted();
        }
        let current = parsed.as_ref().map_or(0, |accepted| accepted.revision);
        if current >= self.revision {
            return ChangeStep::Done(ChangeOutcome::Conflict { revision: current });
        }
        self.base = Some(current);
        self.swap(record)
    }

    fn read_again(&mut self, outcome: ChangeOutcome) -> ChangeStep {
        self.unanswered_reads += 1;
        if self.unanswered_reads >= MAX_UNANSWERED_READS {
            return ChangeStep::Done(outcome);
        }
        ChangeStep::Call(read_request())
    }

    fn accepted(&self) -> ChangeStep {
        ChangeStep::Done(ChangeOutcome::Accepted {
            revision: self.revision,
        })
    }
}

/// Store call that reads the accepted profile configuration.
#[must_use]
pub fn read_request() -> StoreRequest {
    StoreRequest::Read {
        key: PROFILE_CONFIG_KEY.into(),
    }
}

/// Parses the answer to [`read_request`]; none if there is no valid configuration.
#[must_use]
pub fn parse_accepted(answer: &StoreAnswer) -> Option<Arc<Accepted>> {
    let StoreAnswer::Read {
        record: Some(record),
    } = answer
    else {
        return None;
    };
    Accepted::parse(&record.value).ok()
}

fn revision_of(record: Option<&Record>) -> ConfigRevision {
    let parsed = record.and_then(|record| Accepted::parse(&record.value).ok());
    parsed.map_or(0, |accepted| accepted.revision)
}

fn write(accepted: &Accepted, version: RecordVersion) -> StoreRequest {
    StoreRequest::Swap {
        key: PROFILE_CONFIG_KEY.into(),
        version,
        value: Bytes::from(accepted.to_json()),
        lease: None,
    }
}
