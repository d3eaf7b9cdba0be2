//! Streams of events on their way from a target to a caller.

pub mod events;

pub use events::EventSplitter;
