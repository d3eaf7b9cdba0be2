//! Proofs and measurements beyond tests: the real programs as processes under seeded faults, ways of
//! placing requests compared on the same traffic, and what decisions cost as their tables grow.

pub mod compare;
pub mod deployment;
pub mod event_queue;
pub mod processes;
pub mod slopes;
