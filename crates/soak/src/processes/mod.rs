//! The real programs as separate processes on loopback, with faults from outside, from a seed.
//!
//! Promises are judged from what callers saw and what targets recorded. The same seed plays the same
//! faults at the same times; what the processes make of them differs from run to run.

mod injector;
mod plan;
mod proxy;
mod run;
mod verify;

pub use plan::{Fault, Plan, Step};
pub use proxy::{Mode, Proxies};
pub use run::{Outcome, Size, run};
