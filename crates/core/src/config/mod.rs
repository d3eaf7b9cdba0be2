//! Profile configuration, which operators edit: workspaces, pools and profiles. Each revision is
//! one document. The routing configuration is in [`crate::routing::config`].

mod change;
mod check;
mod document;
mod in_force;
mod pool;
mod profile;
mod workspace;

pub use change::{Change, ChangeOutcome, ChangeStep, parse_accepted, read_request};
pub use check::{ConfigError, Problem};
pub use document::{Accepted, Config};
pub use in_force::{ConfigInForce, Offered};
pub use pool::{CallRule, Pool, PoolKind};
pub use profile::Profile;
pub use workspace::Workspace;
