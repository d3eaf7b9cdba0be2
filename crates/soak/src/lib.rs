//! Long-running checks and measurements: fault injection on real processes, comparison of placement
//! policies on the same simulated traffic, and the cost of decisions as tables grow.

pub mod compare;
pub mod deployment;
pub mod event_queue;
pub mod processes;
pub mod slopes;
