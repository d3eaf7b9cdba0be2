//! Calls to the store, as an adapter offers them.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::LocalBoxFuture;
use snafu::Snafu;

use super::fact::Fact;

/// Position in the store's history.
pub type StoreRevision = u64;

/// Facts up to a position in the store's history.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// In the order of the store.
    pub facts: Vec<Fact>,
    /// Position up to which they are complete.
    pub revision: StoreRevision,
}

/// Why a call brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store dropped the history asked for.
    #[snafu(display("the store no longer has this history; read everything again"))]
    HistoryGone,
    /// The store did not answer, or refused.
    #[snafu(display("the store is not available: {reason}; check it and the network"))]
    Unavailable {
        /// What happened.
        reason: CompactString,
    },
    /// The answer makes no sense.
    #[snafu(display("the store's answer cannot be read: {reason}; check its version"))]
    Unreadable {
        /// What is wrong.
        reason: CompactString,
    },
}

/// Future of a call.
pub type StoreCall = LocalBoxFuture<'static, Result<Changes, StoreError>>;

/// Calls to the store.
#[derive(Clone)]
pub struct StoreClient {
    /// Reads everything as it is now.
    pub list: Rc<dyn Fn() -> StoreCall>,
    /// Waits for changes after a position, for the time given at most.
    pub watch: Rc<dyn Fn(StoreRevision, Duration) -> StoreCall>,
}
