//! The daemon between callers and targets: it accepts requests, routes them by the decisions of
//! `lapismoor-core`, and returns their outcome. An adapter supplies the headers of callers and
//! targets as a [`Dialect`], and the access to the store as a [`StoreClient`].

mod admission;
mod buffers;
mod caller_connection;
mod clock;
mod connections;
mod context;
mod crash_watch;
pub mod dialect;
pub mod history;
pub mod http;
mod in_flight;
mod listeners;
mod logging;
mod metrics;
mod millis;
mod paths;
mod peers;
mod permits;
mod profiles;
mod serve;
mod server;
mod settings;
pub mod spans;
mod start;
mod status;
mod store;
mod streams;

pub use clock::boot_clock;
pub use context::Edge;
pub use dialect::{
    AnswerMetadata, AttemptHeaders, Dialect, Envelope, EnvelopeError, ModelCall, NamedLimit,
    PauseRequest,
};
pub use listeners::Listeners;
pub use logging::{LogQueue, LoggingError, flush_at_exit, start as start_logging};
pub use serve::dry_run::{
    AdmissionReport, ChoiceReport, CostReport, DryRun, DryRunQuery, HomeReport, PlacementReport,
    RefusalReport, TargetReport,
};
pub use settings::{EdgeSettings, FleetLimits, Tuning};
pub use start::{StartError, run};
pub use status::{EvacuationStatus, Status, TargetStatus};
pub use store::{
    Changes, Consistency, RecordLease, StoreCall, StoreClient, StoreError, StoreUpdate,
};
