//! Runs the router daemon from a JSON settings file, with the store of the platform adapter.

mod settings;
mod start;

pub use settings::{
    CoreSettings, LimitSettings, LogSettings, PlatformSettings, Settings, SettingsError,
};
pub use start::{run, run_process};
