//! Event streams that are forwarded from a target to a caller.

pub mod events;
pub mod origins;
pub mod resumption;
pub mod version;

pub use events::EventSplitter;
pub use origins::{
    OriginSource, StreamLookup, StreamOrigin, StreamOrigins, origin_holders, stream_lifetime,
};
pub use resumption::ResumedStream;
pub use version::VersionBinding;
