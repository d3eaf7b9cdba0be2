//! Retry decisions, the retry budget, and the circuit breaker of a target.

pub mod breaker;
pub mod outcome;
pub mod pause;
pub mod replacement;
pub mod retry_budget;

pub use breaker::Breaker;
pub use outcome::{AnswerKind, AttemptCounts, AttemptEnd, NextStep, RetryPolicy, classify_answer};
pub use pause::{MAX_PAUSE, Pause};
pub use replacement::{MAX_SOUND_SILENCE, Obstacle, OverdueRequest, may_replace};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
