//! Calls to the store, as an adapter offers them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::LocalBoxFuture;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::{DaemonRecord, StoreItem};
use lapismoor_core::store::{LeaseId, StoreRequest, StoreResult};
use snafu::Snafu;

use super::fact::StoreUpdate;

/// Items up to a position in the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// In the order of the store.
    pub items: Vec<StoreItem>,
    /// Position up to which they are complete.
    pub revision: StoreRevision,
}

/// Why a call brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The history asked for is gone.
    #[snafu(display("the history asked for is gone; everything is read again"))]
    HistoryGone,
    /// The lease asked for has ended.
    #[snafu(display("the lease has ended; a new one is taken"))]
    LeaseEnded,
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
pub type StoreCall<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// Calls to the store.
#[derive(Clone)]
pub struct StoreClient {
    /// Reads everything as it is now.
    pub list: Rc<dyn Fn() -> StoreCall<Changes>>,
    /// Reads the daemons that announced themselves; far less than everything.
    pub list_daemons: Rc<dyn Fn() -> StoreCall<Vec<StoreItem>>>,
    /// Waits for changes after a position, for the time given at most.
    pub watch: Rc<dyn Fn(StoreRevision, Duration) -> StoreCall<Changes>>,
    /// Announces a daemon under a new lease of the time given.
    pub announce: Rc<dyn Fn(DaemonRecord, Duration) -> StoreCall<LeaseId>>,
    /// Renews a lease.
    pub renew: Rc<dyn Fn(LeaseId) -> StoreCall<()>>,
    /// Makes a call about the product's own records.
    pub call: Rc<dyn Fn(StoreRequest) -> LocalBoxFuture<'static, StoreResult>>,
    /// Bytes exchanged with the store.
    pub bytes: Rc<Cell<u64>>,
    /// What an item says; none if it concerns nobody here.
    pub decode: fn(&StoreItem) -> Option<StoreUpdate>,
}
