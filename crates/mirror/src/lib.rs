//! Client and server of the protocol between daemons: they read the key-value store through each
//! other, exchange what they observe of targets and requests, ask each other for permits, and forward
//! connections to targets.

mod client;
mod counted;
mod items;
mod limits;
mod observations;
mod relay;
mod server;
mod streams;

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
pub use relay::{
    RelayAnswer, RelayCall, RelayError, RelayLost, RelayRequest, RelayedStream, open_relayed,
};
pub use server::{MirrorSource, PeerPlace, serve};

/// Part of the store, as a daemon holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MirrorAnswer {
    /// All items for `list`, changed and removed ones for `watch`.
    pub items: Vec<StoreItem>,
    /// Store revision up to which the items are complete.
    pub revision: StoreRevision,
    /// Time since the daemon last knew its copy to be current; rounded up on the wire.
    pub age: Duration,
    /// Time that the daemon waited for changes before it answered; rounded down on the wire.
    pub held: Duration,
}
