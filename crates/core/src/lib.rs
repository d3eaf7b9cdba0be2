//! Every decision lapismoor takes, free of sockets, threads and clocks.
//!
//! Each module holds one decision as a plain struct. Time is a parameter: a [`Moment`] since
//! the process started. Random choices come from a generator that is handed in. The daemon, the
//! tests and the comparisons therefore run the very same code.

#[macro_use]
mod derives;

pub mod admission;
pub mod answer;
pub mod clock;
pub mod config;
pub mod failure;
pub mod ids;
pub mod membership;
pub mod once;
pub mod request;
pub mod retry;
pub mod routing;
pub mod store;
pub mod stream;

pub use clock::{Clock, Moment};
