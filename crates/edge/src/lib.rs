//! The daemon between callers and targets: it takes requests, has `lapismoor-core` decide where
//! they go, and answers for their outcome. What callers, targets and the store speak comes from an
//! adapter as a [`Dialect`] and a [`StoreClient`].

mod admission;
mod clock;
mod context;
pub mod dialect;
pub mod history;
pub mod http;
mod listeners;
mod logging;
mod metrics;
mod millis;
mod profiles;
mod serve;
mod server;
mod settings;
pub mod spans;
mod start;
mod status;
mod store;

pub use clock::boot_clock;
pub use context::Edge;
pub use dialect::{AnswerMetadata, AttemptHeaders, Dialect, Envelope, EnvelopeError, ModelCall};
pub use listeners::Listeners;
pub use logging::{LoggingError, start as start_logging};
pub use settings::{EdgeSettings, FleetLimits, Tuning};
pub use start::{StartError, run};
pub use status::{Status, TargetStatus};
pub use store::{Changes, StoreCall, StoreClient, StoreError, StoreUpdate};
