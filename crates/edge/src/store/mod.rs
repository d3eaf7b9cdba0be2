//! Keeps the daemon's state up to date with the platform's store, read directly or through other
//! daemons.

mod announce;
mod apply;
mod client;
mod evacuations;
mod follow;
mod mirror_source;
mod observations;
pub(crate) mod records;
mod source_client;
mod stream_records;
mod suspects;
pub(crate) mod trials;
mod update;
mod version_marks;

pub(crate) use announce::{announce, initial_delay};
pub use client::{Changes, Consistency, StoreCall, StoreClient, StoreError};
pub(crate) use evacuations::sweep as sweep_evacuations;
pub(crate) use follow::follow;
pub(crate) use mirror_source::mirror_source;
pub(crate) use observations::{exchange_between_collectors, exchange_observations};
pub use records::RecordLease;
pub(crate) use stream_records::record_streams;
pub(crate) use suspects::{share_now, share_suspects};
pub(crate) use trials::ClaimResult;
pub use update::StoreUpdate;
pub(crate) use version_marks::mark_versions;
