//! Interface to the store, implemented by an adapter.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::LocalBoxFuture;
use lapismoor_core::ids::{StoreEra, StoreRevision};
use lapismoor_core::membership::{DaemonRecord, StoreItem};
use lapismoor_core::store::{LeaseId, StoreRequest, StoreResult};
use snafu::Snafu;

use super::update::StoreUpdate;

/// Items read from the store, complete up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// In the store's order.
    pub items: Vec<StoreItem>,
    /// Revision up to which the items are complete.
    pub revision: StoreRevision,
}

/// Error of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store has dropped the history after the requested revision.
    #[snafu(display("the store no longer has the requested history; reading everything again"))]
    HistoryGone,
    /// The lease has expired.
    #[snafu(display("the lease has expired; requesting a new one"))]
    LeaseEnded,
    /// The source did not answer within the timeout.
    #[snafu(display("the source did not answer within the timeout; check it and the network"))]
    Unanswered,
    /// The store did not answer or refused the call.
    #[snafu(display("the store is unavailable: {reason}; check the store and the network"))]
    Unavailable {
        /// What failed.
        reason: CompactString,
    },
    /// The answer could not be decoded.
    #[snafu(display("cannot decode the store's answer: {reason}; check the store's version"))]
    Unreadable {
        /// What could not be decoded.
        reason: CompactString,
    },
}

/// How current an answer of the store must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// It includes all changes that the store acknowledged before the call.
    Latest,
    /// It may be some seconds old. The store charges a fraction of the price.
    MayBeStale,
}

/// Future of a store call; it runs on the daemon's thread.
pub type StoreCall<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// The calls that an adapter implements; each returns a new future.
#[derive(Clone)]
pub struct StoreClient {
    /// Reads the current state of all keys.
    pub list: Rc<dyn Fn() -> StoreCall<Changes>>,
    /// Reads only the announced daemons, which is much less data than `list`.
    pub list_daemons: Rc<dyn Fn(Consistency) -> StoreCall<Vec<StoreItem>>>,
    /// Returns the changes after a revision; waits for them at most the given time.
    pub watch: Rc<dyn Fn(StoreRevision, Duration) -> StoreCall<Changes>>,
    /// Announces a daemon under a new lease with the given TTL.
    pub announce: Rc<dyn Fn(DaemonRecord, Duration) -> StoreCall<LeaseId>>,
    /// Extends a lease by its TTL.
    pub renew: Rc<dyn Fn(LeaseId) -> StoreCall<()>>,
    /// Executes a call on the fleet's own records, such as idempotency keys and suspects.
    pub call: Rc<dyn Fn(StoreRequest) -> LocalBoxFuture<'static, StoreResult>>,
    /// Bytes sent to and received from the store so far.
    pub bytes: Rc<Cell<u64>>,
    /// Latest era that an answer of the store named.
    pub era: Rc<Cell<StoreEra>>,
    /// Decodes an item; `None` if the daemon does not use its key.
    pub decode: fn(&StoreItem) -> Option<StoreUpdate>,
}
