//! An operator's change of the configuration: a compare-and-swap on the revision.
//!
//! The change carries a random mark. When an answer is lost, the record is read back, and the
//! mark tells whether this change or another one took effect.

use std::sync::Arc;

use bytes::Bytes;

use super::{Accepted, Config};
use crate::ids::ConfigRevision;
use crate::store::{CONFIG, Record, RecordVersion, StoreAnswer, StoreRequest, StoreResult};

/// Reads in a row without an answer after which a change gives up.
const MAX_SILENT_READS: u32 = 5;

/// How a change ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeOutcome {
    /// It is accepted and will be in force everywhere.
    Accepted {
        /// Its revision.
        revision: ConfigRevision,
    },
    /// Another change came first; this one had no effect.
    Conflict {
        /// Revision that is accepted now.
        revision: ConfigRevision,
    },
    /// The key-value service gave no answer before anything was written.
    NotWritten,
    /// The key-value service gave no answer after the write was sent.
    Unknown,
}

/// What a change does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeStep {
    /// Make this call and pass its result on.
    Call(StoreRequest),
    /// It is over.
    Done(ChangeOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Swapping,
    ReadingBack,
}

/// A change on its way.
#[derive(Debug, Clone)]
pub struct Change {
    config: Config,
    /// The revision that the operator started from; none for whichever is accepted.
    base: Option<ConfigRevision>,
    mark: u64,
    accepted_at_ms: u64,
    stage: Stage,
    /// Revision that the swap would give.
    revision: ConfigRevision,
    silent_reads: u32,
}

impl Change {
    /// A change to `config`, which has passed its checks. With a `base`, it conflicts with any
    /// change accepted since. `mark` is random.
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
            silent_reads: 0,
        }
    }

    /// The first call.
    #[must_use]
    pub fn begin(&self) -> StoreRequest {
        read_request()
    }

    /// Takes the result of the last call.
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

    /// The swap's answer was a conflict or lost. A record with this change's mark is its own.
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
        self.silent_reads += 1;
        if self.silent_reads >= MAX_SILENT_READS {
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

/// The call that reads the accepted configuration.
#[must_use]
pub fn read_request() -> StoreRequest {
    StoreRequest::Read { key: CONFIG.into() }
}

/// The accepted configuration in the answer to [`read_request`]; none when there is none yet.
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
        key: CONFIG.into(),
        version,
        value: Bytes::from(accepted.to_json()),
        lease: None,
    }
}
