//! Runs the real programs as separate processes on loopback and injects faults drawn from a seed.
//!
//! The guarantees are checked against the reports of callers and the records of targets. The same
//! seed injects the same faults at the same times, but the processes' reactions vary between runs.

mod calm;
mod crashing;
mod injector;
mod plan;
mod proxy;
mod run;
mod verify;

pub use calm::{CalmOutcome, CalmPlan, EndCounts, run_calm};
pub use plan::{Fault, FaultPlan, FaultStep, TargetRange};
pub use proxy::{Mode, Proxies};
pub use run::{Additions, Outcome, ProcessCounts, run};
pub use verify::{drained_time, lost_attempts};
