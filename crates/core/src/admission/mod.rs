//! Admission of requests: limits, queues, bans and the reasons for a refusal.

pub mod answer_times;
pub mod buffer_budget;
pub mod connection_budget;
pub mod cost;
pub mod cost_gate;
pub mod descriptor_plan;
pub mod flight_limit;
pub mod gate;
pub mod queue;
pub mod rate_limit;
pub mod refusal;
pub mod relay_slots;
pub mod room;
pub mod shedding;
pub mod startup;
pub mod stop_plan;
pub mod suspects;
pub mod target_limits;
pub mod workspaces;

pub use answer_times::AnswerTimes;
pub use buffer_budget::{BufferBudget, BufferId, BufferOwner, Growth, Reservation};
pub use connection_budget::{
    ConnectionBudget, ConnectionId, ConnectionLimits, ConnectionPhase, ConnectionTimeouts, Opening,
};
pub use cost::{Prospect, RequestNeed};
pub use cost_gate::CostGate;
pub use descriptor_plan::DescriptorPlan;
pub use flight_limit::{gate_limits, room_limits};
pub use gate::{Gate, Priority};
pub use rate_limit::RateLimit;
pub use refusal::Refusal;
pub use relay_slots::RelaySlots;
pub use room::{AnswerTiming, TargetRooms};
pub use shedding::Shedding;
pub use startup::wait_for_configuration;
pub use stop_plan::{StopPhase, StopPlan};
pub use suspects::{
    AnsweredAttempt, Belief, Evidence, InterruptedAttempt, SuspectKind, Suspects, TrialRecord,
    Verdict,
};
pub use target_limits::{
    Allocators, LimitChange, LimitNotice, LimitView, Overloads, PermitDecision, PermitDesk, Rates,
    RequestRate, ReturnSchedule,
};
pub use workspaces::Workspaces;
