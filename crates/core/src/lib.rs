//! Decision logic of lapismoor. It uses no sockets or threads and reads no clock of its own.
//!
//! Each module implements one decision as a plain struct. The current time is a parameter: a
//! [`Moment`] since the process started. Random numbers come from a generator that the caller
//! passes in. The daemon, the tests and the policy comparisons therefore run the same code.

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
