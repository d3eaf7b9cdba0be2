//! What the daemon learns from the platform's store.

mod client;
mod fact;
mod follow;

pub use client::{Changes, StoreClient, StoreError, StoreRevision};
pub use fact::Fact;
pub(crate) use follow::follow;
