//! Whether a request is taken, and what a caller is told otherwise.

pub mod flight_limit;
pub mod gate;
pub mod refusal;
pub mod stop_plan;

pub use flight_limit::flight_limit;
pub use gate::Gate;
pub use refusal::Refusal;
pub use stop_plan::{StopPhase, StopPlan};
