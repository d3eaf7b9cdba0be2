//! Keeps the daemon's state up to date with the platform's store, read directly or through other
//! daemons.

mod announce;
mod apply;
mod client;
mod follow;
mod mirror_source;
mod source_client;
pub(crate) mod suspects;
mod update;

pub(crate) use announce::announce;
pub use client::{Changes, StoreCall, StoreClient, StoreError};
pub(crate) use follow::follow;
pub(crate) use mirror_source::mirror_source;
pub use update::StoreUpdate;
