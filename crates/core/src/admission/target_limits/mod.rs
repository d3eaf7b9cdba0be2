//! The request rate that a target names in its answers.

mod notice;
mod view;

pub use notice::{LimitChange, LimitNotice, RequestRate};
pub use view::LimitView;
