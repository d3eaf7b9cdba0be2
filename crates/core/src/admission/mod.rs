//! Whether a request is taken, and what a caller is told otherwise.

pub mod refusal;
pub mod stop_plan;

pub use refusal::Refusal;
pub use stop_plan::{StopPhase, StopPlan};
