//! Event streams that are forwarded from a target to a caller.

pub mod events;
pub mod version;

pub use events::EventSplitter;
pub use version::VersionBinding;
