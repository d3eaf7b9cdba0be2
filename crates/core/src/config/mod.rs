//! Configuration that operators edit. Each revision is one document.

mod active;
mod change;
mod check;
mod document;
mod pool;
mod profile;
mod workspace;

pub use active::{ActiveConfig, Offered};
pub use change::{Change, ChangeOutcome, ChangeStep, parse_accepted, read_request};
pub use check::{ConfigError, Problem};
pub use document::{Accepted, Config};
pub use pool::{CallRule, Pool, PoolKind};
pub use profile::Profile;
pub use workspace::Workspace;
