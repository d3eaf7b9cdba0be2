//! When a request may be sent again, and what a failed attempt says of its target.

pub mod breaker;
pub mod outcome;
pub mod retry_budget;

pub use breaker::Breaker;
pub use outcome::{AnswerKind, AttemptCounts, AttemptEnd, NextStep, RetryPolicy, classify_answer};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
