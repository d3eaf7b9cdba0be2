//! When a request may be sent again, and what a failed attempt says of its target.

pub mod breaker;
pub mod outcome;
pub mod service_budget;

pub use breaker::Breaker;
pub use outcome::{AnswerKind, AttemptCounts, AttemptEnd, NextStep, RetryRule, classify_answer};
pub use service_budget::{RetryBudget, RetryBudgetSettings};
