//! Daemons read the platform's store for each other: the client and the server of that protocol.

mod client;
mod counted;
mod server;

/// Code generated from `schema/mirror.capnp`.
#[path = "generated/mirror_capnp.rs"]
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    unreachable_pub
)]
mod mirror_capnp;

use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::StoreItem;
use std::time::Duration;

pub use client::{MirrorClient, MirrorError};
pub use counted::ByteCounter;
pub use server::{MirrorSource, serve};

/// What a daemon tells of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MirrorAnswer {
    /// All items, or the changes.
    pub items: Vec<StoreItem>,
    /// Position up to which they are complete.
    pub revision: StoreRevision,
    /// Age of the knowledge when it was told.
    pub age: Duration,
    /// Time for which the call was held.
    pub held: Duration,
}
