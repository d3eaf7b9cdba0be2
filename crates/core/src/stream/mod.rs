//! Event streams that are forwarded from a target to a caller.

pub mod events;

pub use events::EventSplitter;
