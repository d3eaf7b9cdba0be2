//! Whether a request is taken, and what a caller is told otherwise.

pub mod refusal;

pub use refusal::Refusal;
