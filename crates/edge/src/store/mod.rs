//! What the daemon learns from the platform's store, by itself or from other daemons.

mod announce;
mod apply;
mod client;
mod fact;
mod follow;
mod question;
pub(crate) mod suspects;
mod telling;

pub(crate) use announce::announce;
pub use client::{Changes, StoreCall, StoreClient, StoreError};
pub use fact::StoreUpdate;
pub(crate) use follow::follow;
pub(crate) use telling::telling;
