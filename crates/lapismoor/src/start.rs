//! Runs a daemon with its own settings.

use std::process::ExitCode;

use lapismoor_edge::{Listeners, LoggingError, StartError, boot_clock};

use crate::settings::Settings;

/// Runs a daemon until SIGTERM or SIGINT and the planned stop that follows. Must run on a local
/// task set, as `actix::System` gives.
///
/// # Errors
/// [`StartError`] when it cannot start.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let store = lapismoor_adapter::store_client(settings.platform.key_value_address);
    let settings = settings.into_edge_settings();
    let listeners = Listeners::bind(&settings).await?;
    let dialect = lapismoor_adapter::dialect();
    lapismoor_edge::run(settings, listeners, boot_clock(), dialect, store).await
}

/// Logs to standard output and runs a daemon to its end, as a process does. Errors go to standard
/// error.
#[must_use]
pub fn run_process(settings: Settings) -> ExitCode {
    if let Err(error) = start_logging(&settings) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match actix::System::new().block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts logging to standard output.
///
/// # Errors
/// [`LoggingError`] when it cannot start.
fn start_logging(settings: &Settings) -> Result<(), LoggingError> {
    let daemon = &settings.core.daemon;
    lapismoor_edge::start_logging(daemon, settings.log.level, std::io::stdout())
}
