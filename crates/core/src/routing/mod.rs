//! Routing: matches a request to a route, selects a service, and chooses a target by cache affinity
//! and load.

mod candidates;
pub mod choice;
pub mod config;
pub mod exclusion;
pub mod fleet_sample;
pub mod home_regions;
mod homecoming;
pub mod host;
pub mod idle_connection_limit;
pub mod load;
pub mod pace;
pub mod popularity;
pub mod preview;
pub mod profile_route;
pub mod rendezvous;
pub mod route;

pub use choice::{
    AffinityPreference, Choice, Chooser, LoadBound, NoTarget, PromptPart, Reason, TargetQuery,
    shared_prompt_parts,
};
pub use config::{CallerLimits, ColdLimit, RoutingConfig, Service, Workspace};
pub use exclusion::Exclusion;
pub use fleet_sample::{FleetSample, Observations, TargetLoad};
pub use home_regions::{Homes, Regions};
pub use host::parse_host;
pub use idle_connection_limit::idle_connection_limit;
pub use load::{LoadView, ReportedLoad};
pub use pace::{PacePercent, PaceView};
pub use popularity::{PartRequests, PartShare, Popularity};
pub use preview::{PartPlacement, Preview, TargetPreview};
pub use route::{Backend, Route, RouteKind};
