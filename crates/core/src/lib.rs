//! Every decision lapismoor takes, free of sockets, threads and clocks.
//!
//! Each module holds one decision as a plain struct. Time is a parameter: a [`Moment`] since
//! the process started. Random choices come from a generator that is handed in. The daemon, the
//! seeded randomised runs and any other driver therefore run the very same code.

#[macro_use]
mod derives;

pub mod admission;
pub mod answer;
pub mod change;
pub mod chat_index;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod election;
pub mod entry;
pub mod event;
pub mod failure;
pub mod idempotency;
pub mod ids;
pub mod leader;
pub mod lease;
pub mod limits;
pub mod load_bound;
pub mod membership;
pub mod message;
pub mod peers;
pub mod placement;
pub mod queue;
pub mod request;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod settings;
pub mod store;
pub mod stream;
pub mod suspects;
pub mod table;
pub mod targets;
pub mod tickets;

pub use clock::{Clock, Moment};
pub use daemon::Daemon;
pub use event::{Action, Event};
