//! The router daemon as a library: actors that join the decisions of `lapismoor-core` to the
//! callers, targets, platform and other daemons. The actors translate and decide nothing.

mod logging;
mod node;
mod settings;
mod shared;
mod start;

pub use logging::start as start_logging;
pub use settings::{LogSettings, PlatformSettings, Settings, SettingsError};
pub use start::{StartError, run};
