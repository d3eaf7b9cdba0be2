//! The router daemon as a library: its own settings, joined to the daemon and the platform's store.

mod settings;
mod start;

pub use settings::{
    CoreSettings, LimitSettings, LogSettings, PlatformSettings, Settings, SettingsError,
};
pub use start::{run, run_process};
